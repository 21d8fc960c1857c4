// HTTP face of the log stand-in: streams, long polls and faults.

#ifndef STANDINS_LOG_SERVICE_H_
#define STANDINS_LOG_SERVICE_H_

#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "base/clock.h"
#include "http/http_message.h"
#include "standins/append_rate.h"
#include "standins/log_store.h"
#include "standins/reply.h"
#include "standins/timer.h"

namespace azurespur::standins {

struct LogOptions {
  double appends_per_second = 300;
  int64_t retention_ms = 0;
  uint64_t seed = 1;
};

// Set by `POST /faults`, which replaces all of them.
struct LogFaults {
  bool outage = false;
  int64_t delay_ms = 0;
  double lose_answer_share = 0;  // The append takes effect, its answer not.
  int64_t late_effect_ms = 0;    // Such appends take effect that much later.
};

class LogService {
 public:
  LogService(const LogOptions& options, Timer& timer);

  void Handle(http::HttpRequest request, std::shared_ptr<Reply> reply);

 private:
  struct PendingRead {
    std::string stream;
    uint64_t from = 0;
    size_t max = 0;
    base::MonoTime due;
    std::shared_ptr<Reply> reply;
  };

  void HandleFaults(const http::HttpRequest& request, Reply& reply);
  void HandleStream(const std::string& stream,
                    http::HttpRequest request,
                    std::shared_ptr<Reply> reply);
  void HandleAppend(const std::string& stream,
                    std::string body,
                    std::shared_ptr<Reply> reply);
  void HandleRead(const std::string& stream,
                  const http::HttpRequest& request,
                  std::shared_ptr<Reply> reply);
  void LoseAnswer(const std::string& stream,
                  std::string body,
                  std::shared_ptr<Reply> reply);
  uint64_t Append(const std::string& stream, std::string body);
  void AnswerPendingReads(const std::string& stream);
  void AnswerDueReads();
  http::HttpResponse ReadNow(const PendingRead& read, bool* empty);
  LogFaults Faults();
  bool Happens(double share);

  Timer& m_timer;
  std::mutex m_mutex;
  LogStore m_store;
  AppendRate m_rate;
  LogFaults m_faults;
  std::mt19937_64 m_random;
  std::list<PendingRead> m_pending;
};

}  // namespace azurespur::standins

#endif  // STANDINS_LOG_SERVICE_H_
