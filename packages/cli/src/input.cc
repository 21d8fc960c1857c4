#include "input.h"

#include <fstream>
#include <istream>
#include <iterator>
#include <random>

namespace azurespur::cli {

base::Outcome<std::string> ReadInput(const Streams& streams,
                                     const std::string& file) {
  using Iterator = std::istreambuf_iterator<char>;
  if (file == "-") {
    return std::string(Iterator(streams.in), Iterator());
  }
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    return base::Error{base::ErrorCode::kNotFound,
                       "file \"" + file + "\" can't be read"};
  }
  return std::string(Iterator(in), Iterator());
}

std::string NewId(std::string_view prefix) {
  constexpr int kDigits = 16;
  std::random_device device;
  std::string id = std::string(prefix) + "-";
  for (int i = 0; i < kDigits; ++i) {
    id += "0123456789abcdef"[device() % 16];
  }
  return id;
}

}  // namespace azurespur::cli
