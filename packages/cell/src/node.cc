#include "node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/event_log.h"
#include "cell/topics.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

constexpr Millis kBusyTick{20};
constexpr Millis kIdleTick{60};
constexpr Millis kMaxJitter{40};
constexpr Millis kSweepInterval{5000};
constexpr Millis kSpeedInterval{400};

}  // namespace

Node::Node(const NodeOptions& options,
           const NodePorts& ports,
           const base::Clock& clock,
           base::Metrics& metrics)
    : m_options(options),
      m_ports(ports),
      m_clock(clock),
      m_accepted(metrics.GetCounter("azurespur_jobs_accepted_total")),
      m_not_accepted(metrics.GetCounter("azurespur_jobs_not_accepted_total")),
      m_uncertain(metrics.GetCounter("azurespur_jobs_uncertain_total")),
      m_forwarded(metrics.GetCounter("azurespur_intake_forwarded_total")),
      m_leading(metrics.GetCounter("azurespur_leading")),
      m_starts(metrics.GetCounter("azurespur_task_starts_total")),
      m_mail_refused(metrics.GetCounter("azurespur_mail_refused_total")),
      m_store_time(metrics.GetDistribution("azurespur_store_ms")),
      m_timing(options.append_timeout),
      m_intake(ports.log,
               m_mailbox,
               clock,
               std::string(kIntakeTopic),
               m_timing,
               [this](std::string_view bytes) { return ApplyIntake(bytes); }),
      m_work(ports.log,
             m_mailbox,
             clock,
             std::string(kWorkTopic),
             m_timing,
             [this](std::string_view bytes) { return ApplyWork(bytes); }),
      m_writer(ports.log,
               m_mailbox,
               clock,
               std::string(kIntakeTopic),
               m_timing,
               [this](int64_t offset, const std::vector<std::string>& records) {
                 OnIntakeStored(offset, records);
               }),
      m_forwards([this](uint64_t id, const std::string& record, Millis wait) {
        SendForward(id, record, wait);
      }) {
  std::random_device seed;
  std::mt19937_64 random(seed());
  m_nonce = random();
  m_jitter = Millis{static_cast<int64_t>(
      random() % static_cast<uint64_t>(kMaxJitter.count()))};
}

void Node::Start() {
  m_started = m_clock.Now();
  m_ports.datagrams.Receive([this](std::string_view bytes) {
    Post([this, copy = std::string(bytes)] { OnDatagram(copy); });
  });
  m_thread = std::thread([this] { Run(); });
  Post([this] { PollPolicy(); });
}

void Node::Drain(Millis timeout) {
  Post([this] {
    m_draining = true;
    m_ready.store(false);
    if (m_lead) {
      m_lead->Yield();
    } else {
      m_yielded.store(true);
    }
  });
  const MonoTime end = m_clock.Now() + timeout;
  while (!m_yielded.load() && m_clock.Now() < end) {
    std::this_thread::sleep_for(kBusyTick);
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
  m_mail_refused.Add(1);
  return false;
}

void Node::Run() {
  while (!m_stopping.load()) {
    const Millis wait = m_lead ? kBusyTick : kIdleTick;
    std::optional<base::Mail> mail = m_mailbox.PopWait(wait);
    while (mail) {
      (*mail)();
      mail = m_mailbox.Pop();
    }
    Tick();
  }
}

void Node::Tick() {
  const MonoTime now = m_clock.Now();
  m_writer.NoteContact(std::max(m_intake.last_read(), m_work.last_read()));
  m_writer.Tick(now);
  m_forwards.Tick(now, LeaderCanAppend(now));
  PollStreams(now);
  PollDirectory(now);
  if (m_lead) {
    LeadTick(now);
  } else {
    LeadIfElected();
    SayHello(now);
    StandIfDue(now);
  }
  UpdateReady(now);
  if (now >= m_next_speed) {
    m_next_speed = now + kSpeedInterval;
    m_speed.Add(MeasureWorkMicros(m_clock));
  }
  if (now >= m_policy_retry) {
    PollPolicy();
  }
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    m_table.RemoveExpired(now, m_options.keep_final);
  }
}

void Node::PollStreams(MonoTime now) {
  const bool starting = !m_intake.caught_up() || !m_work.caught_up();
  const MonoTime since = std::max(m_work.last_advance(), m_started);
  const bool alert = now >= since + m_options.quiet_leader_silence / 2;
  Millis interval =
      alert ? m_options.alert_poll_interval : m_options.poll_interval;
  if (m_lead) {
    interval = m_options.leader_poll_interval;
  } else if (starting) {
    interval = kIdleTick;
  }
  if (!m_intake.reading() && now >= m_intake.last_attempt() + interval &&
      (!m_intake.caught_up() || m_lead ||
       now >= m_intake.last_attempt() + m_options.poll_interval)) {
    m_intake.Poll();
  }
  if (!m_lead && !m_work.reading() && now >= m_work.last_attempt() + interval &&
      m_intake.caught_up()) {
    m_work.Poll();
  }
}

void Node::UpdateReady(MonoTime now) {
  const bool contact =
      now <= std::max(m_intake.last_read(), m_work.last_read()) +
                 m_options.ready_contact ||
      (m_lead && now <= m_lead->last_append() + m_options.ready_contact);
  const bool ready = !m_draining && policy() != nullptr &&
                     m_intake.caught_up() && m_work.caught_up() && contact &&
                     !m_writer.failing();
  if (ready != m_ready.exchange(ready)) {
    base::LogEvent(base::Severity::kInfo, ready ? "AZ9002" : "AZ9003",
                   ready ? "ready" : "not ready",
                   {{"draining", m_draining ? "true" : "false"},
                    {"contact", contact ? "true" : "false"},
                    {"intake", std::to_string(m_intake.next())},
                    {"work", std::to_string(m_work.next())}});
  }
}

std::unique_ptr<CellNode> StartCellNode(const NodeOptions& options,
                                        const NodePorts& ports,
                                        const base::Clock& clock,
                                        base::Metrics& metrics) {
  auto node = std::make_unique<Node>(options, ports, clock, metrics);
  node->Start();
  return node;
}

}  // namespace azurespur::cell
