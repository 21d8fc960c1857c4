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

constexpr Millis kLeaderTickInterval{20};
// A takeover costs time as well, so a new leader doesn't yield for being slow
// or less suited before this.
constexpr Millis kMinTermBeforeYield{1500};
constexpr Millis kElectionDelayAfterYield{3000};
// Delay before a VM that lost an election starts another one.
constexpr Millis kElectionRetryDelay{100};
// Lets a VM with the whole state be elected first.
constexpr Millis kLacksRecordsDelay{1000};
// A new leader starts its term with a worker list that it read as a follower,
// unless the list is older than this.
constexpr Millis kMaxWorkerEntriesAge{1500};
// A follower that starts again later is found by its own read of the log.
constexpr Millis kLostFollowerTime{300000};
constexpr size_t kMaxLostFollowers = 64;

}  // namespace

void Node::StartElectionIfDue(MonoTime now) {
  if (m_election_in_flight || m_term || m_work_tail.reading() ||
      m_work_tail.held() || m_intake_tail.held() || now < m_next_election) {
    return;
  }
  ElectionView view;
  view.caught_up = m_intake_tail.caught_up() && m_work_tail.at_end();
  view.draining = m_draining;
  view.epoch = m_job_table.epoch();
  view.yielded = m_job_table.leader_yielded();
  view.was_self = m_job_table.leader().vm == m_options.vm;
  // While the log was unreachable, the leader couldn't append either.
  view.last_advance =
      std::max(m_work_tail.last_advance(), m_work_tail.reachable_since());
  view.last_read = m_work_tail.last_read();
  view.leader_heard = m_leader_heard;
  ElectionTiming timing;
  timing.leader_timeout = m_options.leader_timeout;
  timing.unreachable_leader_timeout = m_options.unreachable_leader_timeout;
  const LeaderCandidate self = OwnCandidate(m_leader_peers.size());
  timing.jitter = m_jitter + CandidateDelay(self, m_best_peer_suitability);
  if (LacksRecords(now)) {
    timing.jitter += kLacksRecordsDelay;
  }
  if (!ShouldStartElection(view, timing, m_started, now)) {
    return;
  }
  m_election_in_flight = true;
  m_candidate_epoch = NextEpoch(m_job_table.epoch(), m_nonce);
  const uint64_t epoch = m_candidate_epoch;
  base::LogEvent(
      base::Severity::kInfo, "AZ9302", "starting a leader election",
      {{"epoch", std::to_string(epoch)},
       {"work_end", std::to_string(m_work_tail.next())},
       {"silent_ms",
        std::to_string(base::MillisBetween(view.last_advance, now))},
       {"yielded", view.yielded ? "true" : "false"},
       {"suitability", std::to_string(self.suitability)},
       {"best_peer_suitability", std::to_string(m_best_peer_suitability)}});
  AppendRequest request;
  request.topic = std::string(kWorkTopic);
  request.records = {MakeLeaderRecord(epoch)};
  request.expected_end = m_work_tail.next();
  request.producer = Producer{std::string(kLeaderProducer), epoch, 0};
  request.timeout = m_log_timing.AppendTimeout();
  const int64_t offset = m_work_tail.next();
  m_dependencies.log.Append(
      std::move(request), [this, epoch, offset](AppendResult result) {
        base::PushCompletion(m_mailbox, [this, epoch, offset, result] {
          OnElectionAppend(epoch, offset, result);
        });
      });
}

std::string Node::MakeLeaderRecord(uint64_t epoch) const {
  return jobs::EncodeWork(
      jobs::LeaderRecord{epoch, m_options.vm, m_options.peer_address});
}

void Node::OnElectionAppend(uint64_t epoch,
                            int64_t offset,
                            const AppendResult& result) {
  m_election_in_flight = false;
  base::LogEvent(base::Severity::kInfo, "AZ9303", "leader election finished",
                 {{"epoch", std::to_string(epoch)},
                  {"status", std::string(AppendStatusName(result.status))},
                  {"offset", std::to_string(result.offset)}});
  if (result.status == AppendStatus::kAppended && result.offset == offset) {
    const std::string former_leader = LeaderAddress();
    const std::vector<std::string> records = {MakeLeaderRecord(epoch)};
    m_work_tail.AddRecords(result.offset, records);
    AnnounceTerm(epoch, result.offset, records, former_leader);
  } else {
    m_next_election =
        std::max(m_next_election, m_clock.Now() + kElectionRetryDelay);
    m_work_tail.Poll();
  }
}

// Tells the peers about the new term, so that they send heartbeats to this VM
// at once and not after their next read. The former leader is told as well
// because it may be unable to read the log.
void Node::AnnounceTerm(uint64_t epoch,
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

// The stored leader record decides the election, even if the response to its
// append was lost.
void Node::BeginTermIfElected() {
  if (m_candidate_epoch != 0 && m_job_table.epoch() == m_candidate_epoch &&
      !m_draining) {
    BeginTerm(std::exchange(m_candidate_epoch, 0));
  }
}

void Node::BeginTerm(uint64_t epoch) {
  m_leading.Set(1);
  m_term = std::make_shared<LeaderTerm>(
      m_options, m_dependencies.log, m_mailbox, m_clock, m_job_table,
      m_log_timing, epoch, 0,
      [this](int64_t offset, const std::vector<std::string>& records) {
        OnWorkStored(offset, records);
      });
  m_next_full_heartbeat = {};
  m_admission_publisher = {};
  m_last_admission_waits.clear();
  m_snapshot_writer =
      std::make_shared<SnapshotWriter>(m_dependencies.snapshots, m_mailbox,
                                       m_clock, m_log_timing, m_metrics, epoch);
  if (const auto current = policy()) {
    m_term->scheduler().SetPolicy(*current);
  }
  OnMessage(ForwardedEnds{m_unstored_ends.All()});
  m_term_started = m_clock.Now();
  LogTermStart();
  m_next_directory = {};
  m_directory_read =
      m_term_started < m_worker_entries_read_at + kMaxWorkerEntriesAge;
  if (m_directory_read) {
    m_term->scheduler().SetWorkers(m_worker_entries, m_term_started);
  }
  m_scheduling_needed = true;
}

void Node::StepDown(std::string_view reason) {
  if (!m_term) {
    return;
  }
  base::LogEvent(base::Severity::kWarning, "AZ9304", "stepping down as leader",
                 {{"epoch", std::to_string(m_term->epoch())},
                  {"reason", std::string(reason)}});
  m_leading.Set(0);
  m_longest_admission_wait.Set(0);
  m_fan_out.Flush(m_clock.Now(), OwnLeaderInfo(), PeerAddresses());
  m_unstored_ends.Add(m_term->Unstored(), m_clock.Now());
  m_term.reset();
  m_snapshot_writer.reset();
  m_peers.clear();
  m_work_tail.Poll();
  if (m_draining) {
    m_yielded.store(true);
  }
}

void Node::TickLeader(MonoTime now) {
  ForgetSilentFollowers(now);
  SendLeaderHeartbeat(now);
  m_fan_out.FlushIfDue(now, OwnLeaderInfo(), PeerAddresses());
  YieldIfUnsuited(now);
  PublishAdmission(now);
  WriteSnapshotIfDue(now);
  if (m_scheduling_needed && now >= m_next_scheduling && m_directory_read &&
      !m_term->yielding()) {
    m_scheduling_needed = false;
    m_next_scheduling = now + m_options.min_scheduling_interval;
    std::vector<std::string> vms = {m_options.vm};
    for (const auto& [vm, peer] : m_peers) {
      vms.push_back(vm);
    }
    m_term->scheduler().SetAdviceVms(vms);
    m_term->scheduler().SetLinkWait(m_peer_sender.LinkWait());
    const MonoTime began = m_clock.Now();
    m_term->scheduler().Tick(now, m_clock.WallMillis(), m_term->last_append(),
                             m_term->output());
    m_load.OnPlan(m_clock.Now() - began);
    m_load.OnScheduler(m_term->scheduler());
  }
  // Time-based work is not triggered by events, so schedule at least every
  // tick.
  m_scheduling_needed =
      m_scheduling_needed || now >= m_next_scheduling + kLeaderTickInterval;
  const MonoTime began = m_clock.Now();
  DispatchOutput();
  m_load.OnDispatch(m_clock.Now() - began);
}

void Node::ForgetSilentFollowers(MonoTime now) {
  std::erase_if(m_peers, [this, now](const auto& entry) {
    const bool silent = entry.second.last_heard + m_options.peer_timeout < now;
    if (silent && m_lost_followers.size() < kMaxLostFollowers) {
      m_lost_followers[entry.second.address] = now;
    }
    return silent;
  });
}

// Such a VM may have started again while the store rejects it, and then knows
// no other VM to get the policy from.
void Node::NotifyLostFollowers(MonoTime now) {
  for (const auto& [vm, peer] : m_peers) {
    m_lost_followers.erase(peer.address);
  }
  std::erase_if(m_lost_followers, [now](const auto& entry) {
    return entry.second + kLostFollowerTime < now;
  });
  std::vector<std::string> lost;
  for (const auto& [address, lost_at] : m_lost_followers) {
    lost.push_back(address);
  }
  const RecordsSegment nothing_new{Stream::kWork, 0, 0, {}};
  m_peer_sender.SendToAll(lost, RecordsNotice{{nothing_new}, OwnLeaderInfo()});
}

void Node::SendLeaderHeartbeat(MonoTime now) {
  if (now < m_next_leader_heartbeat &&
      now <
          m_last_leader_heartbeat + m_options.busy_leader_heartbeat_interval) {
    return;
  }
  m_last_leader_heartbeat = now;
  m_next_leader_heartbeat = now + m_options.leader_heartbeat_interval;
  // The list of peers makes a heartbeat long, so most are a notice of nothing.
  if (m_term->log_ok() && now < m_next_full_heartbeat) {
    const RecordsSegment nothing_new{Stream::kWork, 0, 0, {}};
    m_peer_sender.SendToAll(PeerAddresses(),
                            RecordsNotice{{nothing_new}, OwnLeaderInfo()});
    return;
  }
  m_next_full_heartbeat = now + m_options.full_leader_heartbeat_interval;
  LeaderHeartbeat heartbeat;
  heartbeat.leader = OwnLeaderInfo();
  heartbeat.log_ok = m_term->log_ok();
  heartbeat.peers = PeerAddresses();
  heartbeat.best_suitability = BestSuitability(FollowerCandidates());
  m_peer_sender.SendToAll(heartbeat.peers, heartbeat);
  SendPolicyNotice(heartbeat.peers);
  if (m_term->log_ok()) {
    NotifyLostFollowers(now);
  }
}

// A leader that is slow, or can't carry the cell's load, delays all scheduling.
void Node::YieldIfUnsuited(MonoTime now) {
  if (m_term->yielding() || now < m_term_started + kMinTermBeforeYield) {
    return;
  }
  const LeaderCandidate self = OwnCandidate(m_peers.size());
  const std::vector<LeaderCandidate> followers = FollowerCandidates();
  const YieldReason reason = FindYieldReason(self, followers);
  if (reason == YieldReason::kNone) {
    return;
  }
  const bool slow = reason == YieldReason::kSlow;
  base::LogEvent(
      slow ? base::Severity::kWarning : base::Severity::kInfo,
      slow ? "AZ9305" : "AZ9309",
      slow ? "leader is much slower than another VM; yielding leadership"
           : "leader is less suited than another VM; yielding leadership",
      {{"epoch", std::to_string(m_term->epoch())},
       {"work_micros", std::to_string(self.work_micros)},
       {"suitability", std::to_string(self.suitability)},
       {"best_suitability", std::to_string(BestSuitability(followers))}});
  m_next_election = now + kElectionDelayAfterYield;
  m_term->Yield();
}

// Readiness alone stays true on a VM that has fallen behind the streams.
bool Node::CanTakeOver() const {
  return m_ready.load() && m_intake_tail.at_end() && m_work_tail.at_end() &&
         !LacksRecords(m_clock.Now());
}

LeaderCandidate Node::OwnCandidate(size_t peers) const {
  return {m_speed_probe.WorkMicros(),
          LeaderSuitability(m_options.resources, peers), m_ready.load()};
}

std::vector<LeaderCandidate> Node::FollowerCandidates() const {
  std::vector<LeaderCandidate> candidates;
  for (const auto& [vm, peer] : m_peers) {
    candidates.push_back({peer.work_micros,
                          LeaderSuitability(peer.resources, m_peers.size()),
                          peer.ready});
  }
  return candidates;
}

void Node::LogTermStart() const {
  const size_t peers = m_leader_peers.size();
  const VmResources& resources = m_options.resources;
  base::LogEvent(
      base::Severity::kInfo, "AZ9308", "term started on this VM",
      {{"vm", m_options.vm},
       {"epoch", std::to_string(m_term->epoch())},
       {"cpu_share", std::to_string(resources.cpu_share)},
       {"cpu_speed", std::to_string(resources.cpu_speed)},
       {"link_mbps", std::to_string(resources.link_mbps)},
       {"required_link_mbps", std::to_string(RequiredLinkMbps(peers))},
       {"peers", std::to_string(peers)},
       {"work_micros", std::to_string(m_speed_probe.WorkMicros())},
       {"suitability", std::to_string(LeaderSuitability(resources, peers))},
       {"best_peer_suitability", std::to_string(m_best_peer_suitability)}});
}

void Node::DispatchOutput() {
  const std::shared_ptr<LeaderTerm> term = m_term;
  jobs::SchedulerOutput& output = term->output();
  term->AppendPending(m_clock.Now(), m_intake_tail.next());
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
  if (term->lost()) {
    StepDown("append was fenced");
  } else if (output.fenced) {
    StepDown("a worker has seen a later leader");
  } else if (output.fences_used_up) {
    StepDown("the fencing tokens of the term are used up");
  } else if (term->yielded()) {
    StepDown("yielded");
  }
}

void Node::PostInTerm(uint64_t epoch, std::function<void(LeaderTerm&)> call) {
  base::PushCompletion(m_mailbox, [this, epoch, call = std::move(call)] {
    if (m_term && m_term->epoch() == epoch) {
      call(*m_term);
      m_scheduling_needed = true;
    }
  });
}

void Node::SendStart(const jobs::StartOrder& order) {
  m_starts.Add(1);
  m_dependencies.workers.Start(order, [this, order, epoch = m_term->epoch()](
                                          const jobs::StartAnswer& answer) {
    // An accepted start is not logged here: the task's bind record shows it.
    if (answer.outcome != jobs::OrderOutcome::kAccepted) {
      base::LogEvent(
          base::Severity::kWarning, "AZ9111", "task start failed",
          {{"task", jobs::ToString(order.task)},
           {"run", std::to_string(order.run)},
           {"worker", order.worker.id},
           {"fence", std::to_string(order.fence)},
           {"born", std::to_string(order.worker.boot_unix_ms)},
           {"send", std::to_string(order.send_count)},
           {"outcome", std::string(OrderOutcomeName(answer.outcome))}});
    }
    PostInTerm(epoch, [this, order, answer](LeaderTerm& term) {
      term.scheduler().OnStarted(order, answer, m_clock.Now(), term.output());
    });
  });
}

void Node::SendStop(const jobs::StopOrder& order) {
  m_dependencies.workers.Stop(order, [this, order, epoch = m_term->epoch()](
                                         jobs::OrderOutcome outcome) {
    base::LogEvent(base::Severity::kInfo, "AZ9112",
                   "task stop request finished",
                   {{"task", jobs::ToString(order.task)},
                    {"run", std::to_string(order.run)},
                    {"worker", order.worker.id},
                    {"reason", std::string(StopReasonName(order.reason))},
                    {"outcome", std::string(OrderOutcomeName(outcome))}});
    PostInTerm(epoch, [this, order, outcome](LeaderTerm& term) {
      term.scheduler().OnStopped(order, outcome, m_clock.Now(), term.output());
    });
  });
}

void Node::SendHold(const jobs::HoldOrder& order) {
  m_dependencies.workers.Hold(
      order, [this, order, epoch = m_term->epoch()](HoldResult result) {
        PostInTerm(epoch,
                   [this, order, result = std::move(result)](LeaderTerm& term) {
                     if (result.outcome == jobs::OrderOutcome::kAccepted) {
                       term.scheduler().OnReport(order, result.report,
                                                 m_clock.Now(), term.output());
                     } else {
                       term.scheduler().OnHoldFailed(
                           order, result.outcome, m_clock.Now(), term.output());
                     }
                   });
      });
}

void Node::SendQuery(const jobs::AdviceQuery& query) {
  const uint64_t epoch = m_term->epoch();
  const auto peer = m_peers.find(query.vm);
  if (peer != m_peers.end()) {
    SendTo(peer->second.address,
           AdviceRequest{epoch, query.id, query.step.job, query.step.step,
                         query.workers, query.timeout.count(),
                         m_options.peer_address});
    return;
  }
  m_dependencies.advice.Query(
      query, [this, epoch, id = query.id](
                 base::Outcome<std::vector<jobs::AdviceTicket>> outcome) {
        PostInTerm(epoch,
                   [this, id, outcome = std::move(outcome)](LeaderTerm& term) {
                     OnAdvice(term, id, outcome);
                   });
      });
}

void Node::OnAdvice(
    LeaderTerm& term,
    uint64_t query_id,
    const base::Outcome<std::vector<jobs::AdviceTicket>>& outcome) {
  if (base::Ok(outcome)) {
    term.scheduler().OnAdvice(query_id, base::Value(outcome), m_clock.Now());
  } else {
    term.scheduler().OnAdviceFailed(query_id, m_clock.Now());
  }
  m_scheduling_needed = true;
}

void Node::PollDirectory(MonoTime now) {
  if (m_directory_poll_in_flight || now < m_next_directory) {
    return;
  }
  m_directory_poll_in_flight = true;
  m_next_directory =
      now + (m_term ? m_options.directory_poll_interval
                    : m_options.follower_directory_poll_interval);
  m_dependencies.directory.Poll(
      [this, now](base::Outcome<WorkerDirectory::Entries> outcome) {
        base::PushCompletion(m_mailbox,
                             [this, now, outcome = std::move(outcome)] {
                               m_directory_poll_in_flight = false;
                               if (base::Ok(outcome)) {
                                 UpdateWorkerEntries(base::Value(outcome), now);
                               }
                             });
      });
}

void Node::UpdateWorkerEntries(const WorkerDirectory::Entries& entries,
                               MonoTime now) {
  m_worker_entries = entries;
  m_worker_entries_read_at = now;
  if (m_term) {
    m_directory_read = true;
    m_term->scheduler().SetWorkers(m_worker_entries, now);
    m_scheduling_needed = true;
  }
}

}  // namespace azurespur::cell
