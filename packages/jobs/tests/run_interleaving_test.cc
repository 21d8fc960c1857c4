// All interleavings, to a depth, of what can happen to one run: sends and
// answers of its start, its end, a restart of its worker, and reports and
// directory entries of either boot. Judged by what a worker would see: a run
// may be released only if it neither runs, nor can begin any more, nor has
// ended as done.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/fleet.h"

namespace azurespur::jobs {

namespace {

using base::Millis;
using base::MonoTime;

constexpr TaskRef kTask{1, 0, 0};
constexpr int32_t kRun = 1;
constexpr Millis kStep{300};
constexpr int kMaxSends = 2;
constexpr int kMaxDepth = 9;
constexpr size_t kMaxReportsInFlight = 2;
constexpr Millis kTooLate{13000};  // For a send to arrive.

enum class Event {
  kDeliverFirstSend,
  kDeliverSecondSend,
  kAnswerStart,      // The answer to the newest send arrives.
  kLoseStartAnswer,  // The leader gives up waiting for it.
  kResend,           // The leader sends the start again, later on.
  kNothing,          // For so long that no send can arrive any more.
  kRunEnds,          // As done.
  kRestart,
  kEntryOfFirstBoot,
  kEntryOfSecondBoot,
  kReport,     // The worker answers a hold order.
  kCutReport,  // The same; its list of ends is full without the run's end.
  kDeliverReport,
  kStop,  // The worker gets the newest stop that the leader has sent.
  kAnswerStop,
};

constexpr std::array kEvents = {
    Event::kDeliverFirstSend, Event::kDeliverSecondSend,
    Event::kAnswerStart,      Event::kLoseStartAnswer,
    Event::kRunEnds,          Event::kRestart,
    Event::kEntryOfFirstBoot, Event::kEntryOfSecondBoot,
    Event::kReport,           Event::kCutReport,
    Event::kDeliverReport,    Event::kStop,
    Event::kAnswerStop,       Event::kResend,
    Event::kNothing,
};

enum class SendState {
  kUnsent,
  kInFlight,
  kAccepted,
  kRefused,
  kAnswered,
  kLost,
};

struct ReportInFlight {
  HoldOrder order;
  WorkerReport report;
};

// The worker as it is.
struct TrueWorker {
  int64_t boot = 1;
  uint64_t fence = 0;  // The highest token that this boot has seen.
  bool running = false;
  bool refuses = false;  // The run was stopped or has ended on this boot.
  bool ended = false;    // The end is on the worker's list.
};

WorkerEntry MakeEntry(int64_t boot) {
  WorkerEntry entry;
  entry.boot = {"w", boot};
  entry.address = "addr";
  entry.capacity = {100, 100, 0};
  return entry;
}

// The leader's fleet with one run, its worker, and what is under way between
// them.
class World {
 public:
  World() {
    SetEntry(1);
    ServeReport(/*cut=*/false);
    DeliverReport();
    Run run;
    run.run = kRun;
    m_fleet.Bind(kTask, run, "w", m_now);
    m_fleet.BeginStart(kTask, kRun, /*has_ticket=*/false, m_now);
    m_start.worker = {"w", 1};
    m_start.task = kTask;
    m_start.run = kRun;
    m_start.fence = m_fleet.workers().at("w").fence;
    m_sends[0] = SendState::kInFlight;
    m_fences[0] = m_start.fence;
  }

  // Returns false if the event can't happen now.
  bool Apply(Event event);

  bool over() const { return m_over; }
  const std::string& fault() const { return m_fault; }

 private:
  bool DeliverSend(int number);
  bool AnswerStart();
  bool LoseStartAnswer();
  bool Resend();
  bool DoNothing();
  bool EndRun();
  bool Restart();
  bool SetEntry(int64_t boot);
  bool ServeReport(bool cut);
  bool DeliverReport();
  bool Stop();
  bool AnswerStop();
  // The leader's next send is under way.
  void AddSend();
  // A send is under way that the worker's boot would carry out.
  bool SendIsOpen() const;
  // Lets the leader act, and judges what it recorded.
  void Settle();
  void JudgeRelease();

  static SchedulerOptions Options() {
    SchedulerOptions options;
    options.max_start_sends = kMaxSends;
    return options;
  }

  SchedulerOptions m_options = Options();
  Fleet m_fleet{m_options};
  SchedulerOutput m_out;
  MonoTime m_now{Millis{1000000}};
  TrueWorker m_worker;
  StartOrder m_start;  // The newest send.
  std::array<SendState, kMaxSends> m_sends{};
  std::array<uint64_t, kMaxSends> m_fences{};  // Of the sends.
  int m_newest_send = 0;
  bool m_gave_up = false;  // The leader waits for no answer to its sends.
  std::vector<ReportInFlight> m_reports;
  std::optional<StopOrder> m_stop;           // Sent by the leader.
  std::optional<StopOrder> m_answered_stop;  // Its answer is under way.
  bool m_over = false;
  std::string m_fault;
};

bool World::Apply(Event event) {
  m_now += kStep;
  bool possible = false;
  switch (event) {
    case Event::kDeliverFirstSend:
      possible = DeliverSend(0);
      break;
    case Event::kDeliverSecondSend:
      possible = DeliverSend(1);
      break;
    case Event::kAnswerStart:
      possible = AnswerStart();
      break;
    case Event::kLoseStartAnswer:
      possible = LoseStartAnswer();
      break;
    case Event::kResend:
      possible = Resend();
      break;
    case Event::kNothing:
      possible = DoNothing();
      break;
    case Event::kRunEnds:
      possible = EndRun();
      break;
    case Event::kRestart:
      possible = Restart();
      break;
    case Event::kEntryOfFirstBoot:
      possible = SetEntry(1);
      break;
    case Event::kEntryOfSecondBoot:
      possible = m_worker.boot == 2 && SetEntry(2);
      break;
    case Event::kReport:
      possible = ServeReport(/*cut=*/false);
      break;
    case Event::kCutReport:
      possible = m_worker.ended && ServeReport(/*cut=*/true);
      break;
    case Event::kDeliverReport:
      possible = DeliverReport();
      break;
    case Event::kStop:
      possible = Stop();
      break;
    case Event::kAnswerStop:
      possible = AnswerStop();
      break;
  }
  if (possible) {
    Settle();
  }
  return possible;
}

bool World::DeliverSend(int number) {
  SendState& send = m_sends[static_cast<size_t>(number)];
  if (send != SendState::kInFlight) {
    return false;
  }
  const uint64_t fence = m_fences[static_cast<size_t>(number)];
  const bool fenced = fence < m_worker.fence;
  const bool accepts = !fenced && (m_worker.running || !m_worker.refuses);
  m_worker.fence = std::max(m_worker.fence, fence);
  send = accepts ? SendState::kAccepted : SendState::kRefused;
  m_worker.running = m_worker.running || accepts;
  return true;
}

bool World::AnswerStart() {
  SendState& send = m_sends[static_cast<size_t>(m_newest_send)];
  if (m_gave_up ||
      (send != SendState::kAccepted && send != SendState::kRefused)) {
    return false;
  }
  m_fleet.OnStarted(m_start,
                    {send == SendState::kAccepted ? OrderOutcome::kAccepted
                                                  : OrderOutcome::kStaleRun,
                     std::nullopt},
                    m_now, m_out);
  send = SendState::kAnswered;
  return true;
}

// The send stays under way, and the leader sends once more if it may.
bool World::LoseStartAnswer() {
  if (m_gave_up ||
      m_sends[static_cast<size_t>(m_newest_send)] == SendState::kAnswered) {
    return false;
  }
  if (m_newest_send + 1 < kMaxSends && m_fleet.MayRepeatStart(m_start)) {
    m_fleet.OnStartRepeated(kTask, m_now, m_out);
    AddSend();
    return true;
  }
  m_gave_up = true;
  m_fleet.OnStarted(m_start, {}, m_now, m_out);
  return true;
}

void World::AddSend() {
  ++m_newest_send;
  ++m_start.send_count;
  m_sends[static_cast<size_t>(m_newest_send)] = SendState::kInFlight;
  m_fences[static_cast<size_t>(m_newest_send)] = m_start.fence;
}

bool World::Resend() {
  if (m_newest_send + 1 >= kMaxSends || m_fleet.DueResends().empty()) {
    return false;
  }
  const Worker& worker = m_fleet.BeginResend(kTask, m_now);
  m_start.worker = worker.entry.boot;
  m_start.fence = worker.fence;
  m_gave_up = false;
  AddSend();
  return true;
}

// The leases of a worker that answers are renewed all the while.
bool World::DoNothing() {
  const bool open =
      std::count(m_sends.begin(), m_sends.end(), SendState::kInFlight) > 0;
  if (!open || !m_fleet.workers().at("w").responsive) {
    return false;
  }
  m_now += kTooLate;
  std::replace(m_sends.begin(), m_sends.end(), SendState::kInFlight,
               SendState::kLost);
  return true;
}

bool World::EndRun() {
  if (!m_worker.running) {
    return false;
  }
  m_worker.running = false;
  m_worker.refuses = true;
  m_worker.ended = true;
  return true;
}

bool World::Restart() {
  if (m_worker.boot == 2) {
    return false;
  }
  m_worker = TrueWorker{};
  m_worker.boot = 2;
  m_reports.clear();  // They came over connections that are broken now.
  return true;
}

bool World::SetEntry(int64_t boot) {
  const WorkerEntry entry = MakeEntry(boot);
  m_fleet.SetEntries({&entry, 1}, m_now);
  return true;
}

bool World::ServeReport(bool cut) {
  if (m_reports.size() >= kMaxReportsInFlight) {
    return false;
  }
  ReportInFlight answer;
  const Worker& known = m_fleet.workers().at("w");
  answer.order.worker = known.entry.boot;
  answer.order.fence = known.fence;
  answer.order.sent_at = m_now;
  m_worker.fence = std::max(m_worker.fence, known.fence);
  answer.report.clock_ms = base::MillisBetween(MonoTime{}, m_now);
  answer.report.boot_unix_ms = m_worker.boot;
  if (m_worker.running) {
    answer.report.running.push_back({kTask, kRun, "", 10});
  }
  if (m_worker.ended && !cut) {
    answer.report.ended.push_back({1, kTask, kRun, EndCause::kDone, ""});
  }
  answer.report.more_ends = cut;
  m_reports.push_back(std::move(answer));
  return true;
}

bool World::DeliverReport() {
  if (m_reports.empty()) {
    return false;
  }
  const ReportInFlight answer = std::move(m_reports.back());
  m_reports.pop_back();
  m_fleet.OnReport(answer.order, answer.report, m_now, m_out);
  return true;
}

bool World::Stop() {
  if (!m_stop) {
    return false;
  }
  m_answered_stop = std::exchange(m_stop, std::nullopt);
  if (m_answered_stop->fence < m_worker.fence) {
    m_answered_stop.reset();
    return true;
  }
  m_worker.fence = m_answered_stop->fence;
  m_worker.refuses = true;
  m_worker.running = false;
  return true;
}

bool World::AnswerStop() {
  if (!m_answered_stop) {
    return false;
  }
  const StopOrder stop = *std::exchange(m_answered_stop, std::nullopt);
  m_fleet.OnStopped(stop, OrderOutcome::kAccepted, m_now, m_out);
  return true;
}

bool World::SendIsOpen() const {
  for (size_t i = 0; i < m_sends.size(); ++i) {
    if (m_sends[i] == SendState::kInFlight && m_fences[i] >= m_worker.fence) {
      return true;
    }
  }
  return false;
}

void World::Settle() {
  m_fleet.Tick(m_now, /*may_renew=*/true, m_out);
  if (!m_out.stops.empty()) {
    m_stop = m_out.stops.back();
  }
  for (const PendingRecord& pending : std::exchange(m_out, {}).records) {
    const auto* end = std::get_if<EndRecord>(&pending.record);
    if (end != nullptr && end->kind == EndKind::kReleased) {
      JudgeRelease();
    }
    m_over = m_over || end != nullptr;
  }
}

void World::JudgeRelease() {
  if (m_worker.running) {
    m_fault = "released while it runs";
  } else if (m_worker.ended) {
    m_fault = "released though it has ended as done";
  } else if (SendIsOpen() && !m_worker.refuses) {
    m_fault = "released while a send may still begin it";
  }
}

// Returns the names of the first events that lead to a fault, nothing if none
// do.
std::string FindFault(const World& world, int depth, int64_t& explored) {
  for (size_t i = 0; i < kEvents.size(); ++i) {
    World next = world;
    if (!next.Apply(kEvents[i])) {
      continue;
    }
    ++explored;
    if (!next.fault().empty()) {
      return std::to_string(i) + ": " + next.fault();
    }
    if (next.over() || depth == 1) {
      continue;
    }
    const std::string fault = FindFault(next, depth - 1, explored);
    if (!fault.empty()) {
      return std::to_string(i) + ", " + fault;
    }
  }
  return {};
}

}  // namespace

// Guards against a second run of a task beside the first one, and against one
// after an end that the worker still has to tell.
TEST_CASE("no interleaving releases a run that is not over") {
  int64_t explored = 0;
  // Numbers of the enumerators of Event.
  CHECK(FindFault(World{}, kMaxDepth, explored) == "");
  MESSAGE("states explored: " << explored);
}

}  // namespace azurespur::jobs
