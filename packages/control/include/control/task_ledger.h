// The table of tasks, built from the stream "tasks" alone, so that every VM
// reaches the same verdict on every record.

#ifndef CONTROL_TASK_LEDGER_H_
#define CONTROL_TASK_LEDGER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/outcome.h"
#include "control/log_observer.h"
#include "control/task_records.h"
#include "control/task_state.h"
#include "placement/resources.h"

namespace azurespur::control {

struct TaskLedgerOptions {
  // How long the fate of an ended task is kept.
  int64_t fate_retention_ms = 600'000;
  // An accept or refresh record that reaches the stream later than this after
  // it was made has no effect. Shorter than `fate_retention_ms`, so that a
  // late repeat never brings an ended and forgotten task back.
  int64_t record_validity_ms = 60'000;
};

// A binding that was given up before the task was recorded as started. A start
// of it may still be under way to the worker.
struct UnstartedBinding {
  std::string worker;
  std::string marker;  // Of the owner that bound it.
  std::string run_id;  // On the worker.
  placement::Resources size;
  int64_t given_up_ms = 0;  // The log service's clock.
};

struct TaskCounts {
  size_t tasks = 0;
  size_t unbound = 0;
  size_t bound = 0;
  size_t running = 0;
  size_t may_have_run = 0;
  size_t ended = 0;
  size_t orphans = 0;
};

// Thread-safe.
class TaskLedger : public LogObserver {
 public:
  explicit TaskLedger(const TaskLedgerOptions& options = {});

  void OnEntry(const LogPosition& position,
               const wire::LogEntry& entry) override;
  std::vector<RefreshEntry> Refresh(int64_t written_before_ms) override;
  std::string SaveState() const override;
  base::Outcome<base::Unit> LoadState(std::string_view bytes) override;

  std::optional<TaskState> Find(std::string_view id) const;
  std::vector<std::string> BoundTo(std::string_view worker) const;
  // Workers with tasks that `domain` claims.
  std::vector<std::string> BoundWorkers(std::string_view domain) const;
  // Unbound tasks that `domain` claims; an empty domain: those given back.
  std::vector<std::string> Unbound(std::string_view domain) const;
  // Tasks for which `accept` is true, by id, at most `limit`.
  std::vector<TaskState> Select(
      const std::function<bool(const TaskState&)>& accept,
      size_t limit) const;
  TaskCounts Counts() const;
  // What the bound tasks of `plan` hold outside `domain`.
  placement::Resources UsedElsewhere(std::string_view plan,
                                     std::string_view domain) const;

  // Ids that changed since the last call.
  std::vector<std::string> TakeChanges();

  // Bindings that were given up unstarted since the last call.
  std::vector<UnstartedBinding> TakeUnstarted();

  // Called after each change, on the reader's thread; set before use.
  void SetListener(std::function<void()> listener);

  // Newest time of the log service's clock seen in the stream.
  int64_t LogTime() const;

 private:
  struct Orphan {
    LogPosition position;
    wire::LogEntry entry;
  };

  void Apply(const LogPosition& position, const wire::LogEntry& entry);
  void ApplyAccept(const LogPosition& position, const TaskAccept& accept);
  void ApplyClaim(TaskState& task, const TaskClaim& claim);
  void ApplyBind(TaskState& task, const TaskBind& bind);
  void ApplyStarted(TaskState& task, const TaskStarted& started);
  void ApplyEnd(TaskState& task, const TaskEnd& end);
  void ApplyGiveBack(TaskState& task, const TaskGiveBack& give_back);
  void ApplyCancel(const LogPosition& position,
                   const wire::LogEntry& entry,
                   const TaskCancel& cancel);
  void ApplyRefresh(const LogPosition& position, const TaskRefresh& refresh);
  template <typename Record>
  void ApplyTo(const LogPosition& position,
               const wire::LogEntry& entry,
               void (TaskLedger::*apply)(TaskState&, const Record&));
  void ReplayOrphans(const std::string& id);

  void CountUse(const TaskState& task, int64_t sign);
  // Every change of a task stands between these two.
  void Detach(const TaskState& task);
  void Attach(const TaskState& task);
  void Touch(TaskState& task);
  void NoteEnd(TaskState& task);
  void NoteUnstarted(const TaskState& task);
  void Expire(int64_t now_ms);

  const TaskLedgerOptions m_options;
  mutable std::mutex m_mutex;
  std::unordered_map<std::string, TaskState> m_tasks;
  std::map<std::string, std::unordered_set<std::string>, std::less<>>
      m_by_worker;
  std::map<std::string, std::set<std::string>, std::less<>> m_unbound;
  // Of bound tasks, by plan and domain.
  std::map<std::pair<std::string, std::string>, placement::Resources> m_used;
  // Records of tasks that are unknown here, for a refresh to come.
  std::map<std::string, std::vector<Orphan>> m_orphans;
  std::deque<std::pair<int64_t, std::string>> m_ends;  // By log time.
  std::vector<UnstartedBinding> m_unstarted;
  std::unordered_set<std::string> m_changes;
  std::function<void()> m_listener;
  int64_t m_orphans_checked_ms = 0;
  LogPosition m_applied;
  bool m_any_applied = false;
};

}  // namespace azurespur::control

#endif  // CONTROL_TASK_LEDGER_H_
