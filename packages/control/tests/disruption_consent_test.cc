#include "disruption_consent.h"

#include <doctest/doctest.h>

namespace azurespur::control {

namespace {

ListsSnapshot MakeLists(ActionMode mode) {
  ListsSnapshot lists;
  lists.plans_version = 1;
  lists.plans = {{"nightly", "customer", "batch"}};
  lists.allowances_version = 1;
  Allowance allowance;
  allowance.id = "batch";
  allowance.preempt = true;
  allowance.actions = mode;
  allowance.approved = {"evict.t1.1"};
  lists.allowances = {allowance};
  return lists;
}

}  // namespace

TEST_CASE("an action under approval waits for the edit that names it") {
  const ListsSnapshot lists = MakeLists(ActionMode::kApprove);
  CHECK(FindConsent(lists, "nightly", "evict", "evict.t1.1") ==
        Consent::kGiven);
  CHECK(FindConsent(lists, "nightly", "evict", "evict.t2.1") ==
        Consent::kAwaitsApproval);
}

TEST_CASE(
    "an automatic allowance gives consent, except to forbidden evictions") {
  ListsSnapshot lists = MakeLists(ActionMode::kAutomatic);
  CHECK(FindConsent(lists, "nightly", "evict", "p") == Consent::kGiven);
  lists.allowances[0].preempt = false;
  CHECK(FindConsent(lists, "nightly", "evict", "p") == Consent::kRefused);
  CHECK(FindConsent(lists, "nightly", "rebalance", "p") == Consent::kGiven);
}

// Guards against tasks that are evicted without approval since their plan has
// left the list.
TEST_CASE("the tasks of a removed plan are not disrupted") {
  ListsSnapshot lists = MakeLists(ActionMode::kApprove);
  lists.plans.clear();
  CHECK(FindConsent(lists, "nightly", "evict", "evict.t2.1") ==
        Consent::kRefused);
  CHECK(FindConsent(ListsSnapshot{}, "nightly", "evict", "p") ==
        Consent::kGiven);
}

}  // namespace azurespur::control
