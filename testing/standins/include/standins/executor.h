// One executor VM: slots, its own queue, service times, faults, a journal.

#ifndef STANDINS_EXECUTOR_H_
#define STANDINS_EXECUTOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/http_message.h"
#include "standins/journal.h"
#include "standins/reply.h"
#include "standins/service_times.h"
#include "standins/timer.h"

namespace azurespur::standins {

// Set by `POST /executors/ID/faults`, which replaces all of them.
struct ExecutorFaults {
  bool leaving = false;
  double fail_share = 0;        // Answered 500 after the work.
  double cut_answer_share = 0;  // The connection closes within the body.
  int64_t delay_ms = 0;         // From the end of the work to the answer.
  bool down = false;
  bool cross_answers = false;  // Answers of two requests change places.
};

class Executor {
 public:
  Executor(std::string id,
           unsigned slots,
           const ServiceTimeOptions& times,
           uint64_t seed,
           Timer& timer,
           Journal& journal);

  // Serves `POST /run`. Requests beyond the slots wait in a queue here and are
  // journalled as "excess".
  void Handle(http::HttpRequest request, std::shared_ptr<Reply> reply);

  // Reads the body of a faults request over the defaults. Returns the message
  // of the first error, if any.
  std::optional<std::string> SetFaults(const std::string& body);

  ExecutorFaults Faults();

 private:
  struct Job {
    uint64_t number = 0;
    std::string request_id;
    std::string key;
    std::string answer;
    base::Micros service{0};
    std::shared_ptr<Reply> reply;
  };

  struct Answer {
    std::string request_id;
    std::string body;
    std::shared_ptr<Reply> reply;
  };

  Job MakeJob(const http::HttpRequest& request, std::shared_ptr<Reply> reply);
  void Begin(Job job);
  void End(uint64_t number);
  void SendAnswer(Job job);
  void Cross(Answer answer);
  void Dispatch(Answer answer, bool cut);
  void FlushHeldAnswer();
  void LoseAll();
  void Record(std::string_view event,
              const Job& job,
              std::string_view answer = "");

  const std::string m_id;
  const unsigned m_slots;
  Timer& m_timer;
  Journal& m_journal;
  std::mutex m_mutex;
  ServiceTimes m_times;
  ExecutorFaults m_faults;
  uint64_t m_next_number = 1;
  std::map<uint64_t, Job> m_running;
  std::deque<Job> m_queue;
  std::optional<Answer> m_held;  // Waits for one to change places with.
};

}  // namespace azurespur::standins

#endif  // STANDINS_EXECUTOR_H_
