#include "read_size.h"

#include <doctest/doctest.h>

namespace azurespur::cell {

using base::Millis;

namespace {

constexpr size_t kFull = 64 << 20;  // As much as was asked for.

}  // namespace

TEST_CASE("full pages that arrive fast grow, up to 1 MB") {
  ReadSize size;
  CHECK(size.bytes() == 65536);
  size.OnRead(65536, Millis{50});
  CHECK(size.bytes() == 131072);
  for (int i = 0; i < 10; ++i) {
    size.OnRead(kFull, Millis{50});
  }
  CHECK(size.bytes() == 1 << 20);
}

TEST_CASE("pages that are not full, or take a while, don't grow") {
  ReadSize size;
  size.OnRead(100, Millis{1});
  size.OnRead(65536, Millis{200});
  CHECK(size.bytes() == 65536);
}

TEST_CASE("slow pages and failures shrink the size, down to 16 KB") {
  ReadSize size;
  size.OnRead(65536, Millis{1000});
  CHECK(size.bytes() == 16384);
  size.OnRead(kFull, Millis{50});
  size.OnFailure();
  size.OnFailure();
  CHECK(size.bytes() == 16384);
}

// A page without any record would otherwise be asked for again and again.
TEST_CASE("a record that is larger than the page makes the page larger") {
  ReadSize size;
  size.OnRecordTooLarge();
  CHECK(size.bytes() == 131072);
}

}  // namespace azurespur::cell
