#include "row_reader.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

namespace azurespur::control {

namespace {

using nlohmann::json;

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxShownBytes = 80;

// The value as shown in messages.
std::string Show(const json& value) {
  std::string text = value.dump();
  if (text.size() > kMaxShownBytes) {
    text = text.substr(0, kMaxShownBytes) + "...";
  }
  return text;
}

std::string Show(double value) {
  return json(value).dump();
}

bool IsName(const json& value) {
  if (!value.is_string()) {
    return false;
  }
  const auto& text = value.get_ref<const std::string&>();
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                  c == '.' || c == '_' || c == '-';
         });
}

std::string NotAName(const json& value) {
  return Show(value) + " is no name of 1 to " + std::to_string(kMaxNameBytes) +
         " letters, digits, \".\", \"_\" or \"-\"";
}

bool FitsInt64(const json& value) {
  return value.is_number_integer() &&
         (!value.is_number_unsigned() ||
          value.get<uint64_t>() <=
              static_cast<uint64_t>(std::numeric_limits<int64_t>::max()));
}

}  // namespace

RowReader::RowReader(const json& row,
                     std::string path,
                     std::vector<ListError>& errors)
    : m_row(row), m_path(std::move(path)), m_errors(errors) {}

void RowReader::Name(std::string_view field,
                     Presence presence,
                     std::string& value) {
  const json* found = Find(field, presence);
  if (found == nullptr) {
    return;
  }
  if (!IsName(*found)) {
    Fail(field, NotAName(*found));
    return;
  }
  value = found->get<std::string>();
}

void RowReader::Names(std::string_view field, std::vector<std::string>& value) {
  const json* found = Find(field, Presence::kOptional);
  if (found == nullptr) {
    return;
  }
  if (!found->is_array()) {
    Fail(field, Show(*found) + " is no array of names");
    return;
  }
  std::vector<std::string> names;
  std::set<std::string> seen;
  for (size_t i = 0; i < found->size(); ++i) {
    const json& element = (*found)[i];
    const std::string place = std::string(field) + "/" + std::to_string(i);
    if (!IsName(element)) {
      Fail(place, NotAName(element));
    } else if (!seen.insert(element.get<std::string>()).second) {
      Fail(place, Show(element) + " stands twice");
    } else {
      names.push_back(element.get<std::string>());
    }
  }
  value = std::move(names);
}

void RowReader::Text(std::string_view field,
                     size_t max_bytes,
                     std::string& value) {
  const json* found = Find(field, Presence::kRequired);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string() || found->get_ref<const std::string&>().empty() ||
      found->get_ref<const std::string&>().size() > max_bytes) {
    Fail(field, Show(*found) + " is no text of 1 to " +
                    std::to_string(max_bytes) + " bytes");
    return;
  }
  value = found->get<std::string>();
}

void RowReader::Integer(std::string_view field,
                        int64_t min,
                        int64_t max,
                        int64_t& value) {
  const json* found = Find(field, Presence::kOptional);
  if (found == nullptr) {
    return;
  }
  if (!FitsInt64(*found) || found->get<int64_t>() < min ||
      found->get<int64_t>() > max) {
    Fail(field, Show(*found) + " is no integer from " + std::to_string(min) +
                    " to " + std::to_string(max));
    return;
  }
  value = found->get<int64_t>();
}

void RowReader::Number(std::string_view field,
                       double min,
                       double max,
                       double& value) {
  const json* found = Find(field, Presence::kOptional);
  if (found == nullptr) {
    return;
  }
  if (!found->is_number() || found->get<double>() < min ||
      found->get<double>() > max) {
    Fail(field,
         Show(*found) + " is no number from " + Show(min) + " to " + Show(max));
    return;
  }
  value = found->get<double>();
}

void RowReader::Flag(std::string_view field, bool& value) {
  const json* found = Find(field, Presence::kOptional);
  if (found == nullptr) {
    return;
  }
  if (!found->is_boolean()) {
    Fail(field, Show(*found) + " is neither true nor false");
    return;
  }
  value = found->get<bool>();
}

int RowReader::Choice(std::string_view field,
                      const std::vector<std::string_view>& choices) {
  const json* found = Find(field, Presence::kOptional);
  if (found == nullptr) {
    return -1;
  }
  std::string allowed;
  for (size_t i = 0; i < choices.size(); ++i) {
    if (found->is_string() &&
        found->get_ref<const std::string&>() == choices[i]) {
      return static_cast<int>(i);
    }
    allowed += (i == 0 ? "\"" : ", \"") + std::string(choices[i]) + "\"";
  }
  Fail(field, Show(*found) + " is none of " + allowed);
  return -1;
}

void RowReader::Finish() {
  for (const auto& [field, value] : m_row.items()) {
    if (m_known.count(field) == 0) {
      Fail(field, "field \"" + field + "\" is unknown");
    }
  }
}

const json* RowReader::Find(std::string_view field, Presence presence) {
  m_known.emplace(field);
  const auto it = m_row.find(std::string(field));
  if (it != m_row.end()) {
    return &*it;
  }
  if (presence == Presence::kRequired) {
    Fail(field, "field \"" + std::string(field) + "\" is missing");
  }
  return nullptr;
}

void RowReader::Fail(std::string_view field, std::string text) {
  m_errors.push_back({m_path + "/" + std::string(field), std::move(text)});
}

}  // namespace azurespur::control
