// Encoding of messages and log entries: cereal portable binary.

#ifndef WIRE_CODEC_H_
#define WIRE_CODEC_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>

#include "base/outcome.h"
#include "wire/bounded_input_archive.h"

namespace azurespur::wire {

// T has `template <class Archive> void serialize(Archive&)`. To add a field,
// make a new entry kind or topic; old readers skip kinds that they don't know.
template <typename T>
std::string Encode(const T& value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
  }
  return std::move(out).str();
}

// Errors: kInvalid if `bytes` doesn't begin with a whole T. Sets `rest` to the
// bytes after it.
template <typename T>
base::Outcome<T> DecodePrefix(std::string_view bytes, std::string_view& rest) {
  T value;
  try {
    BoundedInputArchive archive(bytes);
    archive(value);
    rest = archive.rest();
  } catch (const std::exception& e) {
    return base::Error{base::ErrorCode::kInvalid,
                       std::string("message is malformed: ") + e.what()};
  }
  return value;
}

// As DecodePrefix(). Bytes after the value are ignored: later releases may
// append a value of their own there.
template <typename T>
base::Outcome<T> Decode(std::string_view bytes) {
  std::string_view rest;
  return DecodePrefix<T>(bytes, rest);
}

}  // namespace azurespur::wire

#endif  // WIRE_CODEC_H_
