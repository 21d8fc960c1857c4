// The verbs of a worker. Answers come on the HTTP client's thread.

#ifndef SERVICES_WORKER_CLIENT_H_
#define SERVICES_WORKER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"

namespace azurespur::http {
class HttpClient;
}

namespace azurespur::services {

struct WorkerStart {
  std::string id;
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  base::Millis lease{0};
  bool throttled = true;
  std::string payload;
};

enum class WorkerTaskState {
  kThrottled,
  kRunning,
  kFinished,
  kFailed,
  kStopped,
  kLapsed
};

struct WorkerTask {
  std::string id;
  WorkerTaskState state = WorkerTaskState::kThrottled;
  bool released = false;
  int64_t cpu_millis = 0;  // In use.
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  int64_t lease_left_ms = 0;
  int exit = 0;
  std::string result;
};

struct WorkerReport {
  std::string boot;     // Changes when the worker restarts.
  int64_t made_ms = 0;  // The worker's clock.
  std::vector<WorkerTask> tasks;
};

struct WorkerStop {
  bool known = false;     // The task was running until this stop.
  bool released = false;  // The task was released at some time.
};

// Errors of all calls: kUnavailable (nothing was sent), kUnknown (may have had
// an effect), kNotFound, kConflict (start of a known id), kInvalid (refused).
// Every method returns false, without calling `done`, if the client's queue is
// full.
class WorkerClient {
 public:
  template <typename T>
  using Done = std::function<void(base::Outcome<T>)>;

  virtual ~WorkerClient() = default;

  virtual bool Start(std::string_view address,
                     WorkerStart start,
                     Done<base::Unit> done) = 0;
  // Answers the ids that do not run there.
  virtual bool Renew(std::string_view address,
                     base::Millis lease,
                     std::vector<std::string> ids,
                     Done<std::vector<std::string>> done) = 0;
  virtual bool Release(std::string_view address,
                       std::string_view id,
                       Done<base::Unit> done) = 0;
  virtual bool Throttle(std::string_view address,
                        std::string_view id,
                        Done<base::Unit> done) = 0;
  // Answers the name of the checkpoint.
  virtual bool Checkpoint(std::string_view address,
                          std::string_view id,
                          Done<std::string> done) = 0;
  virtual bool Stop(std::string_view address,
                    std::string_view id,
                    Done<WorkerStop> done) = 0;
  virtual bool Report(std::string_view address, Done<WorkerReport> done) = 0;
};

std::unique_ptr<WorkerClient> MakeHttpWorkerClient(http::HttpClient& client,
                                                   base::Millis timeout);

}  // namespace azurespur::services

#endif  // SERVICES_WORKER_CLIENT_H_
