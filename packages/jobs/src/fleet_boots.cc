// The boots of workers: what the directory says of them, and restarts.

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "base/event_log.h"
#include "jobs/fleet.h"
#include "lease_time.h"
#include "start_resend.h"

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
    Worker& worker = GetWorker(entry.boot.id);
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
    const Worker& worker = it->second;
    const bool needed =
        worker.listed || !worker.runs.empty() || !worker.open_sends.empty();
    if (!needed && worker.fence_used) {
      // It may come back as another boot.
      m_newest_fence = std::max(m_newest_fence, FenceAfter(worker.fence));
    }
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
    const int64_t known = worker.entry.boot.boot_unix_ms;
    worker.entry = entry;
    // Orders that are under way name the known boot.
    if (entry.boot.boot_unix_ms == 0) {
      worker.entry.boot.boot_unix_ms = known;
    }
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
    RaiseFence(worker, now);
    LogBoot(worker, "AZ9121",
            "directory names another boot of the worker; asking the worker",
            entry.boot.boot_unix_ms);
  }
}

void Fleet::ObserveBoot(Worker& worker,
                        int64_t boot_unix_ms,
                        base::MonoTime asked_at,
                        base::MonoTime now,
                        SchedulerOutput& out) {
  const bool asked_anew = worker.announced && asked_at >= worker.announced_at;
  if (boot_unix_ms == 0 && asked_anew) {
    HandleRestart(worker, worker.announced->boot.boot_unix_ms, now, out);
  } else if (!IsSameBoot(boot_unix_ms, worker.entry.boot.boot_unix_ms)) {
    HandleRestart(worker, boot_unix_ms, now, out);
  } else if (asked_anew) {
    AddFormerBoot(worker, worker.announced->boot.boot_unix_ms);
    worker.announced.reset();
  }
}

// A start that was meant for an earlier boot may reach the new one, whose clock
// is another, so it never becomes too late there. A higher fencing token, once
// the new boot has seen it, or a stop prevents it there, but not on the boot
// after it; so the run begins at this worker, or its task waits.
void Fleet::ObserveRestart(Worker& worker,
                           const TaskRef& task,
                           Run& run,
                           base::MonoTime now,
                           SchedulerOutput& out) {
  if (run.phase == RunPhase::kStarting) {
    MarkOpenStart(worker, task, run, now, out);
  }
  const bool open = now < run.start_open_until;
  run.has_run = run.has_run || run.phase == RunPhase::kRunning;
  run.phase = NextPhase(
      run.phase, open ? RunEvent::kRestartedSendOpen : RunEvent::kRestarted);
  if (run.phase == RunPhase::kStartUnknown) {
    run.start_deadline = base::MonoTime::max();
    run.stop_sent_at = {};
    run.resend = open && MayResend(run);
  }
  run.stop_requested = run.stop_requested || run.phase == RunPhase::kBinding;
}

void Fleet::HandleRestart(Worker& worker,
                          int64_t boot_unix_ms,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  LogBoot(worker, "AZ9106", "worker restarted", boot_unix_ms);
  for (auto& [task, run] : worker.runs) {
    ObserveRestart(worker, task, run, now, out);
  }
  for (OpenSend& send : worker.open_sends) {
    SetOver(send, false);
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
  RaiseFence(worker, now);
  worker.confirmed = false;
  worker.clock_known = false;
  worker.max_lease_until_ms = 0;
  worker.ends_read = 0;
  worker.ends_stored = 0;
  worker.ends_forgotten = 0;
  worker.held_ends.clear();
  worker.newest_hold_sent_at = {};
}

// A token under which nothing was granted is high enough: what is still under
// way with it does no harm on any boot.
void Fleet::RaiseFence(Worker& worker, base::MonoTime now) {
  worker.responsive = false;
  worker.holds_in_flight = 0;
  worker.next_hold = now;
  if (!std::exchange(worker.fence_used, false)) {
    return;
  }
  worker.fence = FenceAfter(worker.fence);
  m_newest_fence = std::max(m_newest_fence, worker.fence);
}

uint64_t Fleet::FenceAfter(uint64_t fence) {
  m_fences_used_up = m_fences_used_up || fence >= m_options.last_fence;
  return std::min(fence + 1, m_options.last_fence);
}

// The answer to a start names no boot, but a clock that is behind that of the
// known boot at the send is another boot's.
void Fleet::ObserveClock(Worker& worker,
                         const StartOrder& order,
                         const StartAnswer& answer,
                         base::MonoTime now) {
  if (!answer.clock_ms || !worker.clock_known ||
      worker.entry.boot != order.worker) {
    return;
  }
  const auto elapsed =
      static_cast<double>(base::MillisBetween(worker.clock_at, order.sent_at));
  const double slowest = elapsed < 0 ? 1 / kMinClockRate : kMinClockRate;
  const int64_t at_send =
      worker.clock_ms + static_cast<int64_t>(elapsed * slowest);
  if (*answer.clock_ms >= at_send - kLeaseMargin.count()) {
    return;
  }
  worker.clock_known = false;
  worker.confirmed = false;
  RaiseFence(worker, now);
}

// Any call for a former boot that was carried out has been so by now. It may
// have granted the longest lease, as it stands on another clock.
void Fleet::ConfirmBoot(Worker& worker, base::MonoTime now) {
  if (!std::exchange(worker.confirmed, true)) {
    worker.lease_expires_at = std::max(worker.lease_expires_at,
                                       now + LeaseBound(m_options.max_lease));
  }
}

base::MonoTime Fleet::UnseenBootLapsedAfter(const Worker& worker) const {
  return worker.last_grant_at + kMaxOrderDelay +
         LeaseBound(m_options.max_lease);
}

// Only a call that is carried out late can begin a run on a boot that the
// leader has not reached, or prolong it there.
base::MonoTime Fleet::LapsedAfter(const Worker& worker,
                                  const TaskRef& task,
                                  const Run& run) const {
  // Counted by Adopt(). A start of the former leader that got no answer, at a
  // boot that nobody has reached, counts where the log tells of one: to wait
  // for all would leave what ran on lost workers idle for 12.5 s more at each
  // change of leader.
  if (run.phase == RunPhase::kAdopted) {
    const bool open = run.start_open_until > base::MonoTime{};
    const base::MonoTime late =
        run.start_open_until + LeaseBound(m_options.max_lease);
    const base::MonoTime lapsed =
        std::max(worker.lease_expires_at, run.former_lease_until);
    return open ? std::max(lapsed, late) : lapsed;
  }
  const bool has_open_send = std::any_of(
      worker.open_sends.begin(), worker.open_sends.end(),
      [&worker, &task](const OpenSend& send) {
        return send.task == task && worker.newest_hold_sent_at < send.until;
      });
  // Only the boot that the leader knows begins a run with its ticket.
  const bool may_begin =
      !run.has_ticket && (has_open_send || run.phase == RunPhase::kStarting ||
                          worker.newest_hold_sent_at < run.start_open_until);
  const bool may_be_unseen = !worker.confirmed || may_begin;
  return may_be_unseen
             ? std::max(worker.lease_expires_at, UnseenBootLapsedAfter(worker))
             : worker.lease_expires_at;
}

void Fleet::ForgetOpenSends(Worker& worker, base::MonoTime now) {
  if (now > UnseenBootLapsedAfter(worker)) {
    for (OpenSend& send : worker.open_sends) {
      SetOver(send, true);
    }
  }
  // What it may have begun on an unseen boot counts until it has lapsed.
  const base::Millis lease = LeaseBound(m_options.max_lease);
  std::erase_if(worker.open_sends, [&worker, lease, now](const OpenSend& send) {
    const bool seen = worker.newest_hold_sent_at >= send.until ||
                      worker.other_boot_at > send.until;
    return send.over && send.until < now && (seen || send.until + lease < now);
  });
}

void Fleet::UpdateOpenSends(Worker& worker, const WorkerReport& report) {
  if (!worker.confirmed) {
    return;
  }
  for (OpenSend& send : worker.open_sends) {
    const bool runs = std::any_of(report.running.begin(), report.running.end(),
                                  [&send](const RunningTask& running) {
                                    return running.task == send.task &&
                                           running.run == send.run;
                                  });
    SetOver(send, !runs);
  }
}

bool Fleet::IsOpenSend(const Worker& worker, const RunningTask& running) {
  return std::any_of(worker.open_sends.begin(), worker.open_sends.end(),
                     [&running](const OpenSend& send) {
                       return send.task == running.task &&
                              send.run == running.run;
                     });
}

void Fleet::SetOver(OpenSend& send, bool over) {
  if (send.over && !over) {
    m_usage.Add(send.account, send.demand);
  } else if (!send.over && over) {
    m_usage.Remove(send.account, send.demand);
  }
  send.over = over;
}

}  // namespace azurespur::jobs
