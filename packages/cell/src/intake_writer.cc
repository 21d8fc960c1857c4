#include "intake_writer.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

#include "base/event_log.h"

namespace azurespur::cell {

namespace {

constexpr size_t kMaxBatchRecords = 256;
constexpr size_t kMaxBatchBytes = 64 << 10;
// Several appends may be in flight, so that one lost response doesn't delay all
// callers. Each has a lane, and a life fences as many lanes of its former life:
// a release with fewer would leave some of them open.
constexpr int kMaxInFlight = 4;
constexpr int kMaxAttempts = 4;
constexpr base::Millis kPauseAfterRefusal{60};
constexpr base::Millis kProbeInterval{300};
constexpr base::Millis kFencingRetryInterval{1000};

// Lives are numbered by the wall clock, which nothing else has in common with
// the former life: nothing lasts on a VM.
uint64_t LifeNumber(const base::Clock& clock) {
  return static_cast<uint64_t>(std::max<int64_t>(clock.WallMillis(), 0));
}

StoreOutcome OutcomeOf(bool uncertain) {
  return uncertain ? StoreOutcome::kUnknown : StoreOutcome::kNotStored;
}

}  // namespace

IntakeWriter::IntakeWriter(FencedLog& log,
                           base::Mailbox& mailbox,
                           const base::Clock& clock,
                           std::string topic,
                           const std::string& name,
                           LogTiming& timing,
                           OnStored on_stored)
    : m_log(log),
      m_mailbox(mailbox),
      m_clock(clock),
      m_topic(std::move(topic)),
      m_log_timing(timing),
      m_on_stored(std::move(on_stored)) {
  const uint64_t life = LifeNumber(clock);
  m_lanes.reserve(kMaxInFlight);
  for (int i = 0; i < kMaxInFlight; ++i) {
    m_lanes.push_back(
        {AppendLane(name + "." + std::to_string(i), life), {}, false});
  }
}

void IntakeWriter::Store(std::string record,
                         base::MonoTime deadline,
                         Done done) {
  if (failing()) {
    const base::MonoTime now = m_clock.Now();
    // The fate of a probe is mostly unknown, which helps its caller less than a
    // refusal.
    if (now < m_next_probe || m_last_contact <= m_last_failure ||
        superseded()) {
      done(StoreOutcome::kNotStored);
      return;
    }
    m_next_probe = now + kProbeInterval;
  }
  QueuedRecord queued;
  queued.record = std::move(record);
  queued.deadline = deadline;
  queued.done = std::move(done);
  m_queue.push_back(std::move(queued));
  Flush();
}

void IntakeWriter::Tick(base::MonoTime now) {
  for (size_t i = m_queue.size(); i-- > 0;) {
    if (m_queue[i].deadline <= now) {
      QueuedRecord queued = std::move(m_queue[i]);
      m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(i));
      queued.done(OutcomeOf(queued.uncertain));
    }
  }
  for (Lane& lane : m_lanes) {
    EndExpired(lane, now);
  }
  Flush();
  FenceFormerLife(now);
}

bool IntakeWriter::former_life_fenced() const {
  return std::ranges::all_of(
      m_lanes, [](const Lane& lane) { return lane.appends.established(); });
}

bool IntakeWriter::superseded() const {
  return std::ranges::any_of(
      m_lanes, [](const Lane& lane) { return lane.appends.superseded(); });
}

void IntakeWriter::Flush() {
  while (Lane* lane = FindLaneToSend()) {
    if (lane->appends.idle()) {
      FillLane(*lane);
    }
    Send(*lane);
  }
}

// Appends without an outcome go first: their callers have waited longer.
IntakeWriter::Lane* IntakeWriter::FindLaneToSend() {
  // A slow log completes few appends per second, so they must be large.
  const int allowed = m_log_timing.IsSlow() ? 1 : kMaxInFlight;
  if (m_in_flight >= allowed || m_clock.Now() < m_pause_until) {
    return nullptr;
  }
  Lane* idle = nullptr;
  for (Lane& lane : m_lanes) {
    if (lane.in_flight) {
      continue;
    }
    if (!lane.appends.idle()) {
      return &lane;
    }
    idle = idle == nullptr ? &lane : idle;
  }
  return m_queue.empty() ? nullptr : idle;
}

void IntakeWriter::FillLane(Lane& lane) {
  std::vector<std::string> records;
  size_t bytes = 0;
  while (!m_queue.empty() && records.size() < kMaxBatchRecords &&
         bytes < kMaxBatchBytes) {
    bytes += m_queue.front().record.size();
    records.push_back(m_queue.front().record);
    lane.waiting.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
  }
  lane.appends.Begin(std::move(records));
}

void IntakeWriter::Send(Lane& lane) {
  AppendRequest request = lane.appends.MakeRequest();
  request.topic = m_topic;
  request.timeout = m_log_timing.AppendTimeout();
  lane.in_flight = true;
  ++m_in_flight;
  m_log.Append(std::move(request),
               [this, &lane, now = m_clock.Now()](AppendResult result) {
                 base::PushCompletion(m_mailbox, [this, &lane, now, result] {
                   --m_in_flight;
                   lane.in_flight = false;
                   OnAppend(lane, result, now);
                 });
               });
}

// One lane at a time, so that records find the others free.
void IntakeWriter::FenceFormerLife(base::MonoTime now) {
  const bool reached = m_last_contact != base::MonoTime{};
  if (!reached || failing() || now < m_next_fencing || now < m_pause_until) {
    return;
  }
  const auto found = std::ranges::find_if(
      m_lanes, [](const Lane& lane) { return !lane.appends.established(); });
  if (found == m_lanes.end() || !found->appends.idle()) {
    return;
  }
  m_next_fencing = now + kFencingRetryInterval;
  found->appends.Begin({});
  Send(*found);
}

// Ends the callers whose append waits to be repeated.
void IntakeWriter::EndExpired(Lane& lane, base::MonoTime now) {
  if (lane.in_flight || lane.appends.idle()) {
    return;
  }
  const auto expired = std::stable_partition(
      lane.waiting.begin(), lane.waiting.end(),
      [now](const QueuedRecord& queued) { return queued.deadline > now; });
  std::vector<QueuedRecord> ended(std::make_move_iterator(expired),
                                  std::make_move_iterator(lane.waiting.end()));
  lane.waiting.erase(expired, lane.waiting.end());
  if (lane.waiting.empty()) {
    lane.appends.Abandon();
  }
  End(ended);
}

// Callbacks may store further records, so lanes must be in order by then.
void IntakeWriter::End(std::span<QueuedRecord> records) {
  for (QueuedRecord& queued : records) {
    queued.done(OutcomeOf(queued.uncertain));
  }
}

void IntakeWriter::OnAppend(Lane& lane,
                            const AppendResult& result,
                            base::MonoTime sent_at) {
  const LaneOutcome outcome = lane.appends.OnAnswer(result.status);
  if (outcome == LaneOutcome::kAppended) {
    OnAppended(lane, result.offset, sent_at);
  } else {
    OnFailed(lane, result.status, outcome, sent_at);
  }
  Flush();
}

void IntakeWriter::OnAppended(Lane& lane,
                              int64_t offset,
                              base::MonoTime sent_at) {
  const base::MonoTime now = m_clock.Now();
  m_failures = 0;
  m_last_contact = now;
  m_log_timing.AddLatency(base::Millis{base::MillisBetween(sent_at, now)});
  const std::span<const std::string> records = lane.appends.records();
  if (records.empty()) {
    m_next_fencing = now;
    FenceFormerLife(now);
    return;
  }
  const std::vector<std::string> stored(records.begin(), records.end());
  std::vector<QueuedRecord> waiting = std::exchange(lane.waiting, {});
  m_on_stored(offset, stored);
  for (QueuedRecord& queued : waiting) {
    queued.done(StoreOutcome::kStored);
  }
}

void IntakeWriter::OnFailed(Lane& lane,
                            AppendStatus status,
                            LaneOutcome outcome,
                            base::MonoTime sent_at) {
  const base::MonoTime now = m_clock.Now();
  // The log works, and has only forgotten the number.
  const bool forgotten = status == AppendStatus::kWrongSequence;
  m_last_contact = forgotten ? now : m_last_contact;
  // An append without records is of no caller, and says little of the log.
  if (!forgotten && !lane.appends.records().empty()) {
    ++m_failures;
    m_last_failure = now;
  }
  base::LogEvent(base::Severity::kWarning, "AZ9204",
                 "append to the intake stream failed",
                 {{"status", std::string(AppendStatusName(status))},
                  {"records", std::to_string(lane.appends.records().size())},
                  {"failures_in_row", std::to_string(m_failures)}});
  if (!forgotten && status != AppendStatus::kUnknown) {
    m_pause_until = now + kPauseAfterRefusal;
  }
  const bool open = outcome == LaneOutcome::kOpen;
  std::vector<QueuedRecord> ended;
  for (QueuedRecord& queued : std::exchange(lane.waiting, {})) {
    queued.uncertain =
        queued.uncertain || open || outcome == LaneOutcome::kUncertain;
    ++queued.attempts;
    if (IsHopeless(queued, sent_at, now)) {
      ended.push_back(std::move(queued));
    } else if (open) {
      lane.waiting.push_back(std::move(queued));
    } else {
      m_queue.push_back(std::move(queued));
    }
  }
  if (open && lane.waiting.empty()) {
    lane.appends.Abandon();
  }
  End(ended);
}

void IntakeWriter::OnLogContact(base::MonoTime sent_at) {
  m_last_contact = std::max(m_last_contact, sent_at);
}

// Another append is made after a lost response. But if the log has answered
// nothing else since the append was sent, it is unreachable from here; the
// record then fails at once, because another VM may still reach the log.
bool IntakeWriter::IsHopeless(const QueuedRecord& queued,
                              base::MonoTime sent_at,
                              base::MonoTime now) const {
  const bool log_unreachable = queued.uncertain && m_last_contact < sent_at;
  return queued.deadline <= now || queued.attempts >= kMaxAttempts ||
         failing() || log_unreachable;
}

}  // namespace azurespur::cell
