// A small cell in virtual time: workers, a log, a VM list and entry VMs, each
// with the real TaskService, joined by calls that can be late, lost or cut.

#ifndef CONTROL_TESTS_FAKE_CELL_H_
#define CONTROL_TESTS_FAKE_CELL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "control/lists_view.h"
#include "control/log_channel.h"
#include "control/peer_bus.h"
#include "control/task_ledger.h"
#include "control/task_service.h"
#include "control/vm_directory.h"
#include "fake_time.h"
#include "fake_worker.h"

namespace azurespur::control {

struct FakeCellOptions {
  uint64_t seed = 1;
  int entry_vms = 3;
  int workers = 4;
  int64_t worker_cpu_millis = 4000;
  int64_t worker_memory_mb = 3000;
  int workers_per_rack = 2;
  int64_t report_lag_ms = 100;
  double lost_answers = 0;  // Share of calls whose answer is lost.
  double late_calls = 0;    // Share of calls that land after their timeout.
  int64_t late_ms = 3000;   // How long after it at most.
  double repeated_appends = 0;
  TaskServiceOptions service;
};

class FakeCell;

// The part of the outside world that one entry VM sees.
class FakeVm : public services::WorkerClient,
               public LogChannel,
               public PeerBus,
               public VmDirectory {
 public:
  template <typename T>
  using Answered = services::WorkerClient::Done<T>;

  FakeVm(FakeCell& cell, std::string id, std::string domain);

  void Boot();  // Starts a new process.
  void Kill();
  void Step();  // One round of the process and its log reader.

  bool Start(std::string_view address,
             services::WorkerStart start,
             Answered<base::Unit> done) override;
  bool Renew(std::string_view address,
             base::Millis lease,
             std::vector<std::string> ids,
             Answered<std::vector<std::string>> done) override;
  bool Release(std::string_view address,
               std::string_view id,
               Answered<base::Unit> done) override;
  bool Throttle(std::string_view,
                std::string_view,
                Answered<base::Unit>) override {
    return false;
  }
  bool Checkpoint(std::string_view address,
                  std::string_view id,
                  Answered<std::string> done) override;
  bool Stop(std::string_view address,
            std::string_view id,
            Answered<services::WorkerStop> done) override;
  bool Report(std::string_view address,
              Answered<services::WorkerReport> done) override;

  bool Append(wire::EntryKind kind,
              std::string payload,
              base::MonoTime deadline,
              LogChannel::Done done) override;
  LogChannelStatus Status() const override { return {}; }
  void Start(uint64_t) override {}
  void Stop() override {}

  void Subscribe(wire::Topic, Handler) override {}
  void SetAnswerer(wire::Topic topic, Answerer answerer) override {
    answerers[topic] = std::move(answerer);
  }
  bool Send(std::string_view, wire::Topic, std::string) override {
    return true;
  }
  bool Request(std::string_view vm,
               wire::Topic topic,
               std::string payload,
               base::Millis timeout,
               PeerBus::Done done) override;
  std::vector<Peer> Peers() const override;
  size_t RankInDomain() const override;

  std::shared_ptr<const services::VmListPage> Current() const override;
  int64_t SilentMillis() const override;

  struct Lists : ListsView {
    std::shared_ptr<const ListsSnapshot> Current() const override {
      return snapshot;
    }
    std::shared_ptr<ListsSnapshot> snapshot = std::make_shared<ListsSnapshot>();
  };

  const std::string id;
  const std::string domain;
  uint64_t incarnation = 0;
  bool alive = false;
  int64_t paused_until_ms = 0;
  bool cut_from_workers = false;
  bool cut_from_log = false;
  bool cut_from_list = false;
  // A start of this worker task takes so long to land, with no answer.
  std::string late_start;
  int64_t late_start_ms = 0;
  // Collects for each call of a worker a function that answers it with an
  // error, whatever became of the call and of the caller. Null: none are kept.
  std::vector<std::function<void()>>* kept_answers = nullptr;
  std::map<wire::Topic, Answerer> answerers;
  double busy_seconds = 0;  // Spent in Step(), by this machine's clock.
  std::unique_ptr<base::Metrics> metrics;
  std::unique_ptr<TaskLedger> ledger;
  std::unique_ptr<TaskService> service;

 private:
  struct PendingAppend {
    wire::LogEntry entry;
    base::MonoTime deadline;
    LogChannel::Done done;
    bool sent = false;
  };

  template <typename T>
  bool Call(std::string_view address,
            Answered<T> done,
            std::function<base::Outcome<T>(FakeWorker&)> verb,
            int64_t late_ms = 0);
  void FlushAppends();
  void ReadLog();

  FakeCell& m_cell;
  uint64_t m_sequence = 0;
  mutable std::shared_ptr<const services::VmListPage> m_list;
  mutable int64_t m_list_read_ms = 0;
  size_t m_read = 0;
  int64_t m_flushed_ms = 0;
  std::map<std::string, PendingAppend> m_pending;
};

// Everything outside the processes.
class FakeCell {
 public:
  explicit FakeCell(const FakeCellOptions& options);
  ~FakeCell();

  // Lets virtual time pass.
  void Run(int64_t duration_ms);

  // Submits through `vm`; the id is in `accepted` once the caller heard so.
  void Submit(FakeVm& vm, const TaskSpec& spec);

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
  }
  int64_t Pick(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random);
  }

  FakeWorker* FindWorker(const std::string& id);
  // Ends the worker and takes it off the list.
  void RemoveWorker(const std::string& id);
  // Lists it again, in a new boot.
  void ReturnWorker(const std::string& id);
  FakeVm* FirstAlive();
  // The VM that owns the most workers; null if none owns any.
  FakeVm* Owner();
  size_t OwnedWorkers();

  const FakeCellOptions options;
  FakeTime time;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  std::map<std::string, FakeWorker*> workers_by_id;
  std::vector<std::unique_ptr<FakeVm>> vms;
  std::set<std::string> removed_workers;  // Dead.
  std::set<std::string> listed_removals;  // Dead, and off the VM list.
  std::set<std::string> leaving_workers;
  uint64_t list_version = 1;
  bool log_away = false;
  struct Record {
    int64_t time_ms = 0;
    std::vector<wire::LogEntry> entries;
  };
  std::vector<Record> log;
  std::map<std::string, TaskSpec> submitted;
  std::map<std::string, TaskSpec> accepted;
  std::map<std::string, std::string> refused;
};

}  // namespace azurespur::control

#endif  // CONTROL_TESTS_FAKE_CELL_H_
