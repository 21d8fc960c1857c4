// One run of `azurespur load`: sends operations when they are due, whether or
// not earlier ones were answered.

#ifndef CLI_LOAD_RUN_H_
#define CLI_LOAD_RUN_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "history_writer.h"
#include "http/http_client.h"
#include "latency_histogram.h"
#include "load_operation.h"
#include "load_options.h"

namespace azurespur::cli {

struct LoadResult {
  size_t sent = 0;
  size_t skipped = 0;  // Not sent: too many in flight.
  size_t wrong_answers = 0;
  std::map<std::string, size_t> fates;
  LatencyHistogram latency;
};

class LoadRun {
 public:
  LoadRun(const LoadOptions& options,
          std::vector<std::string> servers,
          HistoryWriter& history);
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  // Sends for the run's duration and waits for the answers.
  void Run();

  const LoadResult& requests() const { return m_requests; }
  const LoadResult& tasks() const { return m_tasks; }
  const std::vector<std::string>& accepted_tasks() const {
    return m_accepted_tasks;
  }

 private:
  LoadOperation MakeOperation(OperationKind kind);
  void Start(OperationKind kind);
  void Send(std::shared_ptr<LoadOperation> operation,
            size_t server,
            size_t tries_left);
  void Complete(LoadOperation& operation, const http::HttpResult& result);
  LoadResult& ResultFor(OperationKind kind) {
    return kind == OperationKind::kRequest ? m_requests : m_tasks;
  }

  const LoadOptions m_options;
  const std::vector<std::string> m_servers;
  HistoryWriter& m_history;
  const std::string m_run_id;
  std::mt19937_64 m_random;
  uint64_t m_sequence = 0;

  std::mutex m_mutex;
  std::condition_variable m_answered;
  size_t m_in_flight = 0;
  LoadResult m_requests;
  LoadResult m_tasks;
  std::vector<std::string> m_accepted_tasks;

  // Last: its callbacks use the members above.
  std::unique_ptr<http::HttpClient> m_http;
};

}  // namespace azurespur::cli

#endif  // CLI_LOAD_RUN_H_
