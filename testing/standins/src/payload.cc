#include "standins/payload.h"

#include <charconv>

namespace azurespur::standins {

namespace {

void ReadWord(std::string_view word, Payload& payload) {
  const size_t equals = word.find('=');
  if (equals == std::string_view::npos) {
    return;
  }
  const std::string_view name = word.substr(0, equals);
  const std::string_view text = word.substr(equals + 1);
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0) {
    return;
  }
  if (name == "run_ms") {
    payload.run_ms = value;
  } else if (name == "fail") {
    payload.fail = value != 0;
  } else if (name == "use_cpu") {
    payload.use_cpu = value;
  } else if (name == "use_mem") {
    payload.use_mem = value;
  }
}

}  // namespace

Payload ParsePayload(std::string_view text) {
  Payload payload;
  while (!text.empty()) {
    const size_t end = text.find(' ');
    ReadWord(text.substr(0, end), payload);
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
  }
  return payload;
}

}  // namespace azurespur::standins
