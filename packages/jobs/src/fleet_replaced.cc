// Workers whose address answers for another boot.
//
// An address belongs to one boot at a time, so the known one is gone, and what
// ran there is over. A start that got no answer may still arrive there: the
// boot that answers now refuses it, but the worker may be back under its id
// before that, and it knows no fencing token then. So such a start counts until
// it can't arrive any more and the address has been asked again.

#include <vector>

#include "base/event_log.h"
#include "jobs/fleet.h"
#include "start_resend.h"

namespace azurespur::jobs {

void Fleet::SetAdoptedAddress(const WorkerBoot& boot,
                              std::string_view address) {
  Worker* worker = FindWorker(boot.id);
  if (worker != nullptr && worker->entry.boot == boot &&
      !worker->adopted_from_several_boots) {
    worker->entry.address = address;
    worker->confirmed_address = address;
  }
}

void Fleet::ConfirmAddress(Worker& worker, const std::string& address) {
  worker.other_boot_at = {};
  if (worker.confirmed_address == address) {
    return;
  }
  worker.confirmed_address = address;
  for (auto& [task, start] : m_open_starts) {
    if (start.worker == worker.entry.boot.id) {
      start.at_one_address = false;
    }
  }
}

void Fleet::OnOtherBoot(Worker& worker,
                        const OrderTarget& target,
                        base::MonoTime now,
                        SchedulerOutput& out) {
  // An entry of another writer may name the address of another worker, which
  // tells nothing of this one.
  if (target.worker != worker.entry.boot || target.address.empty() ||
      target.address != worker.confirmed_address ||
      target.sent_at <= worker.other_boot_at) {
    return;
  }
  if (worker.other_boot_at == base::MonoTime{}) {
    ++m_replaced_boots;
    base::LogEvent(base::Severity::kWarning, "AZ9125",
                   "another boot answers at the worker's address",
                   {{"worker", worker.entry.boot.id},
                    {"born", std::to_string(worker.entry.boot.boot_unix_ms)},
                    {"address", target.address},
                    {"runs", std::to_string(worker.runs.size())}});
  }
  worker.other_boot_at = target.sent_at;
  worker.has_unknown_run = false;
  worker.responsive = false;
  std::vector<TaskRef> over;
  for (const auto& [task, run] : worker.runs) {
    if (IsOverAtOtherBoot(task, run, target.sent_at)) {
      over.push_back(task);
    }
  }
  AdvanceAll(worker, over, RunEvent::kOtherBoot, now, out);
}

bool Fleet::IsOverAtOtherBoot(const TaskRef& task,
                              const Run& run,
                              base::MonoTime asked_at) const {
  if (run.confirmed_at >= asked_at) {
    return false;
  }
  const auto open = m_open_starts.find(task);
  return !WaitsForOpenStart(run) || open == m_open_starts.end() ||
         IsRefusedByOtherBoot(open->second, asked_at);
}

}  // namespace azurespur::jobs
