// HTTP face of one worker: the platform's verbs under injected faults.

#ifndef STANDINS_WORKER_SERVICE_H_
#define STANDINS_WORKER_SERVICE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "http/http_message.h"
#include "standins/reply.h"
#include "standins/timer.h"
#include "standins/worker.h"

namespace azurespur::standins {

// Set by `POST /workers/ID/faults`, which replaces all of them.
struct WorkerFaults {
  bool fail_starts = false;
  double lose_answer_share = 0;  // The verb takes effect, its answer not.
  int64_t delay_ms = 0;          // Verbs take effect that much later.
  int64_t report_lag_ms = 0;
  bool down = false;  // The VM is dead; its tasks end.
};

class WorkerService {
 public:
  WorkerService(std::unique_ptr<Worker> worker,
                int64_t report_lag_ms,
                uint64_t seed,
                Timer& timer);

  // Verbs of docs/PLATFORM.md.
  void Handle(http::HttpRequest request, std::shared_ptr<Reply> reply);

  // Reads the body of a faults request over the defaults. Returns the message
  // of the first error, if any.
  std::optional<std::string> SetFaults(const std::string& body);

  WorkerFaults Faults();
  void Restart();
  void Advance();

 private:
  http::HttpResponse Perform(const http::HttpRequest& request);
  http::HttpResponse PerformStart(const std::string& body);
  http::HttpResponse PerformRenew(const std::string& body);
  http::HttpResponse PerformOnTask(const std::string& id,
                                   const std::string& verb);
  bool Happens(double share);

  Timer& m_timer;
  const int64_t m_default_report_lag_ms;
  std::mutex m_mutex;
  std::unique_ptr<Worker> m_worker;
  WorkerFaults m_faults;
  std::mt19937_64 m_random;
};

}  // namespace azurespur::standins

#endif  // STANDINS_WORKER_SERVICE_H_
