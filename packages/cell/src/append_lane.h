// Numbers the appends of one producer, one at a time, so that the fate of each
// becomes certain. Does no I/O and reads no clock.

#ifndef CELL_SRC_APPEND_LANE_H_
#define CELL_SRC_APPEND_LANE_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "cell/fenced_log.h"

namespace azurespur::cell {

// What is known of the records of a lane's append.
enum class LaneOutcome : uint8_t {
  kAppended,
  kNotAppended,  // And they never will be; the lane is idle.
  kUncertain,    // An earlier try may have been appended; the lane is idle.
  kOpen,  // May be appended, now or later. Repeat the append or abandon it.
};

class AppendLane {
 public:
  // `life` must be higher than that of any former writer of that name.
  AppendLane(std::string name, uint64_t life);

  // Takes the records of the next append; without records it only makes the log
  // reject what the producer's former lives sent. Only while idle.
  void Begin(std::vector<std::string> records);

  // Returns the request of a try of the append; all tries of one are equal.
  AppendRequest MakeRequest() const;

  // The log answered the last try.
  LaneOutcome OnAnswer(AppendStatus status);

  // Gives the open append up. Its number is not used for other records: the
  // next append has a higher epoch, and once that succeeds the log rejects the
  // abandoned one if it didn't append it before.
  void Abandon();

  bool idle() const { return !m_begun; }
  // Of the append that is begun, or was last.
  std::span<const std::string> records() const { return m_records; }
  // The log has answered an append of this life, so that none of a former one
  // can follow.
  bool established() const { return m_established; }
  // A later life of the producer has appended; this one can't any more.
  bool superseded() const { return m_superseded; }

 private:
  LaneOutcome End(LaneOutcome outcome);
  void RaiseEpoch(uint64_t by);
  LaneOutcome OnFenced();

  const std::string m_name;
  uint64_t m_epoch;
  uint64_t m_sequence = 0;
  std::vector<std::string> m_records;
  bool m_begun = false;
  bool m_uncertain = false;  // A try of the append had no answer.
  bool m_established = false;
  bool m_superseded = false;
  uint64_t m_raise;  // By how much an epoch that is too low is raised.
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_APPEND_LANE_H_
