// Real nodes that exchange datagrams, over a log and a policy that each VM may
// be rejected from.

#ifndef CELL_TESTS_POLICY_CELL_FIXTURE_H_
#define CELL_TESTS_POLICY_CELL_FIXTURE_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "node_fixture.h"
#include "wire/codec.h"

namespace azurespur::cell {

// A policy with that version, of `queues` queues.
inline std::shared_ptr<const jobs::CellPolicy> MakeCellPolicy(int64_t version,
                                                              int queues = 1) {
  auto policy = std::make_shared<jobs::CellPolicy>();
  policy->version = version;
  for (int i = 0; i < queues; ++i) {
    jobs::QueuePolicy queue;
    queue.name = "queue-" + std::to_string(i);
    queue.service = "service-" + std::to_string(version);
    queue.host = "host.example";
    queue.path_prefix = "/" + queue.name + "/";
    queue.advice = jobs::AdvicePolicy{1, 2, 3};
    policy->queues[queue.name] = queue;
  }
  jobs::ClientAccount account;
  account.name = "account";
  account.weight = 2.5;
  account.submissions_per_s = 40;
  account.cap.cpu_millis = 8000;
  policy->accounts[account.name] = account;
  policy->keys = {{"key-of-" + std::to_string(version), "account"}};
  return policy;
}

// The log as one VM sees it.
class RejectingLog : public FencedLog {
 public:
  explicit RejectingLog(FakeLog& log) : m_log(log) {}

  void Append(AppendRequest request,
              std::function<void(AppendResult)> done) override {
    if (rejects) {
      done({AppendStatus::kRefused, 0});
    } else {
      m_log.Append(std::move(request), std::move(done));
    }
  }

  void Read(ReadRequest request,
            std::function<void(ReadResult)> done) override {
    if (rejects) {
      done({});
    } else {
      m_log.Read(std::move(request), std::move(done));
    }
  }

  bool rejects = false;

 private:
  FakeLog& m_log;
};

// The stored policy as one VM sees it.
class StoredPolicySource : public PolicySource {
 public:
  StoredPolicySource(const Policy& stored, const base::Clock& clock)
      : m_stored(stored), m_clock(clock) {}

  void Poll(std::function<void(base::Outcome<Policy>)> done) override {
    m_done = std::move(done);
    m_polled = m_clock.Now();
  }

  // Answers the poll that waits, if it is time to.
  void Step() {
    if (!m_done || silent) {
      return;
    }
    if (rejects) {
      std::exchange(m_done, nullptr)(
          base::Error{base::ErrorCode::kUnavailable, "canned"});
    } else if (m_stored != m_passed ||
               m_clock.Now() >= m_polled + base::Millis{900}) {
      m_passed = m_stored;
      std::exchange(m_done, nullptr)(m_stored);
    }
  }

  bool rejects = false;
  bool silent = false;

 private:
  const Policy& m_stored;
  const base::Clock& m_clock;
  Policy m_passed;
  std::function<void(base::Outcome<Policy>)> m_done;
  base::MonoTime m_polled{};
};

class PostedDatagrams : public DatagramTransport {
 public:
  using Post = std::function<void(std::string_view to, std::string_view bytes)>;

  explicit PostedDatagrams(Post post) : m_post(std::move(post)) {}

  bool Send(std::string_view address, std::string_view bytes) override {
    m_post(address, bytes);
    return true;
  }
  void Receive(Handler handler) override { deliver = std::move(handler); }

  Handler deliver;  // To the node.

 private:
  Post m_post;
};

// Workers that accept all starts, and list no runs.
class AcceptingWorkers : public WorkerOrderClient {
 public:
  explicit AcceptingWorkers(const base::Clock& clock) : m_clock(clock) {}

  void Start(const jobs::StartOrder& /*order*/,
             std::function<void(jobs::StartAnswer)> done) override {
    ++starts;
    done({jobs::OrderOutcome::kAccepted, std::nullopt});
  }
  void Stop(const jobs::StopOrder& /*order*/,
            std::function<void(jobs::OrderOutcome)> /*done*/) override {}
  void Hold(const jobs::HoldOrder& order,
            std::function<void(HoldResult)> done) override {
    HoldResult result;
    result.outcome = jobs::OrderOutcome::kAccepted;
    result.report.clock_ms = m_clock.WallMillis();
    result.report.boot_unix_ms = order.worker.boot_unix_ms;
    done(result);
  }

  int starts = 0;

 private:
  const base::Clock& m_clock;
};

struct PolicyVm {
  PolicyVm(const std::string& vm,
           FakeLog& shared_log,
           const PolicySource::Policy& stored,
           PostedDatagrams::Post post,
           const base::Clock& clock)
      : log(shared_log),
        workers(clock),
        policy(stored, clock),
        datagrams(std::move(post)),
        node(MakeVmOptions(vm),
             {log, workers, advice, directory, policy, datagrams, snapshots},
             clock,
             metrics) {
    node.Begin();
  }

  void Reject(bool rejects) {
    log.rejects = rejects;
    policy.rejects = rejects;
    snapshots.reachable = !rejects;
  }

  int64_t version() const {
    const auto current = node.policy();
    return current ? current->version : 0;
  }

  RejectingLog log;
  AcceptingWorkers workers;
  IdleAdvice advice;
  FakeDirectory directory;
  StoredPolicySource policy;
  PostedDatagrams datagrams;
  FakeSnapshotStore snapshots;
  base::Metrics metrics;
  Node node;
};

struct PolicyCellFixture {
  struct Datagram {
    base::MonoTime due{};
    std::string from;
    std::string to;  // Names of VMs.
    std::string bytes;
  };
  // How a datagram fares: the delay of each copy that arrives.
  using Network =
      std::function<std::vector<base::Millis>(const Datagram&, const Message&)>;

  // Begins with a leader, "vm-a", and followers that all have version 1.
  explicit PolicyCellFixture(int followers = 3) {
    stored = MakeCellPolicy(1);
    Start("vm-a");
    Pass(base::Millis{3000});
    for (int i = 1; i <= followers; ++i) {
      // "vm-b" to "vm-z", then "vm-z1" and so on.
      Start(i < 26 ? "vm-" + std::string(1, static_cast<char>('a' + i))
                   : "vm-z" + std::to_string(i - 25));
    }
    Pass(base::Millis{3000});
    for (const auto& [vm, life] : vms) {
      REQUIRE(life->version() == 1);
    }
    sent.clear();
  }

  // Starts the VM, or starts it again.
  PolicyVm& Start(const std::string& vm, bool rejected = false) {
    Kill(vm);
    vms[vm] = std::make_unique<PolicyVm>(
        vm, log, stored,
        [this, vm](std::string_view to, std::string_view bytes) {
          Post(vm, to, bytes);
        },
        clock);
    vms[vm]->Reject(rejected);
    return *vms[vm];
  }

  void Kill(const std::string& vm) {
    auto life = vms.extract(vm);
    if (life) {
      dead.push_back(std::move(life.mapped()));
    }
  }

  void Post(const std::string& from,
            std::string_view to,
            std::string_view bytes) {
    Datagram datagram{clock.now, from, std::string(to.substr(0, to.find(':'))),
                      std::string(bytes)};
    const auto message = wire::Decode<Message>(bytes);
    REQUIRE(base::Ok(message));
    if (vms.contains(from)) {
      sent.emplace_back(datagram, base::Value(message));
    }
    std::vector<base::Millis> copies = {base::Millis{0}};
    if (network) {
      copies = network(datagram, base::Value(message));
    }
    for (const base::Millis delay : copies) {
      datagram.due = clock.now + delay;
      m_on_way.push_back(datagram);
    }
  }

  void Pass(base::Millis total) {
    for (base::Millis passed{0}; passed < total; passed += kStep) {
      clock.now += kStep;
      log.DeliverResponses();
      for (Datagram& datagram : std::exchange(m_on_way, {})) {
        if (datagram.due > clock.now) {
          m_on_way.push_back(std::move(datagram));
        } else if (vms.contains(datagram.to)) {
          vms[datagram.to]->datagrams.deliver(datagram.bytes);
        }
      }
      for (const auto& [vm, life] : vms) {
        life->policy.Step();
        life->node.RunPending();
      }
      if (each_step) {
        each_step();
      }
    }
  }

  // Passes time until `condition`, and returns how much; `limit` if it is not
  // met by then.
  base::Millis PassUntil(const std::function<bool()>& condition,
                         base::Millis limit) {
    base::Millis passed{0};
    while (passed < limit && !condition()) {
      Pass(kStep);
      passed += kStep;
    }
    return passed;
  }

  PolicyVm& At(const std::string& vm) { return *vms.at(vm); }

  template <typename M>
  int CountSent() const {
    return static_cast<int>(std::count_if(
        sent.begin(), sent.end(),
        [](const auto& one) { return std::holds_alternative<M>(one.second); }));
  }

  static constexpr base::Millis kStep{20};

  FakeClock clock;
  FakeLog log;
  PolicySource::Policy stored;
  Network network;  // Empty: all datagrams arrive in the next step.
  std::function<void()> each_step;
  std::map<std::string, std::unique_ptr<PolicyVm>> vms;
  // The log still holds responses for them.
  std::vector<std::unique_ptr<PolicyVm>> dead;
  std::vector<std::pair<Datagram, Message>> sent;

 private:
  std::vector<Datagram> m_on_way;
};

}  // namespace azurespur::cell

#endif  // CELL_TESTS_POLICY_CELL_FIXTURE_H_
