#include "line_chunks.h"

#include <doctest/doctest.h>

#include <string>

namespace azurespur::base {

TEST_CASE("text is taken in whole lines") {
  std::string_view text = "aaa\nbb\nc\n";
  CHECK(TakeLines(text, 7) == "aaa\nbb\n");
  CHECK(TakeLines(text, 7) == "c\n");
  CHECK(TakeLines(text, 7).empty());
}

TEST_CASE("a line that is too long is taken whole") {
  std::string_view text = "aaaaaaaa\nb\n";
  CHECK(TakeLines(text, 4) == "aaaaaaaa\n");
  CHECK(TakeLines(text, 4) == "b\n");
  text = "no end";
  CHECK(TakeLines(text, 4) == "no end");
}

// Pattern: a burst of log lines, written all at once each quarter of a second.
TEST_CASE("no line of a burst is lost or split") {
  std::string all;
  for (int i = 0; i < 1000; ++i) {
    all += "line " + std::to_string(i) + '\n';
  }
  std::string_view text = all;
  std::string taken;
  while (!text.empty()) {
    const std::string_view lines = TakeLines(text, 4096);
    CHECK(lines.size() <= 4096);
    CHECK(lines.back() == '\n');
    taken += lines;
  }
  CHECK(taken == all);
}

}  // namespace azurespur::base
