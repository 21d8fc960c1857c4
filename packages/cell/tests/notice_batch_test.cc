#include "notice_batch.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace azurespur::cell {

using Records = std::vector<std::string>;

TEST_CASE("records of batches that follow each other become one segment") {
  NoticeBatch batch;
  CHECK(batch.empty());
  batch.Add(Stream::kWork, 5, Records{"a", "b"});
  batch.Add(Stream::kIntake, 0, Records{"i"});
  batch.Add(Stream::kWork, 7, Records{"c"});
  const auto segments = batch.Take(100);
  REQUIRE(segments.size() == 2);
  CHECK(segments[0].stream == Stream::kIntake);
  CHECK(segments[1].offset == 5);
  CHECK(segments[1].end == 8);
  CHECK(segments[1].records == Records{"a", "b", "c"});
  CHECK(batch.empty());
}

TEST_CASE("records known already are added once, and a gap stays a gap") {
  NoticeBatch batch;
  batch.Add(Stream::kWork, 5, Records{"a", "b"});
  batch.Add(Stream::kWork, 6, Records{"b", "c"});
  batch.Add(Stream::kWork, 5, Records{"a"});
  batch.Add(Stream::kWork, 10, Records{"d"});
  CHECK(batch.Bytes() == 4);
  const auto segments = batch.Take(100);
  REQUIRE(segments.size() == 2);
  CHECK(segments[0].records == Records{"a", "b", "c"});
  CHECK(segments[1].offset == 10);
}

TEST_CASE("what is taken fits its size, and a larger record is announced") {
  NoticeBatch batch;
  batch.Add(Stream::kIntake, 0, Records{"aa", "bb", "cc", std::string(9, 'x')});
  batch.Add(Stream::kWork, 0, Records{"d", std::string(5, 'y')});
  auto segments = batch.Take(5);
  REQUIRE(segments.size() == 1);
  CHECK(segments[0].records == Records{"aa", "bb"});
  CHECK(segments[0].end == 2);
  CHECK(batch.Bytes() == 17);
  segments = batch.Take(5);
  REQUIRE(segments.size() == 3);
  CHECK(segments[0].records == Records{"cc"});
  CHECK(segments[1].records.empty());
  CHECK(segments[1].offset == 3);
  CHECK(segments[1].end == 4);
  CHECK(segments[2].records == Records{"d"});
  segments = batch.Take(5);
  REQUIRE(segments.size() == 1);
  CHECK(segments[0].records == Records{std::string(5, 'y')});
  CHECK(segments[0].offset == 1);
  CHECK(batch.empty());
}

TEST_CASE("announcements cover all records of a stream") {
  NoticeBatch batch;
  batch.Add(Stream::kWork, 5, Records{"a"});
  batch.Add(Stream::kWork, 9, Records{"b"});
  const auto segments = batch.TakeAnnouncements();
  REQUIRE(segments.size() == 1);
  CHECK(segments[0].offset == 5);
  CHECK(segments[0].end == 10);
  CHECK(segments[0].records.empty());
  CHECK(batch.empty());
}

}  // namespace azurespur::cell
