// An in-memory FencedLog that holds its responses until the test delivers them.

#ifndef CELL_TESTS_FAKE_LOG_H_
#define CELL_TESTS_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/fenced_log.h"

namespace azurespur::cell {

enum class AppendFault {
  kNone,
  kRefuse,        // Rejected without an effect.
  kLoseResponse,  // Takes effect, but the response is lost.
  kLoseRequest,   // Has no effect, and there is no response.
  kLate,          // No response; takes effect in CarryOutLate().
};

class FakeLog : public FencedLog {
 public:
  // What a topic knows of the appends of one name.
  struct ProducerState {
    uint64_t epoch = 0;
    uint64_t next_sequence = 0;
    std::deque<std::pair<uint64_t, int64_t>> recent;  // Sequence and offset.
  };

  struct Topic {
    std::vector<std::string> records;
    int64_t first = 0;  // Records before it were removed.
    std::map<std::string, ProducerState> producers;
  };

  void Append(AppendRequest request,
              std::function<void(AppendResult)> done) override {
    const AppendFault fault =
        m_faults.empty() ? AppendFault::kNone : m_faults.front();
    if (!m_faults.empty()) {
      m_faults.pop_front();
    }
    ++appends;
    size_t bytes = 0;
    for (const std::string& record : request.records) {
      bytes += record.size();
    }
    largest_append = std::max(largest_append, bytes);
    AppendResult result;
    if (fault == AppendFault::kNone || fault == AppendFault::kLoseResponse) {
      result = ApplyAppend(request);
    } else if (fault == AppendFault::kRefuse) {
      result.status = AppendStatus::kRefused;
    }
    if (fault == AppendFault::kLoseResponse) {
      result = {};
    }
    if (fault == AppendFault::kLate) {
      m_late.push_back(request);
    }
    m_responses.push_back([done = std::move(done), result] { done(result); });
  }

  void Read(ReadRequest request,
            std::function<void(ReadResult)> done) override {
    ++reads;
    last_from = request.from;
    const Topic& topic = topics[request.topic];
    ReadResult result;
    result.status = readable ? ReadStatus::kRead : ReadStatus::kFailed;
    result.first = topic.first;
    if (readable && request.from < topic.first) {
      result.status = ReadStatus::kTrimmed;
      m_responses.push_back([done = std::move(done), result] { done(result); });
      return;
    }
    result.end = static_cast<int64_t>(topic.records.size());
    for (int64_t i = request.from; readable && i < result.end; ++i) {
      result.records.push_back(topic.records[static_cast<size_t>(i)]);
    }
    m_responses.push_back([done = std::move(done), result] { done(result); });
  }

  // Queues `fault` for the next append without a queued fault.
  void InjectFault(AppendFault fault) { m_faults.push_back(fault); }

  // Carries out the late appends, newest first if `reversed`. Returns how many
  // of them were appended.
  int CarryOutLate(bool reversed = false) {
    std::vector<AppendRequest> late = std::exchange(m_late, {});
    if (reversed) {
      std::reverse(late.begin(), late.end());
    }
    return static_cast<int>(
        std::count_if(late.begin(), late.end(), [this](const auto& request) {
          return ApplyAppend(request).status == AppendStatus::kAppended;
        }));
  }

  void ClearFaults() { m_faults.clear(); }

  // Delivers the held responses, oldest first.
  void DeliverResponses() {
    for (auto& response : std::exchange(m_responses, {})) {
      response();
    }
  }

  size_t waiting() const { return m_responses.size(); }

  std::map<std::string, Topic> topics;
  bool readable = true;
  int appends = 0;
  size_t largest_append = 0;  // In bytes.
  int reads = 0;
  int64_t last_from = 0;  // Of the last read.

 private:
  static constexpr size_t kRecentAppends = 5;

  // Returns the answer to an append whose number forbids it or was seen before.
  static std::optional<AppendResult> Number(Topic& topic,
                                            const Producer& producer) {
    const auto [found, is_new] = topic.producers.try_emplace(producer.name);
    ProducerState& state = found->second;
    if (producer.epoch < state.epoch) {
      return AppendResult{AppendStatus::kFenced, 0};
    }
    if (is_new || producer.epoch > state.epoch) {
      state = {producer.epoch, producer.sequence, {}};
    }
    for (const auto& [sequence, offset] : state.recent) {
      if (sequence == producer.sequence) {
        return AppendResult{AppendStatus::kAppended, offset};
      }
    }
    if (producer.sequence != state.next_sequence) {
      return AppendResult{AppendStatus::kWrongSequence, 0};
    }
    ++state.next_sequence;
    state.recent.emplace_back(producer.sequence,
                              static_cast<int64_t>(topic.records.size()));
    if (state.recent.size() > kRecentAppends) {
      state.recent.pop_front();
    }
    return std::nullopt;
  }

  AppendResult ApplyAppend(const AppendRequest& request) {
    Topic& topic = topics[request.topic];
    const auto end = static_cast<int64_t>(topic.records.size());
    if (request.expected_end && *request.expected_end != end) {
      return {AppendStatus::kWrongEnd, 0};
    }
    if (request.producer) {
      if (const auto known = Number(topic, *request.producer)) {
        return *known;
      }
    }
    topic.records.insert(topic.records.end(), request.records.begin(),
                         request.records.end());
    return {AppendStatus::kAppended, end};
  }

  std::deque<AppendFault> m_faults;
  std::vector<AppendRequest> m_late;
  std::vector<std::function<void()>> m_responses;
};

// A clock that the test sets.
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
