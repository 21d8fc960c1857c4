#include "http/http_message.h"

#include <algorithm>
#include <cctype>

namespace azurespur::http {

namespace {

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool IsUnreserved(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '.' || c == '_' || c == '~';
}

}  // namespace

std::string_view FindField(const std::vector<HttpField>& fields,
                           std::string_view name) {
  for (const HttpField& field : fields) {
    if (EqualIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

std::string UrlUnescape(std::string_view text) {
  std::string result;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool complete = text[i] == '%' && i + 2 < text.size();
    const int high = complete ? HexDigit(text[i + 1]) : -1;
    const int low = complete ? HexDigit(text[i + 2]) : -1;
    if (high >= 0 && low >= 0) {
      result += static_cast<char>(high * 16 + low);
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

std::string UrlEscape(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string result;
  for (char c : text) {
    if (IsUnreserved(c)) {
      result += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    result += '%';
    result += kDigits[byte >> 4];
    result += kDigits[byte & 15];
  }
  return result;
}

}  // namespace azurespur::http
