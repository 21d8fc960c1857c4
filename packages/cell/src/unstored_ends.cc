#include "unstored_ends.h"

#include <variant>

namespace azurespur::cell {

namespace {

// Datagrams may be lost, so ends are sent until the table shows them.
constexpr base::Millis kSendInterval{250};
// By then the later leader has released every run whose worker is silent.
constexpr base::Millis kMaxAge{30000};
// Of an end without its checkpoint and the worker's id.
constexpr size_t kEndBytes = 48;

bool IsBound(const jobs::JobTable& table,
             const jobs::TaskRef& task,
             int32_t run) {
  const jobs::Job* job = table.Find(task.job);
  const auto step = static_cast<size_t>(task.step);
  const auto index = static_cast<size_t>(task.index);
  if (job == nullptr || step >= job->steps.size() ||
      index >= job->steps[step].tasks.size()) {
    return false;
  }
  const jobs::TaskProgress& progress = job->steps[step].tasks[index];
  return progress.phase == jobs::TaskPhase::kBound && progress.run == run;
}

}  // namespace

void UnstoredEnds::Add(std::span<const jobs::PendingRecord> records,
                       base::MonoTime now) {
  for (const jobs::PendingRecord& pending : records) {
    const auto* end = std::get_if<jobs::EndRecord>(&pending.record);
    if (end != nullptr && pending.end_number > 0) {
      m_ends[end->task] = {{*end, pending.worker.id}, now};
    }
  }
}

void UnstoredEnds::RemoveKnown(const jobs::JobTable& table,
                               base::MonoTime now) {
  std::erase_if(m_ends, [&table, now](const auto& entry) {
    return now > entry.second.added + kMaxAge ||
           !IsBound(table, entry.first, entry.second.end.end.run);
  });
}

std::vector<WorkerEnd> UnstoredEnds::TakeDue(size_t max_bytes,
                                             base::MonoTime now) {
  std::vector<WorkerEnd> due;
  if (m_ends.empty() || now < m_next_send) {
    return due;
  }
  m_next_send = now + kSendInterval;
  auto next = m_ends.upper_bound(m_last_sent);
  if (next == m_ends.end()) {
    next = m_ends.begin();
  }
  for (size_t bytes = 0; next != m_ends.end(); ++next) {
    const WorkerEnd& end = next->second.end;
    bytes += kEndBytes + end.worker.size() + end.end.checkpoint.size();
    if (!due.empty() && bytes > max_bytes) {
      break;
    }
    due.push_back(end);
    m_last_sent = next->first;
  }
  return due;
}

std::vector<WorkerEnd> UnstoredEnds::All() const {
  std::vector<WorkerEnd> all;
  for (const auto& [task, entry] : m_ends) {
    all.push_back(entry.end);
  }
  return all;
}

}  // namespace azurespur::cell
