#include "control/slot_share.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "slot_precedence.h"

namespace azurespur::control {

namespace {

using base::Millis;
using base::MonoTime;

constexpr int kSlots = 8;

SlotShareOptions Options() {
  SlotShareOptions options;
  options.hold = Millis(200);
  options.max_run = Millis(300);
  options.margin = Millis(20);
  options.target_idle = 2;
  return options;
}

// Nodes that exchange messages at once and without loss.
class Domain {
 public:
  explicit Domain(std::vector<std::string> ids) : m_ids(std::move(ids)) {
    for (const std::string& id : m_ids) {
      Start(id, 1);
    }
  }

  void Start(const std::string& id, uint64_t incarnation) {
    auto node = std::make_unique<SlotShare>(Options(), id, incarnation, now);
    const std::vector<ExecutorSlots> executors = {{"x1", kSlots},
                                                  {"x2", kSlots}};
    node->SetExecutors(executors);
    node->SetMembers(version, m_ids, now);
    m_incarnations[id] = incarnation;
    nodes[id] = std::move(node);
  }

  void Kill(const std::string& id) { nodes.erase(id); }

  void Delist(const std::string& id) {
    std::erase(m_ids, id);
    ++version;
    for (auto& [name, node] : nodes) {
      node->SetMembers(version, m_ids, now);
    }
  }

  void Run(Millis time) {
    const MonoTime end = now + time;
    for (; now < end; now += Millis(5)) {
      for (auto& [id, node] : nodes) {
        for (const auto& [to, message] : node->Tick(now)) {
          Deliver(id, to, message);
        }
      }
    }
  }

  int Idle(const std::string& id) {
    return nodes[id]->Idle(0, now) + nodes[id]->Idle(1, now);
  }

  int AcquireAll(const std::string& id) {
    int count = 0;
    for (size_t executor : {0, 1}) {
      while (auto slot = nodes[id]->Acquire(executor, now)) {
        taken[id].push_back(*slot);
        ++count;
      }
    }
    return count;
  }

  MonoTime now{Millis(1000)};
  uint64_t version = 1;
  std::map<std::string, std::unique_ptr<SlotShare>> nodes;
  std::map<std::string, std::vector<SlotId>> taken;

 private:
  void Deliver(const std::string& from,
               const std::string& to,
               const SlotMessage& message) {
    const auto node = nodes.find(to);
    if (node == nodes.end()) {
      return;
    }
    const auto reply =
        node->second->OnMessage(from, m_incarnations[from], message, now);
    if (reply) {
      Deliver(to, from, *reply);
    }
  }

  std::vector<std::string> m_ids;
  std::map<std::string, uint64_t> m_incarnations;
};

}  // namespace

TEST_CASE("precedence is a strict order of each two VMs") {
  int first = 0;
  for (int slot = 0; slot < 64; ++slot) {
    CHECK(Precedes("a", "b", "x", slot) != Precedes("b", "a", "x", slot));
    first += Precedes("a", "b", "x", slot) ? 1 : 0;
  }
  CHECK(first > 16);
  CHECK(first < 48);
}

TEST_CASE("a single VM uses all slots, after the quiet time") {
  Domain domain({"a"});
  CHECK(domain.Idle("a") == 0);
  domain.Run(Millis(600));
  CHECK(domain.Idle("a") == 2 * kSlots);
}

TEST_CASE("three VMs split all slots") {
  Domain domain({"a", "b", "c"});
  domain.Run(Millis(700));
  CHECK(domain.Idle("a") + domain.Idle("b") + domain.Idle("c") == 2 * kSlots);
}

TEST_CASE("idle slots are lent to the VM that needs them and come back") {
  Domain domain({"a", "b", "c"});
  domain.Run(Millis(700));
  for (int round = 0; round < 10; ++round) {
    domain.AcquireAll("a");
    domain.nodes["a"]->SetWaiting(20);
    domain.Run(Millis(100));
  }
  domain.AcquireAll("a");
  // Each lender keeps its target of two idle slots.
  CHECK(domain.taken["a"].size() == 2 * kSlots - 4);
  CHECK(domain.Idle("b") + domain.Idle("c") == 4);
  domain.nodes["a"]->SetWaiting(0);
  for (const SlotId slot : domain.taken["a"]) {
    domain.nodes["a"]->Release(slot);
  }
  domain.Run(Millis(200));
  CHECK(domain.Idle("a") + domain.Idle("b") + domain.Idle("c") == 2 * kSlots);
}

TEST_CASE("slots lent to a VM that died come back after their last run") {
  Domain domain({"a", "b"});
  domain.Run(Millis(700));
  domain.nodes["a"]->SetWaiting(20);
  domain.Run(Millis(100));
  const int lent = 2 * kSlots - domain.Idle("a") - domain.Idle("b");
  CHECK(lent == 0);
  const int own = domain.Idle("b");
  domain.AcquireAll("a");
  domain.Kill("a");
  domain.Run(Millis(200));
  CHECK(domain.Idle("b") == own);
  // A VM on the list may still use the slots of which it has precedence.
  domain.Run(Millis(1000));
  CHECK(domain.Idle("b") > own);
  CHECK(domain.Idle("b") < 2 * kSlots);
  domain.Delist("a");
  domain.Run(Millis(700));
  CHECK(domain.Idle("b") == 2 * kSlots);
}

TEST_CASE("a loan ends for a borrower that was paused") {
  Domain domain({"a", "b"});
  domain.Run(Millis(700));
  const int own = domain.Idle("a");
  domain.nodes["a"]->SetWaiting(20);
  domain.Run(Millis(100));
  CHECK(domain.Idle("a") > own);
  domain.now += Millis(200);
  CHECK(domain.Idle("a") == own);
}

TEST_CASE("a restarted VM starts without slots") {
  Domain domain({"a", "b"});
  domain.Run(Millis(700));
  domain.Start("a", 2);
  domain.Run(Millis(400));
  CHECK(domain.Idle("a") == 0);
  domain.Run(Millis(300));
  CHECK(domain.Idle("a") > 0);
}

TEST_CASE("a VM that stops in order leaves its slots to the others at once") {
  Domain domain({"a", "b", "c"});
  // Requests of an earlier process may still run.
  CHECK_FALSE(domain.nodes["a"]->Retire(domain.now));
  domain.Run(Millis(700));
  const auto slot = domain.nodes["a"]->Acquire(0, domain.now);
  REQUIRE(slot.has_value());
  CHECK_FALSE(domain.nodes["a"]->Retire(domain.now));
  domain.nodes["a"]->Release(*slot);
  CHECK(domain.nodes["a"]->Retire(domain.now));
  CHECK(domain.Idle("a") == 0);
  domain.Run(Millis(50));
  domain.Kill("a");
  CHECK(domain.Idle("b") + domain.Idle("c") == 2 * kSlots);
  domain.Start("a", 2);
  domain.Run(Millis(700));
  CHECK(domain.Idle("a") > 0);
  CHECK(domain.Idle("a") + domain.Idle("b") + domain.Idle("c") == 2 * kSlots);
}

TEST_CASE("a VM that is not on its own list uses no slot") {
  SlotShare share(Options(), "a", 1, MonoTime(Millis(1000)));
  const std::vector<ExecutorSlots> executors = {{"x1", kSlots}};
  share.SetExecutors(executors);
  const std::vector<std::string> others = {"b"};
  share.SetMembers(1, others, MonoTime(Millis(1000)));
  CHECK(share.Idle(0, MonoTime(Millis(9000))) == 0);
}

TEST_CASE("an abandoned slot is busy until its request must have ended") {
  Domain domain({"a"});
  domain.Run(Millis(600));
  const auto slot = domain.nodes["a"]->Acquire(0, domain.now);
  REQUIRE(slot.has_value());
  domain.nodes["a"]->Abandon(*slot, domain.now + Millis(300));
  domain.Run(Millis(290));
  CHECK(domain.Idle("a") == 2 * kSlots - 1);
  domain.Run(Millis(20));
  CHECK(domain.Idle("a") == 2 * kSlots);
}

}  // namespace azurespur::control
