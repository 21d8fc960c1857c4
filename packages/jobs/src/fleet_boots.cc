// The boots of workers: what the directory says of them, and restarts.

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "base/event_log.h"
#include "jobs/fleet.h"
#include "lease_time.h"

namespace azurespur::jobs {

namespace {

// Of a worker; the directory lags by fewer restarts.
constexpr size_t kMaxFormerBoots = 8;

// True unless both are known and differ.
bool IsSameBoot(int64_t a, int64_t b) {
  return a == b || a == 0 || b == 0;
}

bool IsFormerBoot(const Worker& worker, int64_t boot_unix_ms) {
  return std::count(worker.former_boots.begin(), worker.former_boots.end(),
                    boot_unix_ms) > 0;
}

void AddFormerBoot(Worker& worker, int64_t boot_unix_ms) {
  if (IsFormerBoot(worker, boot_unix_ms)) {
    return;
  }
  if (worker.former_boots.size() >= kMaxFormerBoots) {
    worker.former_boots.erase(worker.former_boots.begin());
  }
  worker.former_boots.push_back(boot_unix_ms);
}

// A start that was meant for an earlier boot may reach the new one, whose clock
// is another, so it never becomes too late there. A stop prevents it.
void ObserveRestart(Run& run, base::MonoTime now) {
  const bool open = now < run.start_open_until;
  run.phase = NextPhase(
      run.phase, open ? RunEvent::kRestartedSendOpen : RunEvent::kRestarted);
  if (run.phase == RunPhase::kStartUnknown) {
    run.start_deadline = base::MonoTime::max();
    run.stop_sent_at = {};
  }
  run.stop_requested = run.stop_requested || run.phase == RunPhase::kBinding;
}

void LogBoot(const Worker& worker,
             std::string_view id,
             std::string_view message,
             int64_t boot_unix_ms) {
  base::LogEvent(
      base::Severity::kWarning, id, message,
      {{"worker", worker.entry.boot.id},
       {"born", std::to_string(boot_unix_ms)},
       {"known_born", std::to_string(worker.entry.boot.boot_unix_ms)},
       {"runs", std::to_string(worker.runs.size())}});
}

}  // namespace

void Fleet::SetEntries(std::span<const WorkerEntry> entries,
                       base::MonoTime now) {
  std::set<std::string_view> present;
  for (const WorkerEntry& entry : entries) {
    present.insert(entry.boot.id);
    Worker& worker = m_workers[entry.boot.id];
    if (worker.entry.boot.id.empty()) {
      worker.entry = entry;
      worker.next_hold = now;
    } else {
      UpdateEntry(worker, entry, now);
    }
    worker.listed = true;
  }
  for (auto it = m_workers.begin(); it != m_workers.end();) {
    if (present.count(it->first) == 0) {
      it->second.listed = false;
    }
    const bool needed = it->second.listed || !it->second.runs.empty() ||
                        !it->second.open_sends.empty();
    it = needed ? std::next(it) : m_workers.erase(it);
  }
}

// The directory lags behind the worker, by one restart or several. So an entry
// of another boot is only a reason to ask the worker, at the entry's address;
// its own report decides which boot it is and what runs there.
void Fleet::UpdateEntry(Worker& worker,
                        const WorkerEntry& entry,
                        base::MonoTime now) {
  if (IsSameBoot(entry.boot.boot_unix_ms, worker.entry.boot.boot_unix_ms)) {
    worker.entry = entry;
    worker.undescribed = false;
    worker.announced.reset();
    return;
  }
  if (IsFormerBoot(worker, entry.boot.boot_unix_ms)) {
    return;
  }
  const bool first = !worker.announced || worker.announced->boot != entry.boot;
  worker.announced = entry;
  if (first) {
    worker.announced_at = now;
    worker.responsive = false;
    worker.holds_in_flight = 0;
    worker.next_hold = now;
    LogBoot(worker, "AZ9121",
            "directory names another boot of the worker; asking the worker",
            entry.boot.boot_unix_ms);
  }
}

void Fleet::ObserveBoot(Worker& worker,
                        int64_t boot_unix_ms,
                        base::MonoTime asked_at,
                        base::MonoTime now) {
  const bool asked_anew = worker.announced && asked_at >= worker.announced_at;
  if (boot_unix_ms == 0 && asked_anew) {
    HandleRestart(worker, worker.announced->boot.boot_unix_ms, now);
  } else if (!IsSameBoot(boot_unix_ms, worker.entry.boot.boot_unix_ms)) {
    HandleRestart(worker, boot_unix_ms, now);
  } else if (asked_anew) {
    AddFormerBoot(worker, worker.announced->boot.boot_unix_ms);
    worker.announced.reset();
  }
}

void Fleet::HandleRestart(Worker& worker,
                          int64_t boot_unix_ms,
                          base::MonoTime now) {
  LogBoot(worker, "AZ9106", "worker restarted", boot_unix_ms);
  for (auto& [task, run] : worker.runs) {
    ObserveRestart(run, now);
  }
  for (OpenSend& send : worker.open_sends) {
    SetRefused(send, false);
    send.stop_sent_at = {};
  }
  worker.restart_seen_at = now;
  AddFormerBoot(worker, worker.entry.boot.boot_unix_ms);
  std::erase(worker.former_boots, boot_unix_ms);
  if (worker.announced && worker.announced->boot.boot_unix_ms == boot_unix_ms) {
    worker.entry = *std::exchange(worker.announced, std::nullopt);
    worker.undescribed = false;
  } else {
    worker.entry.boot.boot_unix_ms = boot_unix_ms;
    worker.undescribed = true;
  }
  // A lease that was sent on the former clock may have reached the new boot,
  // which grants its longest.
  worker.lease_expires_at =
      std::max(worker.lease_expires_at,
               now + ToLocalTime(m_options.max_lease.count()) + kLeaseMargin);
  worker.clock_known = false;
  worker.max_lease_until_ms = 0;
  worker.holds_in_flight = 0;
  worker.ends_read = 0;
  worker.ends_stored = 0;
  worker.newest_hold_sent_at = {};
}

void Fleet::StopOpenSends(Worker& worker,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  for (OpenSend& send : worker.open_sends) {
    SetRefused(send, send.refused || send.until < now);
  }
  std::erase_if(worker.open_sends,
                [now](const OpenSend& send) { return send.until < now; });
  for (OpenSend& send : worker.open_sends) {
    if (send.refused ||
        now < send.stop_sent_at + m_options.stop_retry_interval) {
      continue;
    }
    if (send.stop_sent_at == base::MonoTime{}) {
      m_stop_counts.Add(StopReason::kRestarted);
    }
    send.stop_sent_at = now;
    out.stops.push_back({worker.entry.boot, worker.entry.address, send.task,
                         send.run, m_options.fence, OrderTimeout(now),
                         StopReason::kRestarted});
  }
}

void Fleet::OnOpenSendStopped(Worker& worker,
                              const TaskRef& task,
                              int32_t run) {
  for (OpenSend& send : worker.open_sends) {
    if (send.task == task && send.run == run) {
      SetRefused(send, true);
    }
  }
}

void Fleet::SetRefused(OpenSend& send, bool refused) {
  if (send.refused && !refused) {
    m_usage.Add(send.account, send.demand);
  } else if (!send.refused && refused) {
    m_usage.Remove(send.account, send.demand);
  }
  send.refused = refused;
}

}  // namespace azurespur::jobs
