#include "recent_records.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace azurespur::cell {

using Records = std::vector<std::string>;

TEST_CASE("records are found by their offset") {
  RecentRecords recent(100);
  CHECK(recent.From(0, 100).empty());
  recent.Add(5, "five");
  recent.Add(6, "six");
  recent.Add(7, "seven");
  CHECK(recent.From(5, 100) == Records{"five", "six", "seven"});
  CHECK(recent.From(6, 8) == Records{"six", "seven"});
  CHECK(recent.From(6, 7) == Records{"six"});
  CHECK(recent.From(7, 1) == Records{"seven"});
  CHECK(recent.From(8, 100).empty());
  CHECK(recent.From(4, 100).empty());
}

TEST_CASE("only the newest records are kept") {
  RecentRecords recent(8);
  recent.Add(0, "aaaa");
  recent.Add(1, "bbbb");
  recent.Add(2, "cccc");
  CHECK(recent.From(0, 100).empty());
  CHECK(recent.From(1, 100) == Records{"bbbb", "cccc"});
}

TEST_CASE("a gap drops the older records") {
  RecentRecords recent(100);
  recent.Add(0, "a");
  recent.Add(9, "b");
  CHECK(recent.From(0, 100).empty());
  CHECK(recent.From(9, 100) == Records{"b"});
}

}  // namespace azurespur::cell
