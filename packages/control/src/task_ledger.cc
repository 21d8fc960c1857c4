#include "control/task_ledger.h"

#include <algorithm>
#include <utility>

#include "control/task_run.h"
#include "wire/codec.h"

namespace azurespur::control {

namespace {

constexpr int64_t kOrphanCheckMillis = 1000;

// State as passed between VMs.
struct SavedLedger {
  uint64_t offset = 0;
  uint32_t index = 0;
  int64_t time_ms = 0;
  bool any_applied = false;
  std::vector<TaskState> tasks;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(offset, index, time_ms, any_applied, tasks);
  }
};

}  // namespace

TaskLedger::TaskLedger(const TaskLedgerOptions& options) : m_options(options) {}

void TaskLedger::OnEntry(const LogPosition& position,
                         const wire::LogEntry& entry) {
  std::function<void()> listener;
  {
    std::lock_guard lock(m_mutex);
    if (m_any_applied && !(m_applied < position)) {
      return;  // Covered by a loaded state.
    }
    m_applied = position;
    m_any_applied = true;
    Expire(position.time_ms);
    Apply(position, entry);
    listener = m_listener;
  }
  if (listener) {
    listener();
  }
}

void TaskLedger::Apply(const LogPosition& position,
                       const wire::LogEntry& entry) {
  switch (static_cast<wire::EntryKind>(entry.kind)) {
    case wire::EntryKind::kTaskAccept: {
      const auto accept = wire::Decode<TaskAccept>(entry.payload);
      if (base::Ok(accept)) {
        ApplyAccept(position, base::Value(accept));
      }
      return;
    }
    case wire::EntryKind::kTaskClaim:
      return ApplyTo(position, entry, &TaskLedger::ApplyClaim);
    case wire::EntryKind::kTaskBind:
      return ApplyTo(position, entry, &TaskLedger::ApplyBind);
    case wire::EntryKind::kTaskStarted:
      return ApplyTo(position, entry, &TaskLedger::ApplyStarted);
    case wire::EntryKind::kTaskEnd:
      return ApplyTo(position, entry, &TaskLedger::ApplyEnd);
    case wire::EntryKind::kTaskGiveBack:
      return ApplyTo(position, entry, &TaskLedger::ApplyGiveBack);
    case wire::EntryKind::kTaskCancel: {
      const auto cancel = wire::Decode<TaskCancel>(entry.payload);
      if (base::Ok(cancel)) {
        ApplyCancel(position, entry, base::Value(cancel));
      }
      return;
    }
    case wire::EntryKind::kTaskRefresh: {
      const auto refresh = wire::Decode<TaskRefresh>(entry.payload);
      if (base::Ok(refresh)) {
        ApplyRefresh(position, base::Value(refresh));
      }
      return;
    }
    default:
      return;
  }
}

template <typename Record>
void TaskLedger::ApplyTo(const LogPosition& position,
                         const wire::LogEntry& entry,
                         void (TaskLedger::*apply)(TaskState&, const Record&)) {
  const auto record = wire::Decode<Record>(entry.payload);
  if (!base::Ok(record)) {
    return;
  }
  const Record& value = base::Value(record);
  const auto found = m_tasks.find(value.id);
  if (found == m_tasks.end()) {
    m_orphans[value.id].push_back({position, entry});
    return;
  }
  (this->*apply)(found->second, value);
}

void TaskLedger::ApplyAccept(const LogPosition& position,
                             const TaskAccept& accept) {
  if (position.time_ms - accept.made_ms > m_options.record_validity_ms ||
      m_tasks.contains(accept.spec.id)) {
    return;
  }
  TaskState& task = m_tasks[accept.spec.id];
  task.spec = accept.spec;
  task.domain = accept.domain;
  task.version = 1;
  task.accepted_ms = position.time_ms;
  task.written_ms = position.time_ms;
  Attach(task);
  ReplayOrphans(accept.spec.id);
}

void TaskLedger::ApplyClaim(TaskState& task, const TaskClaim& claim) {
  if (task.version != claim.version || task.phase != TaskPhase::kAccepted) {
    return;
  }
  Detach(task);
  task.domain = claim.domain;
  Touch(task);
  Attach(task);
}

void TaskLedger::ApplyBind(TaskState& task, const TaskBind& bind) {
  if (task.version != bind.version || task.phase != TaskPhase::kAccepted ||
      task.domain != bind.domain) {
    return;
  }
  Detach(task);
  task.phase = TaskPhase::kBound;
  task.places = bind.places;
  task.cpu_millis = bind.cpu_millis;
  task.memory_mb = bind.memory_mb;
  task.accelerators = bind.accelerators;
  ++task.attempt;
  Touch(task);
  Attach(task);
}

void TaskLedger::ApplyStarted(TaskState& task, const TaskStarted& started) {
  if (task.phase != TaskPhase::kBound || task.attempt != started.attempt) {
    return;
  }
  Detach(task);
  task.phase = TaskPhase::kRunning;
  Touch(task);
  Attach(task);
}

void TaskLedger::ApplyEnd(TaskState& task, const TaskEnd& end) {
  const bool open = !HasEnded(task);
  if (!open || task.attempt != end.attempt ||
      end.phase < TaskPhase::kMayHaveRun || task.phase == end.phase) {
    return;
  }
  if (end.phase != TaskPhase::kMayHaveRun) {
    NoteUnstarted(task);
  }
  Detach(task);
  task.phase = end.phase;
  task.reason = end.reason;
  task.result = end.result;
  Touch(task);
  NoteEnd(task);
  Attach(task);
}

void TaskLedger::ApplyGiveBack(TaskState& task, const TaskGiveBack& give_back) {
  if (task.version != give_back.version || HasEnded(task)) {
    return;
  }
  NoteUnstarted(task);
  Detach(task);
  if (!give_back.checkpoint.empty()) {
    task.checkpoint = give_back.checkpoint;
  }
  task.phase = TaskPhase::kAccepted;
  task.places.clear();
  task.ended_ms = 0;
  task.reason = give_back.reason;
  if (!give_back.keep_domain) {
    task.domain.clear();
  }
  if (task.cancel_requested) {
    task.phase = TaskPhase::kCancelled;
    NoteEnd(task);
  }
  Touch(task);
  Attach(task);
}

void TaskLedger::ApplyCancel(const LogPosition& position,
                             const wire::LogEntry& entry,
                             const TaskCancel& cancel) {
  for (const std::string& id : cancel.ids) {
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
      const TaskCancel single{{id}, cancel.reason};
      m_orphans[id].push_back(
          {position, {entry.id, entry.kind, wire::Encode(single)}});
      continue;
    }
    TaskState& task = found->second;
    if (HasEnded(task) || task.cancel_requested) {
      continue;
    }
    Detach(task);
    task.cancel_requested = true;
    task.reason = cancel.reason;
    if (task.phase == TaskPhase::kAccepted) {
      task.phase = TaskPhase::kCancelled;
      NoteEnd(task);
    }
    Touch(task);
    Attach(task);
  }
}

void TaskLedger::ApplyRefresh(const LogPosition& position,
                              const TaskRefresh& refresh) {
  if (position.time_ms - refresh.made_ms > m_options.record_validity_ms) {
    return;
  }
  const auto found = m_tasks.find(refresh.task.spec.id);
  if (found != m_tasks.end()) {
    if (found->second.version == refresh.task.version) {
      found->second.written_ms = position.time_ms;
    }
    return;  // Whoever knows the task knows at least this version.
  }
  TaskState& task = m_tasks[refresh.task.spec.id];
  task = refresh.task;
  task.written_ms = position.time_ms;
  if (task.ended_ms != 0) {
    m_ends.emplace_back(task.ended_ms, task.spec.id);
  }
  Attach(task);
  ReplayOrphans(refresh.task.spec.id);
}

void TaskLedger::ReplayOrphans(const std::string& id) {
  const auto found = m_orphans.find(id);
  if (found == m_orphans.end()) {
    return;
  }
  const std::vector<Orphan> orphans = std::move(found->second);
  m_orphans.erase(found);
  for (const Orphan& orphan : orphans) {
    Apply(orphan.position, orphan.entry);
  }
}

void TaskLedger::CountUse(const TaskState& task, int64_t sign) {
  if (!IsBound(task)) {
    return;
  }
  const int64_t factor = sign * static_cast<int64_t>(task.places.size());
  placement::Resources& used = m_used[{task.spec.plan, task.domain}];
  used = placement::Add(
      used, placement::Multiply(
                {task.cpu_millis, task.memory_mb, task.accelerators}, factor));
}

placement::Resources TaskLedger::UsedElsewhere(std::string_view plan,
                                               std::string_view domain) const {
  std::lock_guard lock(m_mutex);
  placement::Resources used;
  for (const auto& [key, amount] : m_used) {
    if (key.first == plan && key.second != domain) {
      used = placement::Add(used, amount);
    }
  }
  return used;
}

void TaskLedger::Detach(const TaskState& task) {
  CountUse(task, -1);
  for (const TaskPlace& place : task.places) {
    const auto found = m_by_worker.find(place.worker);
    if (found == m_by_worker.end()) {
      continue;
    }
    found->second.erase(task.spec.id);
    if (found->second.empty()) {
      m_by_worker.erase(found);
    }
  }
  if (task.phase == TaskPhase::kAccepted) {
    const auto found = m_unbound.find(task.domain);
    if (found != m_unbound.end()) {
      found->second.erase(task.spec.id);
    }
  }
}

void TaskLedger::Attach(const TaskState& task) {
  CountUse(task, 1);
  if (!HasEnded(task)) {
    for (const TaskPlace& place : task.places) {
      m_by_worker[place.worker].insert(task.spec.id);
    }
  }
  if (task.phase == TaskPhase::kAccepted) {
    m_unbound[task.domain].insert(task.spec.id);
  }
  m_changes.insert(task.spec.id);
}

void TaskLedger::Touch(TaskState& task) {
  ++task.version;
  task.written_ms = m_applied.time_ms;
}

void TaskLedger::NoteEnd(TaskState& task) {
  task.ended_ms = m_applied.time_ms;
  m_ends.emplace_back(task.ended_ms, task.spec.id);
}

// A task that may have run has stayed bound, and may not have been started.
void TaskLedger::NoteUnstarted(const TaskState& task) {
  if (task.phase != TaskPhase::kBound && task.phase != TaskPhase::kMayHaveRun) {
    return;
  }
  for (size_t i = 0; i < task.places.size(); ++i) {
    const TaskPlace& place = task.places[i];
    m_unstarted.push_back({place.worker,
                           place.marker,
                           MemberRunId(task.spec.id, task.attempt, i),
                           {task.cpu_millis, task.memory_mb, task.accelerators},
                           m_applied.time_ms});
  }
}

void TaskLedger::Expire(int64_t now_ms) {
  const int64_t limit = now_ms - m_options.fate_retention_ms;
  while (!m_ends.empty() && m_ends.front().first < limit) {
    const std::string id = std::move(m_ends.front().second);
    const int64_t ended_ms = m_ends.front().first;
    m_ends.pop_front();
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end() && found->second.ended_ms == ended_ms) {
      Detach(found->second);
      m_changes.insert(id);
      m_tasks.erase(found);
    }
  }
  if (now_ms < m_orphans_checked_ms + kOrphanCheckMillis) {
    return;
  }
  m_orphans_checked_ms = now_ms;
  std::erase_if(m_orphans, [limit](const auto& item) {
    return item.second.back().position.time_ms < limit;
  });
}

std::vector<RefreshEntry> TaskLedger::Refresh(int64_t written_before_ms) {
  std::lock_guard lock(m_mutex);
  std::vector<RefreshEntry> entries;
  for (const auto& [id, task] : m_tasks) {
    if (task.written_ms < written_before_ms) {
      entries.push_back({wire::EntryKind::kTaskRefresh,
                         wire::Encode(TaskRefresh{task, m_applied.time_ms})});
    }
  }
  return entries;
}

std::string TaskLedger::SaveState() const {
  std::lock_guard lock(m_mutex);
  SavedLedger saved;
  saved.offset = m_applied.offset;
  saved.index = m_applied.index;
  saved.time_ms = m_applied.time_ms;
  saved.any_applied = m_any_applied;
  saved.tasks.reserve(m_tasks.size());
  for (const auto& [id, task] : m_tasks) {
    saved.tasks.push_back(task);
  }
  return wire::Encode(saved);
}

base::Outcome<base::Unit> TaskLedger::LoadState(std::string_view bytes) {
  auto decoded = wire::Decode<SavedLedger>(bytes);
  if (!base::Ok(decoded)) {
    return base::GetError(decoded);
  }
  SavedLedger& saved = base::Value(decoded);
  std::lock_guard lock(m_mutex);
  m_tasks.clear();
  m_by_worker.clear();
  m_unbound.clear();
  m_used.clear();
  m_orphans.clear();
  m_ends.clear();
  m_unstarted.clear();
  m_applied = {saved.offset, saved.index, saved.time_ms};
  m_any_applied = saved.any_applied;
  for (TaskState& task : saved.tasks) {
    const std::string id = task.spec.id;
    if (task.ended_ms != 0) {
      m_ends.emplace_back(task.ended_ms, id);
    }
    Attach(m_tasks.emplace(id, std::move(task)).first->second);
  }
  std::sort(m_ends.begin(), m_ends.end());
  return base::Unit{};
}

std::optional<TaskState> TaskLedger::Find(std::string_view id) const {
  std::lock_guard lock(m_mutex);
  const auto found = m_tasks.find(std::string(id));
  if (found == m_tasks.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<std::string> TaskLedger::BoundTo(std::string_view worker) const {
  std::lock_guard lock(m_mutex);
  const auto found = m_by_worker.find(worker);
  if (found == m_by_worker.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

std::vector<std::string> TaskLedger::BoundWorkers(
    std::string_view domain) const {
  std::lock_guard lock(m_mutex);
  std::vector<std::string> workers;
  for (const auto& [worker, ids] : m_by_worker) {
    const auto task = m_tasks.find(*ids.begin());
    if (task != m_tasks.end() && task->second.domain == domain) {
      workers.push_back(worker);
    }
  }
  return workers;
}

std::vector<std::string> TaskLedger::Unbound(std::string_view domain) const {
  std::lock_guard lock(m_mutex);
  const auto found = m_unbound.find(domain);
  if (found == m_unbound.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

std::vector<TaskState> TaskLedger::Select(
    const std::function<bool(const TaskState&)>& accept,
    size_t limit) const {
  std::lock_guard lock(m_mutex);
  std::vector<TaskState> selected;
  for (const auto& [id, task] : m_tasks) {
    if (selected.size() >= limit) {
      break;
    }
    if (accept(task)) {
      selected.push_back(task);
    }
  }
  std::sort(selected.begin(), selected.end(),
            [](const TaskState& a, const TaskState& b) {
              return a.spec.id < b.spec.id;
            });
  return selected;
}

TaskCounts TaskLedger::Counts() const {
  std::lock_guard lock(m_mutex);
  TaskCounts counts;
  counts.tasks = m_tasks.size();
  counts.orphans = m_orphans.size();
  for (const auto& [id, task] : m_tasks) {
    counts.unbound += task.phase == TaskPhase::kAccepted;
    counts.bound += task.phase == TaskPhase::kBound;
    counts.running += task.phase == TaskPhase::kRunning;
    counts.may_have_run += task.phase == TaskPhase::kMayHaveRun;
    counts.ended += HasEnded(task);
  }
  return counts;
}

std::vector<std::string> TaskLedger::TakeChanges() {
  std::lock_guard lock(m_mutex);
  std::vector<std::string> changes(m_changes.begin(), m_changes.end());
  m_changes.clear();
  return changes;
}

std::vector<UnstartedBinding> TaskLedger::TakeUnstarted() {
  std::lock_guard lock(m_mutex);
  return std::exchange(m_unstarted, {});
}

void TaskLedger::SetListener(std::function<void()> listener) {
  std::lock_guard lock(m_mutex);
  m_listener = std::move(listener);
}

int64_t TaskLedger::LogTime() const {
  std::lock_guard lock(m_mutex);
  return m_applied.time_ms;
}

}  // namespace azurespur::control
