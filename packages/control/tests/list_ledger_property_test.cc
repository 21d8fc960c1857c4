// Random runs of several VMs over one stream: edits, repeats, lag, restarts,
// refreshes, expiry and states from peers.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "control/list_ledger.h"
#include "list_fakes.h"

namespace azurespur::control {

namespace {

constexpr int kVms = 3;
constexpr int kSteps = 150;
constexpr int64_t kRetentionMs = 10000;
constexpr int64_t kRefreshAgeMs = kRetentionMs / 2;

constexpr const char* kPlanContents[] = {
    R"({"plans":[]})",
    R"({"plans":[{"id":"p","customer":"c","allowance":"gold"}]})",
    R"({"plans":[{"id":"q","customer":"c","allowance":"silver"}]})",
    R"({"plans":[{}]})",
};
constexpr const char* kAllowanceContents[] = {
    R"({"allowances":[]})",
    R"({"allowances":[{"id":"gold"}]})",
    R"({"allowances":[{"id":"gold"},{"id":"silver","weight":3}]})",
};

struct Vm {
  explicit Vm(FakeStream& stream) : reader(stream, ledger) {}

  FakeClock clock;
  ListLedger ledger{clock};
  FakeReader reader;
  uint64_t seen_version[2] = {0, 0};
};

class World {
 public:
  explicit World(uint64_t seed) : m_random(seed), m_oracle(m_untrimmed) {
    for (int i = 0; i < kVms; ++i) {
      m_vms.push_back(std::make_unique<Vm>(m_stream));
    }
  }

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      Step();
      Check();
    }
    Settle();
  }

 private:
  size_t Pick(size_t count) { return m_random() % count; }
  Vm& AnyVm() { return *m_vms[Pick(m_vms.size())]; }

  void Step() {
    switch (Pick(8)) {
      case 0:
      case 1:
        AppendEdit();
        break;
      case 2:
        RepeatEntry();
        break;
      case 3:
        AnyVm().reader.Read(1 + Pick(4));
        break;
      case 4:
        AnyVm().reader.Read();
        break;
      case 5:
        PassTime();
        break;
      case 6:
        if (Pick(4) == 0) {
          m_vms[1 + Pick(kVms - 1)] = std::make_unique<Vm>(m_stream);
        }
        break;
      case 7:
        (void)AnyVm().ledger.LoadState(AnyVm().ledger.SaveState());
        break;
    }
  }

  void AppendEdit() {
    ListEdit edit;
    edit.edit_id = "edit-" + std::to_string(m_edits++);
    edit.list = kAllLists[Pick(2)];
    const uint64_t latest = AnyVm().ledger.Latest(edit.list).version;
    edit.base_version = latest + (Pick(8) == 0 ? 1 : 0);
    edit.content = edit.list == ListName::kPlans ? kPlanContents[Pick(4)]
                                                 : kAllowanceContents[Pick(3)];
    m_stream.Append(edit);
    CopyToOracle();
  }

  // As a channel does whose append took effect and was not answered.
  void RepeatEntry() {
    const size_t size = m_stream.entries.size();
    if (size == 0) {
      return;
    }
    const size_t back = 1 + Pick(std::min<size_t>(size, 5));
    m_stream.Append(
        static_cast<wire::EntryKind>(m_stream.entries[size - back].kind),
        m_stream.entries[size - back].payload);
    CopyToOracle();
  }

  // VM 0 lives throughout, so the state is always restated in time.
  void PassTime() {
    m_stream.now_ms += 1 + static_cast<int64_t>(Pick(kRetentionMs / 4));
    for (const auto& vm : m_vms) {
      if (vm == m_vms.front() || Pick(2) == 0) {
        vm->reader.Read();
        vm->reader.Refresh(m_stream.now_ms - kRefreshAgeMs);
      }
    }
    CopyToOracle();
    m_stream.TrimBefore(m_stream.now_ms - kRetentionMs);
  }

  // The oracle reads every record at once and misses none.
  void CopyToOracle() {
    while (m_untrimmed.entries.size() < m_stream.entries.size()) {
      const size_t next = m_untrimmed.entries.size();
      m_untrimmed.entries.push_back(m_stream.entries[next]);
      m_untrimmed.times_ms.push_back(m_stream.times_ms[next]);
      m_oracle.reader.Read();
      for (ListName list : kAllLists) {
        const ListVersion latest = m_oracle.ledger.Latest(list);
        m_digests[{list, latest.version}] = latest.digest;
      }
    }
  }

  void Check() {
    for (const auto& vm : m_vms) {
      for (ListName list : kAllLists) {
        const ListVersion latest = vm->ledger.Latest(list);
        uint64_t& seen = vm->seen_version[static_cast<size_t>(list)];
        RC_ASSERT(latest.version >= seen);
        seen = latest.version;
        const std::string digest = m_digests[{list, latest.version}];
        RC_ASSERT(latest.digest == digest);
      }
      for (int i = 0; i < m_edits; ++i) {
        CheckVerdict(*vm, "edit-" + std::to_string(i));
      }
    }
  }

  void CheckVerdict(const Vm& vm, const std::string& edit_id) {
    const auto verdict = vm.ledger.Verdict(edit_id);
    const auto expected = m_oracle.ledger.Verdict(edit_id);
    if (verdict && expected) {
      RC_ASSERT(verdict->outcome == expected->outcome);
      RC_ASSERT(verdict->version == expected->version);
    }
  }

  // Without further faults all VMs come to the same lists.
  void Settle() {
    for (int i = 0; i < 3; ++i) {
      for (const auto& vm : m_vms) {
        vm->reader.Read();
      }
      m_stream.now_ms += kRefreshAgeMs + 1;
      m_vms.front()->reader.Refresh(m_stream.now_ms - kRefreshAgeMs);
      CopyToOracle();
    }
    for (const auto& vm : m_vms) {
      vm->reader.Read();
      RC_ASSERT(vm->ledger.Complete());
      for (ListName list : kAllLists) {
        const std::string digest = m_oracle.ledger.Latest(list).digest;
        RC_ASSERT(vm->ledger.Latest(list).digest == digest);
      }
    }
    Check();
  }

  std::mt19937_64 m_random;
  FakeStream m_stream;
  FakeStream m_untrimmed;
  Vm m_oracle;
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::map<std::pair<ListName, uint64_t>, std::string> m_digests = {
      {{ListName::kPlans, 0}, ""},
      {{ListName::kAllowances, 0}, ""}};
  int m_edits = 0;
};

}  // namespace

TEST_CASE("random runs: all VMs agree and versions only go forwards") {
  setenv("RC_PARAMS", "seed=20261204 max_success=60", 0);
  const bool holds = rc::check("lists agree", [] {
    World world(*rc::gen::inRange<uint64_t>(0, 1ULL << 62));
    world.Run();
  });
  CHECK(holds);
}

}  // namespace azurespur::control
