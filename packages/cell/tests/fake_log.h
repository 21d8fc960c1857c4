// A log in memory. Answers wait until the test lets them go.

#ifndef CELL_TESTS_FAKE_LOG_H_
#define CELL_TESTS_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell/fenced_log.h"

namespace azurespur::cell {

enum class AppendFault {
  kNone,
  kRefuse,      // Nothing is done.
  kLoseAnswer,  // Done, and not answered.
  kLoseCall,    // Not done, and not answered.
};

class FakeLog : public FencedLog {
 public:
  struct Topic {
    std::vector<std::string> records;
    uint64_t epoch = 0;
    std::map<uint64_t, int64_t> offset_of_sequence;  // Of the current epoch.
  };

  void Append(AppendCall call,
              std::function<void(AppendResult)> done) override {
    const AppendFault fault =
        m_faults.empty() ? AppendFault::kNone : m_faults.front();
    if (!m_faults.empty()) {
      m_faults.pop_front();
    }
    ++appends;
    AppendResult result;
    if (fault == AppendFault::kNone || fault == AppendFault::kLoseAnswer) {
      result = Carry(call);
    } else if (fault == AppendFault::kRefuse) {
      result.status = AppendStatus::kRefused;
    }
    if (fault == AppendFault::kLoseAnswer) {
      result = {};
    }
    m_answers.push_back([done = std::move(done), result] { done(result); });
  }

  void Read(ReadCall call, std::function<void(ReadResult)> done) override {
    ++reads;
    const Topic& topic = topics[call.topic];
    ReadResult result;
    result.status = readable ? ReadStatus::kRead : ReadStatus::kFailed;
    result.end = static_cast<int64_t>(topic.records.size());
    for (int64_t i = call.from; readable && i < result.end; ++i) {
      result.records.push_back(topic.records[static_cast<size_t>(i)]);
    }
    m_answers.push_back([done = std::move(done), result] { done(result); });
  }

  // The next append meets `fault`.
  void Fail(AppendFault fault) { m_faults.push_back(fault); }

  // Gives the answers that wait, oldest first.
  void Answer() {
    for (auto& answer : std::exchange(m_answers, {})) {
      answer();
    }
  }

  size_t waiting() const { return m_answers.size(); }

  std::map<std::string, Topic> topics;
  bool readable = true;
  int appends = 0;
  int reads = 0;

 private:
  AppendResult Carry(const AppendCall& call) {
    Topic& topic = topics[call.topic];
    const auto end = static_cast<int64_t>(topic.records.size());
    if (call.expected_end && *call.expected_end != end) {
      return {AppendStatus::kWrongEnd, 0};
    }
    if (call.producer) {
      if (call.producer->epoch < topic.epoch) {
        return {AppendStatus::kFenced, 0};
      }
      if (call.producer->epoch > topic.epoch) {
        topic.epoch = call.producer->epoch;
        topic.offset_of_sequence.clear();
      }
      const auto repeat =
          topic.offset_of_sequence.find(call.producer->sequence);
      if (repeat != topic.offset_of_sequence.end()) {
        return {AppendStatus::kAppended, repeat->second};
      }
      topic.offset_of_sequence[call.producer->sequence] = end;
    }
    topic.records.insert(topic.records.end(), call.records.begin(),
                         call.records.end());
    return {AppendStatus::kAppended, end};
  }

  std::deque<AppendFault> m_faults;
  std::vector<std::function<void()>> m_answers;
};

// A clock that the test moves.
class FakeClock : public base::Clock {
 public:
  base::MonoTime Now() const override { return now; }
  int64_t WallMillis() const override {
    return base::MillisBetween(base::MonoTime{}, now);
  }

  base::MonoTime now{base::Millis{100000}};
};

}  // namespace azurespur::cell

#endif  // CELL_TESTS_FAKE_LOG_H_
