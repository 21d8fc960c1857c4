#include "append_lane.h"

#include <utility>

namespace azurespur::cell {

namespace {

// Lives are numbered by the milliseconds of their start, so this is a minute.
// It is doubled each time, because the wall clock may have been set back far.
constexpr uint64_t kFirstRaise = 60'000;

}  // namespace

AppendLane::AppendLane(std::string name, uint64_t life)
    : m_name(std::move(name)), m_epoch(life), m_raise(kFirstRaise) {}

void AppendLane::Begin(std::vector<std::string> records) {
  m_records = std::move(records);
  m_begun = true;
  m_uncertain = false;
}

AppendRequest AppendLane::MakeRequest() const {
  AppendRequest request;
  request.records = m_records;
  request.producer = Producer{m_name, m_epoch, m_sequence};
  return request;
}

LaneOutcome AppendLane::OnAnswer(AppendStatus status) {
  switch (status) {
    case AppendStatus::kAppended:
      m_established = true;
      // Whether an append without records uses up its number is up to the log;
      // a higher epoch may start at any number.
      if (m_records.empty()) {
        RaiseEpoch(1);
      } else {
        ++m_sequence;
      }
      return End(LaneOutcome::kAppended);
    case AppendStatus::kFenced:
      return OnFenced();
    case AppendStatus::kWrongSequence:
      // The log no longer knows the earlier try, or never had the one before.
      RaiseEpoch(1);
      return End(m_uncertain ? LaneOutcome::kUncertain
                             : LaneOutcome::kNotAppended);
    case AppendStatus::kRefused:
    case AppendStatus::kWrongEnd:
      return m_uncertain ? LaneOutcome::kOpen : End(LaneOutcome::kNotAppended);
    case AppendStatus::kUnknown:
      break;
  }
  m_uncertain = true;
  return LaneOutcome::kOpen;
}

void AppendLane::Abandon() {
  RaiseEpoch(1);
  m_begun = false;
}

LaneOutcome AppendLane::End(LaneOutcome outcome) {
  m_begun = false;
  return outcome;
}

void AppendLane::RaiseEpoch(uint64_t by) {
  m_epoch += by;
  m_sequence = 0;
}

// Before this life's first success the wall clock explains the higher epoch;
// after it only a later life does, which must not be fenced in turn.
LaneOutcome AppendLane::OnFenced() {
  if (m_established) {
    m_superseded = true;
  } else {
    RaiseEpoch(m_raise);
    m_raise *= 2;
  }
  return End(m_uncertain ? LaneOutcome::kUncertain : LaneOutcome::kNotAppended);
}

}  // namespace azurespur::cell
