#include "node.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include "base/event_log.h"
#include "cell/topics.h"
#include "mail_loop.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

constexpr Millis kLeaderTickInterval{20};
constexpr Millis kFollowerTickInterval{60};
// Mail is handled for at most this long between two ticks, or as long as the
// last tick took if that was longer. Short enough for the appends and datagrams
// by which others know that the leader works.
constexpr Millis kMailTime{100};
constexpr Millis kMaxJitter{40};
constexpr Millis kSweepInterval{5000};
constexpr Millis kSpeedProbeInterval{400};
constexpr Millis kRefusedMailLogInterval{1000};

uint64_t RandomId() {
  std::random_device seed;
  std::mt19937_64 random(seed());
  return random();
}

}  // namespace

Node::Node(const NodeOptions& options,
           const NodeDependencies& dependencies,
           const base::Clock& clock,
           base::Metrics& metrics)
    : m_options(options),
      m_dependencies(dependencies),
      m_clock(clock),
      m_accepted(metrics.GetCounter("azurespur_jobs_accepted_total")),
      m_not_accepted(metrics.GetCounter("azurespur_jobs_not_accepted_total")),
      m_uncertain(metrics.GetCounter("azurespur_jobs_uncertain_total")),
      m_forwarded(metrics.GetCounter("azurespur_intake_forwarded_total")),
      m_leading(metrics.GetCounter("azurespur_leading")),
      m_starts(metrics.GetCounter("azurespur_task_starts_total")),
      m_mailbox_rejections(metrics.GetCounter("azurespur_mail_refused_total")),
      m_old_view_answers(metrics.GetCounter("azurespur_view_too_old_total")),
      m_relayed_policies(
          metrics.GetCounter("azurespur_policies_relayed_total")),
      m_refused_beyond_rate(metrics.GetCounter(
          "azurespur_admission_refused_total{reason=\"beyond_rate\"}")),
      m_refused_too_late(metrics.GetCounter(
          "azurespur_admission_refused_total{reason=\"too_late\"}")),
      m_longest_admission_wait(
          metrics.GetCounter("azurespur_admission_longest_wait_ms")),
      m_store_time(metrics.GetDistribution("azurespur_store_ms")),
      m_metrics(metrics),
      m_load(metrics),
      m_peer_sender(dependencies.datagrams, metrics, dependencies.uplink),
      m_log_timing(options.append_timeout),
      m_intake_tail(
          dependencies.log,
          m_mailbox,
          clock,
          std::string(kIntakeTopic),
          m_log_timing,
          metrics,
          [this](std::string_view bytes) { return ApplyIntake(bytes); }),
      m_work_tail(dependencies.log,
                  m_mailbox,
                  clock,
                  std::string(kWorkTopic),
                  m_log_timing,
                  metrics,
                  [this](std::string_view bytes) { return ApplyWork(bytes); }),
      m_intake_writer(
          dependencies.log,
          m_mailbox,
          clock,
          std::string(kIntakeTopic),
          m_log_timing,
          [this](int64_t offset, const std::vector<std::string>& records) {
            OnIntakeStored(offset, records);
          }),
      m_intake_forwarder(
          [this](uint64_t id, const std::string& record, Millis wait) {
            SendForward(id, record, wait);
          },
          RandomId()),
      m_open_job_queries(
          [this](const std::string& address, uint64_t id, jobs::JobId job) {
            SendTo(address, OpenJobRequest{id, job, m_options.peer_address});
          },
          RandomId()),
      m_fan_out(m_peer_sender, options.resources.link_mbps, metrics),
      m_policy_relay(RandomId()) {
  std::random_device seed;
  std::mt19937_64 random(seed());
  m_nonce = random();
  m_next_peer = random();
  m_intake_tail.Hold();
  m_work_tail.Hold();
  m_jitter = Millis{static_cast<int64_t>(
      random() % static_cast<uint64_t>(kMaxJitter.count()))};
}

void Node::Start() {
  Begin();
  m_thread = std::thread([this] { Run(); });
}

void Node::Begin() {
  m_started = m_clock.Now();
  m_dependencies.datagrams.Receive([this](std::string_view bytes) {
    Post([this, copy = std::string(bytes)] { OnDatagram(copy); });
  });
  Post([this] { PollPolicy(); });
}

void Node::Drain(Millis timeout) {
  base::PushCompletion(m_mailbox, [this] {
    m_draining = true;
    m_ready.store(false);
    if (m_term) {
      m_term->Yield();
    } else {
      m_yielded.store(true);
    }
  });
  const MonoTime end = m_clock.Now() + timeout;
  while (!m_yielded.load() && m_clock.Now() < end) {
    std::this_thread::sleep_for(kLeaderTickInterval);
  }
}

void Node::Stop() {
  if (m_stopping.exchange(true)) {
    return;
  }
  m_mailbox.Wake();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

bool Node::Post(base::Mail mail) {
  if (m_mailbox.Push(std::move(mail))) {
    return true;
  }
  m_mailbox_rejections.Add(1);
  return false;
}

void Node::Run() {
  while (!m_stopping.load()) {
    const Millis wait = m_term ? kLeaderTickInterval : kFollowerTickInterval;
    HandleMailAndTick(m_mailbox.PopWait(wait));
  }
}

void Node::RunPending() {
  HandleMailAndTick(m_mailbox.Pop());
}

void Node::HandleMailAndTick(std::optional<base::Mail> first) {
  const MonoTime began = m_clock.Now();
  const size_t handled =
      HandleMail(std::move(first), m_mailbox, m_clock,
                 std::max<base::Micros>(kMailTime, m_load.last_tick()));
  const MonoTime tick_began = m_clock.Now();
  m_load.OnMail(handled, tick_began - began);
  Tick();
  m_load.OnTick(tick_began, m_clock.Now(), m_term != nullptr);
}

void Node::Tick() {
  const MonoTime now = m_clock.Now();
  m_intake_next.store(m_intake_tail.next());
  m_intake_writer.OnLogContact(
      std::max(m_intake_tail.last_read(), m_work_tail.last_read()));
  m_intake_writer.Tick(now);
  m_intake_forwarder.Tick(now, LeaderCanAppend(now));
  m_open_job_queries.Tick(now);
  m_view_waiters.Tick(
      View(),
      [this](jobs::JobId job) { return m_job_table.StateOf(job).has_value(); },
      now);
  m_policy_waiters.Tick(ViewPolicy(), now);
  ReadSnapshotIfNeeded(now);
  PollForWaiters(now);
  PollStreams(now);
  PollDirectory(now);
  if (m_term) {
    TickLeader(now);
  } else {
    BeginTermIfElected();
    SendFollowerHeartbeat(now);
    ForwardUnstoredEnds(now);
    StartElectionIfDue(now);
  }
  m_load.OnLinkWait(m_peer_sender.LinkWait());
  UpdateReady(now);
  LogRefusedMail(now);
  if (now >= m_next_speed_probe) {
    m_next_speed_probe = now + kSpeedProbeInterval;
    m_speed_probe.Add(MeasureWorkMicros(m_clock));
  }
  if (now >= m_policy_retry) {
    PollPolicy();
  }
  RequestPolicyIfDue(now);
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    m_job_table.RemoveExpired(now, m_options.finished_job_retention);
    m_open_submissions.RemoveExpired(now);
    m_received_forwards.RemoveExpired(now);
  }
}

void Node::LogRefusedMail(MonoTime now) {
  const int64_t refused = m_mailbox_rejections.Get();
  if (refused == m_logged_refused_mail || now < m_next_refused_mail_log) {
    return;
  }
  base::LogEvent(base::Severity::kWarning, "AZ9408",
                 "mailbox was full; messages were refused",
                 {{"refused", std::to_string(refused - m_logged_refused_mail)},
                  {"total", std::to_string(refused)}});
  m_logged_refused_mail = refused;
  m_next_refused_mail_log = now + kRefusedMailLogInterval;
}

void Node::PollStreams(MonoTime now) {
  const bool starting = !m_intake_tail.caught_up() || !m_work_tail.caught_up();
  const MonoTime since = std::max(m_work_tail.last_advance(), m_started);
  const bool leader_suspected =
      now >= since + m_options.unreachable_leader_timeout / 2;
  Millis interval = leader_suspected ? m_options.suspect_poll_interval
                                     : m_options.poll_interval;
  if (m_term) {
    interval = m_options.leader_poll_interval;
  } else if (starting) {
    interval = kFollowerTickInterval;
  }
  // A read that is answered lets this VM append again.
  const bool failing = m_intake_writer.failing();
  const Millis intake_interval =
      failing ? std::min(interval, m_options.suspect_poll_interval) : interval;
  if (!m_intake_tail.reading() &&
      now >= m_intake_tail.last_attempt() + intake_interval &&
      (!m_intake_tail.caught_up() || m_term || failing ||
       now >= m_intake_tail.last_attempt() + m_options.poll_interval)) {
    m_intake_tail.Poll();
  }
  if (!m_term && !m_work_tail.reading() &&
      now >= m_work_tail.last_attempt() + interval &&
      m_intake_tail.caught_up()) {
    m_work_tail.Poll();
  }
}

void Node::UpdateReady(MonoTime now) {
  const bool contact =
      now <= std::max(m_intake_tail.last_read(), m_work_tail.last_read()) +
                 m_options.log_contact_timeout ||
      (m_term && now <= m_term->last_append() + m_options.log_contact_timeout);
  const bool ready = !m_draining && policy() != nullptr &&
                     m_intake_tail.caught_up() && m_work_tail.caught_up() &&
                     contact && !m_intake_writer.failing();
  if (ready != m_ready.exchange(ready)) {
    base::LogEvent(base::Severity::kInfo, ready ? "AZ9002" : "AZ9003",
                   ready ? "ready" : "not ready",
                   {{"draining", m_draining ? "true" : "false"},
                    {"contact", contact ? "true" : "false"},
                    {"intake", std::to_string(m_intake_tail.next())},
                    {"work", std::to_string(m_work_tail.next())}});
  }
}

std::unique_ptr<CellNode> StartCellNode(const NodeOptions& options,
                                        const NodeDependencies& dependencies,
                                        const base::Clock& clock,
                                        base::Metrics& metrics) {
  auto node = std::make_unique<Node>(options, dependencies, clock, metrics);
  node->Start();
  return node;
}

}  // namespace azurespur::cell
