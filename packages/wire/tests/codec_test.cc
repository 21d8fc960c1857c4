#include "wire/codec.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurespur::wire {

namespace {

struct Sample {
  bool flag = false;
  int32_t number = 0;
  double share = 0;
  std::string text;
  std::vector<std::string> texts;
  std::vector<int64_t> numbers;
  std::map<std::string, uint64_t> by_name;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(flag, number, share, text, texts, numbers, by_name);
  }

  bool operator==(const Sample&) const = default;
};

Sample MakeSample() {
  Sample sample;
  sample.flag = true;
  sample.number = -7;
  sample.share = 0.25;
  sample.text = "one";
  sample.texts = {"", "two"};
  sample.numbers = {1, -2, INT64_MAX};
  sample.by_name = {{"a", 1}, {"b", UINT64_MAX}};
  return sample;
}

// The bytes of a vector that states `count` elements and holds none.
std::string StatedCount(uint64_t count) {
  std::string bytes(1, '\1');
  for (int i = 0; i < 8; ++i) {
    bytes += static_cast<char>(count >> (8 * i));
  }
  return bytes;
}

}  // namespace

TEST_CASE("an encoded message is decoded to the same value") {
  const auto decoded = Decode<Sample>(Encode(MakeSample()));
  REQUIRE(base::Ok(decoded));
  CHECK(base::Value(decoded) == MakeSample());
}

TEST_CASE("a message that is cut short anywhere is an error") {
  const std::string whole = Encode(MakeSample());
  for (size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(
        base::Ok(Decode<Sample>(std::string_view(whole).substr(0, size))));
  }
}

// Guards against a process that ends for want of memory: a few bytes stated a
// count for which gigabytes were taken before the first element was read.
TEST_CASE("a count that the message can't hold is refused before its memory") {
  for (const uint64_t count :
       {uint64_t{1}, uint64_t{1} << 28, uint64_t{1} << 40, UINT64_MAX}) {
    CAPTURE(count);
    const auto texts = Decode<std::vector<std::string>>(StatedCount(count));
    REQUIRE_FALSE(base::Ok(texts));
    CHECK(base::GetError(texts).message.find("elements") != std::string::npos);
    const auto text = Decode<std::string>(StatedCount(count));
    REQUIRE_FALSE(base::Ok(text));
    CHECK(base::GetError(text).message.find("elements") != std::string::npos);
  }
}

}  // namespace azurespur::wire
