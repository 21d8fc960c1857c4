#include "cell/cell_node.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "cell/mailbox.h"
#include "cell/messages.h"
#include "cell/topics.h"
#include "election.h"
#include "intake_writer.h"
#include "jobs/records.h"
#include "leadership.h"
#include "log_tail.h"
#include "node_dump.h"
#include "speed_probe.h"
#include "wire/codec.h"

namespace azurespur::cell {

namespace {

using base::Millis;
using base::MonoTime;

constexpr size_t kMailboxSize = 16384;
constexpr Millis kBusyTick{20};
constexpr Millis kIdleTick{60};
constexpr Millis kMaxJitter{40};
constexpr Millis kSweepInterval{5000};
constexpr Millis kPolicyRetry{200};
constexpr Millis kSpeedInterval{400};
// Taking over is work too.
constexpr Millis kShortestTerm{1500};
constexpr Millis kRestAfterSlowTerm{3000};
// Larger notices only say that there is something to read.
constexpr size_t kMaxNoticeBytes = 12 << 10;

struct PeerState {
  std::string address;
  double work_micros = 0;
  MonoTime heard{};
};

class Node : public CellNode {
 public:
  Node(const NodeOptions& options,
       const NodePorts& ports,
       const base::Clock& clock,
       base::Metrics& metrics);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node() override { Stop(); }

  void Start();
  void Drain(Millis timeout) override;
  void Stop() override;

  void Submit(jobs::JobSpec spec,
              MonoTime deadline,
              std::function<void(IntakeOutcome)> done) override;
  void Cancel(jobs::JobId job,
              MonoTime deadline,
              std::function<void(IntakeOutcome)> done) override;
  void FindState(jobs::JobId job,
                 std::function<void(StateAnswer)> done) override;
  void CountPending(std::string queue,
                    std::function<void(int64_t)> done) override;
  std::shared_ptr<const jobs::CellPolicy> policy() const override;
  bool ready() const override { return m_ready.load(); }
  void Dump(std::function<void(std::string)> done) override;

 private:
  bool Post(Mail mail);
  void Run();
  void Tick();
  void PollStreams(MonoTime now);
  void SayHello(MonoTime now);
  void UpdateReady(MonoTime now);

  // Streams.
  bool ApplyIntake(std::string_view bytes);
  bool ApplyWork(std::string_view bytes);
  void OnIntakeStored(int64_t offset, const std::vector<std::string>& records);
  void OnWorkStored(int64_t offset, const std::vector<std::string>& records);

  // Peers.
  void OnDatagram(std::string_view bytes);
  void OnMessage(const RecordsNotice& notice);
  void OnMessage(const Alive& alive);
  void OnMessage(const Hello& hello);
  void OnMessage(const AdviceRequest& request);
  void OnMessage(const AdviceReply& reply);
  void SendTo(const std::string& address, const Message& message);
  void Notify(const std::string& address,
              Stream stream,
              int64_t offset,
              const std::vector<std::string>& records);
  void NotifyPeers(Stream stream,
                   int64_t offset,
                   const std::vector<std::string>& records);

  // Leading.
  void StandIfDue(MonoTime now);
  void OnElection(uint64_t epoch, int64_t offset, const AppendResult& result);
  void LeadIfElected();
  void Lead(uint64_t epoch);
  void StepDown(std::string_view reason);
  void LeadTick(MonoTime now);
  void SayAlive(MonoTime now);
  void YieldIfSlow(MonoTime now);
  void PollDirectory(MonoTime now);
  void CarryOut();
  void SendStart(const jobs::StartOrder& order);
  void SendStop(const jobs::StopOrder& order);
  void SendHold(const jobs::HoldOrder& order);
  void SendQuery(const jobs::AdviceQuery& query);
  // Runs `call` on the node's thread if this term still lasts.
  void PostInTerm(uint64_t epoch, std::function<void(Leadership&)> call);

  void PollPolicy();
  void StoreIntake(const jobs::IntakeRecord& record,
                   MonoTime deadline,
                   std::function<void(IntakeOutcome)> done);
  void CancelKnown(jobs::JobId job,
                   MonoTime deadline,
                   std::function<void(IntakeOutcome)> done);

  const NodeOptions m_options;
  const NodePorts m_ports;
  const base::Clock& m_clock;
  base::Counter& m_accepted;
  base::Counter& m_not_accepted;
  base::Counter& m_uncertain;
  base::Counter& m_leading;
  base::Counter& m_starts;
  base::Counter& m_mail_refused;
  base::Distribution& m_store_time;
  Mailbox m_mailbox{kMailboxSize};
  std::thread m_thread;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_yielded{false};

  mutable std::mutex m_policy_mutex;
  std::shared_ptr<const jobs::CellPolicy> m_policy;

  // Node's thread only.
  jobs::JobTable m_table;
  LogTiming m_timing;
  LogTail m_intake;
  LogTail m_work;
  IntakeWriter m_writer;
  std::shared_ptr<Leadership> m_lead;
  std::map<std::string, PeerState> m_peers;  // By VM; known while leading.
  MonoTime m_started{};
  MonoTime m_last_hello{};
  MonoTime m_lead_since{};
  MonoTime m_leader_heard{};
  MonoTime m_next_alive{};
  MonoTime m_stand_after{};
  SpeedProbe m_speed;
  MonoTime m_next_speed{};
  MonoTime m_next_directory{};
  MonoTime m_next_plan{};
  MonoTime m_next_sweep{};
  MonoTime m_policy_retry = MonoTime::max();  // While no poll is in flight.
  bool m_directory_read = false;
  bool m_directory_busy = false;
  bool m_plan_wanted = true;
  bool m_standing = false;
  bool m_draining = false;
  bool m_waits_for_intake = false;
  Millis m_jitter{0};
  uint64_t m_nonce = 0;
  uint64_t m_stood_epoch = 0;  // Of the last election that it stood in.
};

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

bool Node::Post(Mail mail) {
  if (m_mailbox.Push(std::move(mail))) {
    return true;
  }
  m_mail_refused.Add(1);
  return false;
}

void Node::Run() {
  while (!m_stopping.load()) {
    const Millis wait = m_lead ? kBusyTick : kIdleTick;
    std::optional<Mail> mail = m_mailbox.PopWait(wait);
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
  PollStreams(now);
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
    m_table.Sweep(now, m_options.keep_final);
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

// ---- Streams

bool Node::ApplyIntake(std::string_view bytes) {
  const auto record = jobs::DecodeIntake(bytes);
  if (!base::Ok(record)) {
    base::LogEvent(base::Severity::kError, "AZ9207",
                   "record can't be read; it is skipped",
                   {{"stream", std::string(kIntakeTopic)},
                    {"offset", std::to_string(m_intake.next())},
                    {"reason", base::GetError(record).message}});
    return true;
  }
  m_table.Apply(base::Value(record), m_intake.next(), m_clock.Now());
  m_plan_wanted = true;
  return true;
}

bool Node::ApplyWork(std::string_view bytes) {
  const auto record = jobs::DecodeWork(bytes);
  if (!base::Ok(record)) {
    base::LogEvent(base::Severity::kError, "AZ9207",
                   "record can't be read; it is skipped",
                   {{"stream", std::string(kWorkTopic)},
                    {"offset", std::to_string(m_work.next())},
                    {"reason", base::GetError(record).message}});
    return true;
  }
  const auto* mark = std::get_if<jobs::MarkRecord>(&base::Value(record));
  if (mark != nullptr && mark->intake_end > m_intake.next()) {
    if (!m_waits_for_intake) {
      m_waits_for_intake = true;
      m_intake.Poll([this](bool) {
        m_waits_for_intake = false;
        m_work.Poll();
      });
    }
    return false;
  }
  m_table.Apply(base::Value(record), m_clock.Now());
  m_plan_wanted = true;
  if (const auto* lead = std::get_if<jobs::LeadRecord>(&base::Value(record))) {
    base::LogEvent(base::Severity::kInfo, "AZ9301", "a VM leads",
                   {{"vm", lead->vm},
                    {"epoch", std::to_string(lead->epoch)},
                    {"offset", std::to_string(m_work.next())}});
    m_last_hello = {};
    if (m_lead && lead->epoch > m_lead->epoch()) {
      StepDown("another VM leads");
    }
  }
  return true;
}

void Node::OnIntakeStored(int64_t offset,
                          const std::vector<std::string>& records) {
  m_intake.Offer(offset, records);
  if (m_lead) {
    NotifyPeers(Stream::kIntake, offset, records);
  } else if (!m_table.leader().address.empty()) {
    Notify(m_table.leader().address, Stream::kIntake, offset, records);
  }
}

void Node::OnWorkStored(int64_t offset,
                        const std::vector<std::string>& records) {
  m_work.Offer(offset, records);
  if (m_work.next() < offset + static_cast<int64_t>(records.size())) {
    // Can't happen while this VM is the only writer of its epoch.
    StepDown("work stream has records of another writer");
    return;
  }
  NotifyPeers(Stream::kWork, offset, records);
  m_next_alive = m_clock.Now() + m_options.alive_interval;
}

// ---- Peers

void Node::SendTo(const std::string& address, const Message& message) {
  m_ports.datagrams.Send(address, wire::Encode(message));
}

void Node::Notify(const std::string& address,
                  Stream stream,
                  int64_t offset,
                  const std::vector<std::string>& records) {
  size_t bytes = 0;
  for (const std::string& record : records) {
    bytes += record.size();
  }
  RecordsNotice notice;
  notice.stream = stream;
  notice.offset = offset;
  if (bytes <= kMaxNoticeBytes) {
    notice.records = records;
  }
  SendTo(address, notice);
}

void Node::NotifyPeers(Stream stream,
                       int64_t offset,
                       const std::vector<std::string>& records) {
  for (const auto& [vm, peer] : m_peers) {
    Notify(peer.address, stream, offset, records);
  }
}

void Node::OnDatagram(std::string_view bytes) {
  const auto message = wire::Decode<Message>(bytes);
  if (!base::Ok(message)) {
    base::LogEvent(base::Severity::kWarning, "AZ9401", "datagram is malformed",
                   {{"bytes", std::to_string(bytes.size())},
                    {"reason", base::GetError(message).message}});
    return;
  }
  std::visit([this](const auto& one) { OnMessage(one); }, base::Value(message));
}

void Node::OnMessage(const RecordsNotice& notice) {
  if (notice.stream == Stream::kWork) {
    if (!m_lead) {
      m_leader_heard = m_clock.Now();
      m_work.Offer(notice.offset, notice.records);
    }
    return;
  }
  const int64_t before = m_intake.next();
  m_intake.Offer(notice.offset, notice.records);
  if (m_lead && m_intake.next() > before) {
    NotifyPeers(Stream::kIntake, notice.offset, notice.records);
  }
}

void Node::OnMessage(const Alive& alive) {
  if (alive.log_ok && alive.epoch == m_table.epoch()) {
    m_leader_heard = m_clock.Now();
  }
}

void Node::OnMessage(const Hello& hello) {
  const MonoTime now = m_clock.Now();
  PeerState& peer = m_peers[hello.vm];
  const bool known = peer.address == hello.address;
  peer.address = hello.address;
  peer.heard = now;
  peer.work_micros = hello.work_micros;
  if (!known) {
    base::LogEvent(base::Severity::kInfo, "AZ9402", "follower is here",
                   {{"vm", hello.vm}, {"address", hello.address}});
  }
}

void Node::OnMessage(const AdviceRequest& request) {
  jobs::AdviceQuery query;
  query.id = request.query_id;
  query.vm = m_options.vm;
  query.step = {request.job, request.step};
  query.workers = request.workers;
  query.timeout = Millis{request.timeout_ms};
  m_ports.advice.Ask(
      query, [this, epoch = request.epoch, id = request.query_id,
              reply_to = request.reply_to](
                 base::Outcome<std::vector<jobs::AdviceTicket>> outcome) {
        AdviceReply reply;
        reply.epoch = epoch;
        reply.query_id = id;
        reply.ok = base::Ok(outcome);
        if (reply.ok) {
          reply.tickets = base::Value(std::move(outcome));
        }
        SendTo(reply_to, reply);
      });
}

void Node::OnMessage(const AdviceReply& reply) {
  if (!m_lead || reply.epoch != m_lead->epoch()) {
    return;
  }
  if (reply.ok) {
    m_lead->scheduler().OnAdvice(reply.query_id, reply.tickets, m_clock.Now());
  } else {
    m_lead->scheduler().OnAdviceFailed(reply.query_id, m_clock.Now());
  }
  m_plan_wanted = true;
}

void Node::SayHello(MonoTime now) {
  const std::string& leader = m_table.leader().address;
  if (leader.empty() || now < m_last_hello + m_options.hello_interval ||
      m_draining) {
    return;
  }
  m_last_hello = now;
  SendTo(leader,
         Hello{m_options.vm, m_options.peer_address, m_speed.WorkMicros()});
}

// ---- Leading

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
  call.records = {jobs::EncodeWork(
      jobs::LeadRecord{epoch, m_options.vm, m_options.peer_address})};
  call.expected_end = m_work.next();
  call.producer = Producer{std::string(kLeaderProducer), epoch, 0};
  call.timeout = m_timing.AppendTimeout();
  const int64_t offset = m_work.next();
  m_ports.log.Append(std::move(call), [this, epoch,
                                       offset](AppendResult result) {
    Post([this, epoch, offset, result] { OnElection(epoch, offset, result); });
  });
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
    const std::vector<std::string> records = {jobs::EncodeWork(
        jobs::LeadRecord{epoch, m_options.vm, m_options.peer_address})};
    m_work.Offer(result.offset, records);
  } else {
    m_work.Poll();
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
  m_lead_since = m_clock.Now();
  m_next_directory = {};
  m_directory_read = false;
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
  PollDirectory(now);
  if (m_plan_wanted && now >= m_next_plan && m_directory_read && !m_draining) {
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
  const bool log_ok = now <= m_lead->last_append() + m_options.leader_silence;
  for (const auto& [vm, peer] : m_peers) {
    SendTo(peer.address, Alive{m_lead->epoch(), log_ok});
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
        PostInTerm(epoch, [this, id,
                           outcome = std::move(outcome)](Leadership& lead) {
          if (base::Ok(outcome)) {
            lead.scheduler().OnAdvice(id, base::Value(outcome), m_clock.Now());
          } else {
            lead.scheduler().OnAdviceFailed(id, m_clock.Now());
          }
        });
      });
}

void Node::PollDirectory(MonoTime now) {
  if (m_directory_busy || now < m_next_directory) {
    return;
  }
  m_directory_busy = true;
  m_next_directory = now + m_options.directory_interval;
  m_ports.directory.Poll(
      [this, now](base::Outcome<WorkerDirectory::Entries> outcome) {
        Post([this, now, outcome = std::move(outcome)] {
          m_directory_busy = false;
          if (m_lead && base::Ok(outcome)) {
            m_directory_read = true;
            m_lead->scheduler().SetPolicy(policy() ? *policy()
                                                   : jobs::CellPolicy{});
            m_lead->scheduler().SetWorkers(base::Value(outcome), now,
                                           m_lead->output());
            m_plan_wanted = true;
          }
        });
      });
}

// ---- Policy

void Node::PollPolicy() {
  m_policy_retry = MonoTime::max();
  m_ports.policy.Poll([this](base::Outcome<PolicySource::Policy> outcome) {
    const bool ok = base::Ok(outcome) && base::Value(outcome) != nullptr;
    if (ok) {
      std::lock_guard<std::mutex> lock(m_policy_mutex);
      const auto& fresh = base::Value(outcome);
      if (!m_policy || fresh->version > m_policy->version) {
        base::LogEvent(base::Severity::kInfo, "AZ9004", "policy is in force",
                       {{"version", std::to_string(fresh->version)},
                        {"queues", std::to_string(fresh->queues.size())}});
        m_policy = fresh;
      }
    }
    Post([this, ok] {
      if (m_stopping.load()) {
        return;
      }
      if (ok && m_lead) {
        m_lead->scheduler().SetPolicy(*policy());
        m_plan_wanted = true;
      }
      if (ok) {
        PollPolicy();
      } else {
        m_policy_retry = m_clock.Now() + kPolicyRetry;
      }
    });
  });
}

std::shared_ptr<const jobs::CellPolicy> Node::policy() const {
  std::lock_guard<std::mutex> lock(m_policy_mutex);
  return m_policy;
}

// ---- Callers

void Node::Submit(jobs::JobSpec spec,
                  MonoTime deadline,
                  std::function<void(IntakeOutcome)> done) {
  const bool posted = Post([this, spec = std::move(spec), deadline, done] {
    if (m_table.StateOf(spec.id)) {
      done(IntakeOutcome::kAccepted);
      return;
    }
    if (m_draining) {
      done(IntakeOutcome::kNotAccepted);
      return;
    }
    StoreIntake(spec, deadline, done);
  });
  if (!posted) {
    done(IntakeOutcome::kNotAccepted);
  }
}

void Node::StoreIntake(const jobs::IntakeRecord& record,
                       MonoTime deadline,
                       std::function<void(IntakeOutcome)> done) {
  const MonoTime began = m_clock.Now();
  m_writer.Store(jobs::EncodeIntake(record), deadline,
                 [this, began, done = std::move(done)](StoreOutcome outcome) {
                   m_store_time.Observe(static_cast<double>(
                       base::MillisBetween(began, m_clock.Now())));
                   switch (outcome) {
                     case StoreOutcome::kStored:
                       m_accepted.Add(1);
                       done(IntakeOutcome::kAccepted);
                       return;
                     case StoreOutcome::kNotStored:
                       m_not_accepted.Add(1);
                       done(IntakeOutcome::kNotAccepted);
                       return;
                     case StoreOutcome::kUnknown:
                       m_uncertain.Add(1);
                       done(IntakeOutcome::kUnknown);
                       return;
                   }
                 });
}

void Node::Cancel(jobs::JobId job,
                  MonoTime deadline,
                  std::function<void(IntakeOutcome)> done) {
  const bool posted = Post([this, job, deadline, done] {
    if (m_table.StateOf(job)) {
      CancelKnown(job, deadline, done);
      return;
    }
    m_intake.Poll([this, job, deadline, done](bool read) {
      if (m_table.StateOf(job)) {
        CancelKnown(job, deadline, done);
      } else {
        done(read ? IntakeOutcome::kNoSuchJob : IntakeOutcome::kNotAccepted);
      }
    });
  });
  if (!posted) {
    done(IntakeOutcome::kNotAccepted);
  }
}

void Node::CancelKnown(jobs::JobId job,
                       MonoTime deadline,
                       std::function<void(IntakeOutcome)> done) {
  if (jobs::IsFinal(*m_table.StateOf(job))) {
    done(IntakeOutcome::kAccepted);
    return;
  }
  StoreIntake(jobs::CancelRecord{job}, deadline, std::move(done));
}

void Node::FindState(jobs::JobId job, std::function<void(StateAnswer)> done) {
  const bool posted = Post([this, job, done] {
    if (const auto state = m_table.StateOf(job)) {
      done({true, state});
      return;
    }
    m_intake.Poll([this, job, done](bool read) {
      const auto state = m_table.StateOf(job);
      done({read || state.has_value(), state});
    });
  });
  if (!posted) {
    done({});
  }
}

void Node::CountPending(std::string queue, std::function<void(int64_t)> done) {
  const bool posted =
      Post([this, queue, done] { done(m_table.CountPending(queue)); });
  if (!posted) {
    done(0);
  }
}

void Node::Dump(std::function<void(std::string)> done) {
  const bool posted = Post([this, done] {
    NodeView view;
    view.vm = m_options.vm;
    view.leader = m_table.leader();
    view.leading = m_lead != nullptr;
    view.ready = m_ready.load();
    view.intake_next = m_intake.next();
    view.work_next = m_work.next();
    view.policy_version = policy() ? policy()->version : 0;
    done(DumpNode(view, m_table,
                  m_lead ? &m_lead->scheduler().fleet() : nullptr,
                  m_clock.Now()));
  });
  if (!posted) {
    done("{}");
  }
}

}  // namespace

std::unique_ptr<CellNode> StartCellNode(const NodeOptions& options,
                                        const NodePorts& ports,
                                        const base::Clock& clock,
                                        base::Metrics& metrics) {
  auto node = std::make_unique<Node>(options, ports, clock, metrics);
  node->Start();
  return node;
}

}  // namespace azurespur::cell
