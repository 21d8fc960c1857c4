// A FakeLog that may leave appends to the intake stream without an answer and
// carry them out whenever the test says so.

#ifndef CELL_TESTS_LATE_LOG_H_
#define CELL_TESTS_LATE_LOG_H_

#include <functional>
#include <utility>
#include <vector>

#include "cell/topics.h"
#include "fake_log.h"

namespace azurespur::cell {

class LateLog : public FencedLog {
 public:
  void Append(AppendRequest request,
              std::function<void(AppendResult)> done) override {
    if (request.topic == kIntakeTopic && refuse_intake) {
      log.InjectFault(AppendFault::kRefuse);
    } else if (request.topic == kIntakeTopic && hold_intake) {
      log.InjectFault(AppendFault::kLoseRequest);
      m_held.push_back(request);
    }
    log.Append(std::move(request), std::move(done));
  }

  void Read(ReadRequest request,
            std::function<void(ReadResult)> done) override {
    log.Read(std::move(request), std::move(done));
  }

  // Carries out the appends that were left without an answer.
  void CarryOut() {
    for (AppendRequest& request : std::exchange(m_held, {})) {
      log.Append(std::move(request), [](const AppendResult& /*result*/) {});
    }
  }

  size_t held() const { return m_held.size(); }

  FakeLog log;
  bool hold_intake = false;
  bool refuse_intake = false;

 private:
  std::vector<AppendRequest> m_held;
};

}  // namespace azurespur::cell

#endif  // CELL_TESTS_LATE_LOG_H_
