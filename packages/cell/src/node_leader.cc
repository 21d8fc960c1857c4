#include "node.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "cell/topics.h"
#include "election.h"
#include "jobs/records.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

constexpr Millis kBusyTick{20};
// Taking over is work too.
constexpr Millis kShortestTerm{1500};
constexpr Millis kRestAfterSlowTerm{3000};
// Before a VM stands again whose append had no effect.
constexpr Millis kStandAgain{100};
// A follower's list of workers does for the start of its term.
constexpr Millis kEntriesFresh{1500};

}  // namespace

void Node::StandIfDue(MonoTime now) {
  if (m_standing || m_lead || m_work.reading() || now < m_stand_after) {
    return;
  }
  ElectionView view;
  view.caught_up = m_intake.caught_up() && m_work.at_end();
  view.draining = m_draining;
  view.epoch = m_table.epoch();
  view.yielded = m_table.leader_yielded();
  view.was_me = m_table.leader().vm == m_options.vm;
  // While the log was away its leader could not record either.
  view.last_advance = std::max(m_work.last_advance(), m_work.reachable_since());
  view.last_read = m_work.last_read();
  view.leader_heard = m_leader_heard;
  ElectionTiming timing;
  timing.leader_silence = m_options.leader_silence;
  timing.quiet_leader_silence = m_options.quiet_leader_silence;
  timing.jitter = m_jitter + StandingDelay(m_speed.WorkMicros());
  if (!ShouldStand(view, timing, m_started, now)) {
    return;
  }
  m_standing = true;
  m_stood_epoch = NextEpoch(m_table.epoch(), m_nonce);
  const uint64_t epoch = m_stood_epoch;
  base::LogEvent(base::Severity::kInfo, "AZ9302", "stands for leader",
                 {{"epoch", std::to_string(epoch)},
                  {"work_end", std::to_string(m_work.next())},
                  {"silent_ms",
                   std::to_string(base::MillisBetween(view.last_advance, now))},
                  {"yielded", view.yielded ? "true" : "false"}});
  AppendCall call;
  call.topic = std::string(kWorkTopic);
  call.records = {OwnLeadRecord(epoch)};
  call.expected_end = m_work.next();
  call.producer = Producer{std::string(kLeaderProducer), epoch, 0};
  call.timeout = m_timing.AppendTimeout();
  const int64_t offset = m_work.next();
  m_ports.log.Append(std::move(call), [this, epoch,
                                       offset](AppendResult result) {
    Post([this, epoch, offset, result] { OnElection(epoch, offset, result); });
  });
}

std::string Node::OwnLeadRecord(uint64_t epoch) const {
  return jobs::EncodeWork(
      jobs::LeaderRecord{epoch, m_options.vm, m_options.peer_address});
}

void Node::OnElection(uint64_t epoch,
                      int64_t offset,
                      const AppendResult& result) {
  m_standing = false;
  base::LogEvent(base::Severity::kInfo, "AZ9303", "election is over",
                 {{"epoch", std::to_string(epoch)},
                  {"status", std::string(AppendStatusName(result.status))},
                  {"offset", std::to_string(result.offset)}});
  if (result.status == AppendStatus::kAppended && result.offset == offset) {
    const std::string former_leader = LeaderAddress();
    const std::vector<std::string> records = {OwnLeadRecord(epoch)};
    m_work.Offer(result.offset, records);
    TellPeersOfTerm(epoch, result.offset, records, former_leader);
  } else {
    m_stand_after = std::max(m_stand_after, m_clock.Now() + kStandAgain);
    m_work.Poll();
  }
}

// Followers then report to this VM at once, not after their next read. The
// former leader may be unable to read at all.
void Node::TellPeersOfTerm(uint64_t epoch,
                           int64_t offset,
                           const std::vector<std::string>& records,
                           const std::string& former_leader) {
  std::set<std::string> addresses(m_leader_peers.begin(), m_leader_peers.end());
  addresses.insert(former_leader);
  addresses.erase(m_options.peer_address);
  addresses.erase("");
  for (const std::string& address : addresses) {
    Notify(address, Stream::kWork, offset, records,
           {epoch, m_options.peer_address});
  }
}

// The record decides, also where the answer to its append was lost.
void Node::LeadIfElected() {
  if (m_stood_epoch != 0 && m_table.epoch() == m_stood_epoch && !m_draining) {
    Lead(std::exchange(m_stood_epoch, 0));
  }
}

void Node::Lead(uint64_t epoch) {
  m_leading.Set(1);
  m_lead = std::make_shared<Leadership>(
      m_options, m_ports.log, m_mailbox, m_clock, m_table, m_timing, epoch, 0,
      [this](int64_t offset, const std::vector<std::string>& records) {
        OnWorkStored(offset, records);
      });
  if (const auto current = policy()) {
    m_lead->scheduler().SetPolicy(*current);
  }
  m_lead_since = m_clock.Now();
  m_next_directory = {};
  m_directory_read = m_lead_since < m_entries_at + kEntriesFresh;
  if (m_directory_read) {
    m_lead->scheduler().SetWorkers(m_entries, m_lead_since, m_lead->output());
  }
  m_plan_wanted = true;
}

void Node::StepDown(std::string_view reason) {
  if (!m_lead) {
    return;
  }
  base::LogEvent(base::Severity::kWarning, "AZ9304", "no longer the leader",
                 {{"epoch", std::to_string(m_lead->epoch())},
                  {"reason", std::string(reason)}});
  m_leading.Set(0);
  m_lead.reset();
  m_peers.clear();
  m_work.Poll();
  if (m_draining) {
    m_yielded.store(true);
  }
}

void Node::LeadTick(MonoTime now) {
  std::erase_if(m_peers, [this, now](const auto& entry) {
    return entry.second.heard + m_options.peer_silence < now;
  });
  SayAlive(now);
  YieldIfSlow(now);
  if (m_plan_wanted && now >= m_next_plan && m_directory_read &&
      !m_lead->yielding()) {
    m_plan_wanted = false;
    m_next_plan = now + m_options.plan_interval;
    std::vector<std::string> vms = {m_options.vm};
    for (const auto& [vm, peer] : m_peers) {
      vms.push_back(vm);
    }
    m_lead->scheduler().SetAdviceVms(vms);
    m_lead->scheduler().Tick(now, m_clock.WallMillis(), m_lead->last_append(),
                             m_lead->output());
  }
  // What is not driven by an event is due at the latest by the next tick.
  m_plan_wanted = m_plan_wanted || now >= m_next_plan + kBusyTick;
  CarryOut();
}

void Node::SayAlive(MonoTime now) {
  if (now < m_next_alive) {
    return;
  }
  m_next_alive = now + m_options.alive_interval;
  Alive alive;
  alive.leader = OwnSign();
  alive.log_ok = m_lead->log_ok();
  for (const auto& [vm, peer] : m_peers) {
    alive.peers.push_back(peer.address);
  }
  for (const std::string& address : alive.peers) {
    SendTo(address, alive);
  }
}

// A slow leader delays all work; another VM may be faster.
void Node::YieldIfSlow(MonoTime now) {
  std::vector<double> others;
  for (const auto& [vm, peer] : m_peers) {
    others.push_back(peer.work_micros);
  }
  if (m_lead->yielding() || now < m_lead_since + kShortestTerm ||
      !SomeoneIsMuchFaster(m_speed.WorkMicros(), others)) {
    return;
  }
  base::LogEvent(base::Severity::kWarning, "AZ9305",
                 "leader is much slower than another VM; it yields",
                 {{"epoch", std::to_string(m_lead->epoch())},
                  {"work_micros", std::to_string(m_speed.WorkMicros())}});
  m_stand_after = now + kRestAfterSlowTerm;
  m_lead->Yield();
}

void Node::CarryOut() {
  const std::shared_ptr<Leadership> lead = m_lead;
  jobs::SchedulerOutput& output = lead->output();
  lead->Pump(m_clock.Now(), m_intake.next());
  for (const jobs::StartOrder& order : std::exchange(output.starts, {})) {
    SendStart(order);
  }
  for (const jobs::StopOrder& order : std::exchange(output.stops, {})) {
    SendStop(order);
  }
  for (const jobs::HoldOrder& order : std::exchange(output.holds, {})) {
    SendHold(order);
  }
  for (const jobs::AdviceQuery& query : std::exchange(output.queries, {})) {
    SendQuery(query);
  }
  if (lead->lost()) {
    StepDown("append was fenced");
  } else if (output.fenced) {
    StepDown("a worker has seen a later leader");
  } else if (lead->yielded()) {
    StepDown("yielded");
  }
}

void Node::PostInTerm(uint64_t epoch, std::function<void(Leadership&)> call) {
  Post([this, epoch, call = std::move(call)] {
    if (m_lead && m_lead->epoch() == epoch) {
      call(*m_lead);
      m_plan_wanted = true;
    }
  });
}

void Node::SendStart(const jobs::StartOrder& order) {
  m_starts.Add(1);
  m_ports.workers.Start(order, [this, order, epoch = m_lead->epoch()](
                                   jobs::OrderOutcome outcome) {
    // That a start was accepted shows in the record that the task was placed.
    if (outcome != jobs::OrderOutcome::kAccepted) {
      base::LogEvent(base::Severity::kWarning, "AZ9111", "start failed",
                     {{"task", jobs::ToString(order.task)},
                      {"run", std::to_string(order.run)},
                      {"worker", order.worker.id},
                      {"fence", std::to_string(order.fence)},
                      {"outcome", std::string(OrderOutcomeName(outcome))}});
    }
    PostInTerm(epoch, [this, order, outcome](Leadership& lead) {
      lead.scheduler().OnStarted(order, outcome, m_clock.Now(), lead.output());
    });
  });
}

void Node::SendStop(const jobs::StopOrder& order) {
  m_ports.workers.Stop(order, [this, order, epoch = m_lead->epoch()](
                                  jobs::OrderOutcome outcome) {
    base::LogEvent(base::Severity::kInfo, "AZ9112", "stop is answered",
                   {{"task", jobs::ToString(order.task)},
                    {"run", std::to_string(order.run)},
                    {"worker", order.worker.id},
                    {"outcome", std::string(OrderOutcomeName(outcome))}});
    PostInTerm(epoch, [this, order, outcome](Leadership& lead) {
      lead.scheduler().OnStopped(order, outcome, m_clock.Now(), lead.output());
    });
  });
}

void Node::SendHold(const jobs::HoldOrder& order) {
  m_ports.workers.Hold(
      order, [this, order, epoch = m_lead->epoch()](HoldResult result) {
        PostInTerm(epoch,
                   [this, order, result = std::move(result)](Leadership& lead) {
                     if (result.outcome == jobs::OrderOutcome::kAccepted) {
                       lead.scheduler().OnReport(order, result.report,
                                                 m_clock.Now(), lead.output());
                     } else {
                       lead.scheduler().OnHoldFailed(
                           order, result.outcome, m_clock.Now(), lead.output());
                     }
                   });
      });
}

void Node::SendQuery(const jobs::AdviceQuery& query) {
  const uint64_t epoch = m_lead->epoch();
  const auto peer = m_peers.find(query.vm);
  if (peer != m_peers.end()) {
    SendTo(peer->second.address,
           AdviceRequest{epoch, query.id, query.step.job, query.step.step,
                         query.workers, query.timeout.count(),
                         m_options.peer_address});
    return;
  }
  m_ports.advice.Ask(
      query, [this, epoch, id = query.id](
                 base::Outcome<std::vector<jobs::AdviceTicket>> outcome) {
        PostInTerm(epoch,
                   [this, id, outcome = std::move(outcome)](Leadership& lead) {
                     TakeAdvice(lead, id, outcome);
                   });
      });
}

void Node::TakeAdvice(
    Leadership& lead,
    uint64_t query_id,
    const base::Outcome<std::vector<jobs::AdviceTicket>>& outcome) {
  if (base::Ok(outcome)) {
    lead.scheduler().OnAdvice(query_id, base::Value(outcome), m_clock.Now());
  } else {
    lead.scheduler().OnAdviceFailed(query_id, m_clock.Now());
  }
  m_plan_wanted = true;
}

void Node::PollDirectory(MonoTime now) {
  if (m_directory_busy || now < m_next_directory) {
    return;
  }
  m_directory_busy = true;
  m_next_directory = now + (m_lead ? m_options.directory_interval
                                   : m_options.follower_directory_interval);
  m_ports.directory.Poll(
      [this, now](base::Outcome<WorkerDirectory::Entries> outcome) {
        Post([this, now, outcome = std::move(outcome)] {
          m_directory_busy = false;
          if (base::Ok(outcome)) {
            TakeEntries(base::Value(outcome), now);
          }
        });
      });
}

void Node::TakeEntries(const WorkerDirectory::Entries& entries, MonoTime now) {
  m_entries = entries;
  m_entries_at = now;
  if (m_lead) {
    m_directory_read = true;
    m_lead->scheduler().SetWorkers(m_entries, now, m_lead->output());
    m_plan_wanted = true;
  }
}

}  // namespace azurespur::cell
