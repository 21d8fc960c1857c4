// Two VMs that share a log: one leads, is cut off from the log and from the
// other VM, and still hears from its worker.

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "node_fixture.h"

namespace azurespur::cell {

using base::Millis;

namespace {

// One task runs on the worker until the test ends it.
struct OneWorker {
  jobs::WorkerReport report;
  bool gone = false;
};

// A VM's path to the worker.
class WorkerPath : public WorkerOrderClient {
 public:
  explicit WorkerPath(OneWorker& worker) : m_worker(worker) {}

  void Start(const jobs::StartOrder& order,
             std::function<void(jobs::StartAnswer)> done) override {
    if (IsCut()) {
      done({});
      return;
    }
    m_worker.report.running.push_back({order.task, order.run, "", 0});
    done({jobs::OrderOutcome::kAccepted, std::nullopt});
  }
  void Stop(const jobs::StopOrder& /*order*/,
            std::function<void(jobs::OrderOutcome)> done) override {
    done(jobs::OrderOutcome::kUnknown);
  }
  void Hold(const jobs::HoldOrder& /*order*/,
            std::function<void(HoldResult)> done) override {
    if (IsCut()) {
      done({});
      return;
    }
    done({jobs::OrderOutcome::kAccepted, m_worker.report});
  }

  bool cut = false;

 private:
  bool IsCut() const { return cut || m_worker.gone; }

  OneWorker& m_worker;
};

// A VM's path to the log.
class LogPath : public FencedLog {
 public:
  explicit LogPath(FakeLog& log) : m_log(log) {}

  void Append(AppendRequest request,
              std::function<void(AppendResult)> done) override {
    if (cut) {
      done({AppendStatus::kUnknown, 0});
      return;
    }
    m_log.Append(std::move(request), std::move(done));
  }
  void Read(ReadRequest request,
            std::function<void(ReadResult)> done) override {
    if (cut) {
      ReadResult failed;
      failed.status = ReadStatus::kFailed;
      done(failed);
      return;
    }
    m_log.Read(std::move(request), std::move(done));
  }

  bool cut = false;

 private:
  FakeLog& m_log;
};

class WorkerList : public WorkerDirectory {
 public:
  void Poll(std::function<void(base::Outcome<Entries>)> done) override {
    done(entries);
  }

  Entries entries;
};

struct Vm {
  Vm(const std::string& vm,
     FakeLog& shared_log,
     OneWorker& worker,
     WorkerDirectory& directory,
     const base::Clock& clock)
      : name(vm),
        log(shared_log),
        workers(worker),
        uplink(100, clock),
        node(MakeOptions(vm),
             {log, workers, advice, directory, policy, datagrams, snapshots,
              &uplink},
             clock,
             metrics) {}

  static NodeOptions MakeOptions(const std::string& vm) {
    NodeOptions options;
    options.vm = vm;
    options.peer_address = vm;
    return options;
  }

  void Begin() {
    node.Begin();
    node.RunPending();
    auto current = std::make_shared<jobs::CellPolicy>();
    current->version = 1;
    current->queues["q"].service = "s";
    current->queues["q"].max_attempts = 3;
    policy.Answer(PolicySource::Policy{current});
  }

  // Delivers what was sent to `other`, unless one of them is cut off.
  void DeliverTo(Vm& other) {
    const auto addresses = std::exchange(datagrams.addresses, {});
    const auto sent = std::exchange(datagrams.sent, {});
    for (size_t i = 0; i < sent.size(); ++i) {
      if (addresses[i] == other.name && !log.cut && !other.log.cut) {
        other.datagrams.deliver(sent[i]);
      }
    }
  }

  const std::string name;
  LogPath log;
  WorkerPath workers;
  IdleAdvice advice;
  HeldPolicySource policy;
  HeldDatagrams datagrams;
  FakeSnapshotStore snapshots;
  base::LinkQueue uplink;
  base::Metrics metrics;
  Node node;
};

struct CutLeaderFixture {
  CutLeaderFixture() {
    jobs::WorkerEntry entry;
    entry.boot = {"w", 1};
    entry.service = "s";
    entry.address = "addr";
    entry.capacity = {100, 100, 0};
    directory.entries = {entry};
    worker.report.boot_unix_ms = 1;
    other.workers.cut = true;
    jobs::JobSpec spec;
    spec.id = 1;
    spec.queue = "q";
    spec.steps.resize(1);
    spec.steps[0].count = 1;
    spec.steps[0].demand = {1, 1, 0};
    log.topics[std::string(kIntakeTopic)].records = {jobs::EncodeIntake(spec)};
    leader.Begin();
    Pass(Millis{1000});
    other.Begin();
    other_runs = true;
    Pass(Millis{1000});
  }

  void Pass(Millis total) {
    for (Millis passed{0}; passed < total; passed += Millis{20}) {
      clock.now += Millis{20};
      worker.report.clock_ms = clock.WallMillis();
      log.DeliverResponses();
      RunMail(leader);
      if (other_runs) {
        RunMail(other);
        leader.DeliverTo(other);
        other.DeliverTo(leader);
      }
    }
  }

  static void RunMail(Vm& vm) {
    for (int i = 0; i < 4; ++i) {
      vm.node.RunPending();
    }
  }

  void EndTask(jobs::EndCause cause) {
    const jobs::RunningTask& running = worker.report.running[0];
    worker.report.ended = {{1, running.task, running.run, cause, ""}};
    worker.report.running.clear();
  }

  // The ends of the task that the log holds.
  std::vector<jobs::EndRecord> StoredEnds() {
    std::vector<jobs::EndRecord> ends;
    for (const std::string& bytes :
         log.topics[std::string(kWorkTopic)].records) {
      const auto record = jobs::DecodeWork(bytes);
      if (const auto* end =
              std::get_if<jobs::EndRecord>(&base::Value(record))) {
        ends.push_back(*end);
      }
    }
    return ends;
  }

  // The VM of the newest leader record.
  std::string StoredLeader() {
    std::string vm;
    for (const std::string& bytes :
         log.topics[std::string(kWorkTopic)].records) {
      const auto record = jobs::DecodeWork(bytes);
      if (const auto* lead =
              std::get_if<jobs::LeaderRecord>(&base::Value(record))) {
        vm = lead->vm;
      }
    }
    return vm;
  }

  FakeClock clock;
  FakeLog log;
  OneWorker worker;
  WorkerList directory;
  Vm leader{"vm-a", log, worker, directory, clock};
  Vm other{"vm-b", log, worker, directory, clock};
  bool other_runs = false;
};

}  // namespace

// Guards against a task that is done and waits for the lease of a worker that
// has left, as only a leader that was cut off heard of its end.
TEST_CASE("an end that a cut-off leader heard is stored once it is back") {
  CutLeaderFixture f;
  REQUIRE(f.StoredLeader() == "vm-a");
  REQUIRE(f.worker.report.running.size() == 1);
  f.leader.log.cut = true;
  f.Pass(Millis{2000});
  REQUIRE(f.StoredLeader() == "vm-b");
  f.EndTask(jobs::EndCause::kDone);
  f.Pass(Millis{200});
  f.worker.gone = true;
  f.directory.entries.clear();
  f.Pass(Millis{2000});
  REQUIRE(f.StoredEnds().empty());
  f.leader.log.cut = false;
  f.Pass(Millis{1000});
  const auto ends = f.StoredEnds();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].run == 1);
  CHECK(ends[0].kind == jobs::EndKind::kDone);
}

// Guards against the same wait if the successor has ended meanwhile, and the
// former leader leads once more.
TEST_CASE("a VM that leads again stores the ends of its former term") {
  CutLeaderFixture f;
  f.leader.log.cut = true;
  f.Pass(Millis{2000});
  REQUIRE(f.StoredLeader() == "vm-b");
  f.EndTask(jobs::EndCause::kDone);
  f.Pass(Millis{200});
  f.worker.gone = true;
  f.directory.entries.clear();
  f.other_runs = false;
  f.leader.log.cut = false;
  f.Pass(Millis{4000});
  REQUIRE(f.StoredLeader() == "vm-a");
  const auto ends = f.StoredEnds();
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].run == 1);
  CHECK(ends[0].kind == jobs::EndKind::kDone);
}

}  // namespace azurespur::cell
