#include "mail_loop.h"

#include <doctest/doctest.h>

#include "fake_log.h"

namespace azurespur::cell {

using base::Micros;
using base::Millis;

namespace {

struct MailFixture {
  // Each mail takes 1 ms and posts another one, `left` times.
  base::Mail MakeMail(int left) {
    return [this, left] {
      clock.now += Millis{1};
      if (left > 0) {
        mailbox.Push(MakeMail(left - 1));
      }
    };
  }

  FakeClock clock;
  base::Mailbox mailbox{64};
};

}  // namespace

// Guards against a node that never ticks, and so stores, sends and renews
// nothing, while mail arrives as fast as it is handled.
TEST_CASE(
    "mail that arrives as fast as it is handled does not stop the ticks") {
  MailFixture f;
  f.mailbox.Push(f.MakeMail(5000));
  size_t handled = 0;
  int ticks = 0;
  while (auto first = f.mailbox.Pop()) {
    handled += HandleMail(std::move(first), f.mailbox, f.clock, Millis{20});
    ++ticks;
  }
  CHECK(handled == 5001);
  CHECK(ticks >= 5001 / 20);
}

TEST_CASE("mail that waits is handled before the next tick") {
  MailFixture f;
  for (int i = 0; i < 10; ++i) {
    f.mailbox.Push(f.MakeMail(0));
  }
  CHECK(HandleMail(f.MakeMail(0), f.mailbox, f.clock, Millis{20}) == 11);
  CHECK(HandleMail(std::nullopt, f.mailbox, f.clock, Millis{20}) == 0);
}

}  // namespace azurespur::cell
