#include <doctest/doctest.h>

#include <memory>

#include "node_fixture.h"

namespace azurespur::cell {

TEST_CASE("a policy is current as of when its last answered poll was sent") {
  NodeFixture f;
  f.node.RunPending();
  CHECK_FALSE(f.node.policy_as_of());
  const base::MonoTime first = f.clock.now;
  f.clock.now += base::Millis{900};
  f.policy.Answer(std::make_shared<const jobs::CellPolicy>());
  CHECK(f.node.policy_as_of() == first);
  // The next poll fails, so the one after it is sent after a delay.
  f.node.RunPending();
  f.clock.now += base::Millis{900};
  f.policy.Answer(base::Error{base::ErrorCode::kUnavailable, "canned"});
  CHECK(f.node.policy_as_of() == first);
  f.node.RunPending();
  f.clock.now += base::Millis{1000};
  f.node.RunPending();
  const base::MonoTime third = f.clock.now;
  f.clock.now += base::Millis{900};
  f.policy.Answer(std::make_shared<const jobs::CellPolicy>());
  CHECK(f.node.policy_as_of() == third);
}

}  // namespace azurespur::cell
