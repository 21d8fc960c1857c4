#include "open_submissions.h"

#include <algorithm>

namespace azurespur::cell {

void OpenSubmissions::Begin(jobs::JobId job) {
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_open[job].in_progress;
}

void OpenSubmissions::End(jobs::JobId job,
                          StoreOutcome outcome,
                          base::MonoTime now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Open& open = m_open[job];
  open.in_progress = std::max(0, open.in_progress - 1);
  if (outcome == StoreOutcome::kUnknown) {
    open.uncertain_until = now + m_keep;
  }
  if (open.in_progress == 0 && open.uncertain_until <= now) {
    m_open.erase(job);
  }
}

bool OpenSubmissions::MayBeStored(jobs::JobId job, base::MonoTime now) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_open.find(job);
  return found != m_open.end() &&
         (found->second.in_progress > 0 || now < found->second.uncertain_until);
}

void OpenSubmissions::RemoveExpired(base::MonoTime now) {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::erase_if(m_open, [now](const auto& entry) {
    return entry.second.in_progress == 0 && entry.second.uncertain_until <= now;
  });
}

}  // namespace azurespur::cell
