// Callers of the cell: they send to an entry VM and write down what they hear.

#ifndef SCENARIO_CALLERS_H_
#define SCENARIO_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/clock.h"
#include "http/http_client.h"
#include "scenario/caller_journal.h"
#include "scenario/cell.h"

namespace azurespur::scenario {

struct RequestOptions {
  std::string plan;
  std::string key;  // Empty: a new one.
  bool non_idempotent = false;
  std::optional<int64_t> service_ms;
  std::optional<int64_t> deadline_ms;
  base::Millis timeout{30'000};
};

// Answers as JSON objects: {"status":N,...}; status 0 without an answer.
class Callers {
 public:
  using Done = std::function<void(nlohmann::json)>;

  // `cell` and `journal` must outlive the callers.
  Callers(Cell& cell, CallerJournal& journal, uint64_t seed);

  // Sends a request: {"status","fate","key","executor","ms"}.
  void Request(const std::string& entry,
               const RequestOptions& options,
               Done done);

  // Submits a task, the body of `POST /v1/tasks`; a key is added if it has
  // none: {"status","id","fate","ms"}.
  void Submit(const std::string& entry, nlohmann::json task, Done done);

  // Asks for the fate of a task: the body of the answer and its "status".
  nlohmann::json Fate(const std::string& entry, const std::string& task);

  // Publishes rows of a list over the version that `entry` has now, or over
  // `base_version`: the body of the answer and its "status".
  nlohmann::json Publish(const std::string& entry,
                         const std::string& list,
                         const nlohmann::json& rows,
                         std::optional<uint64_t> base_version);

  // Any call: {"status","body"}, the body parsed where it is JSON.
  nlohmann::json Call(const std::string& entry,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body);

 private:
  void Send(const std::string& entry,
            http::HttpCall call,
            http::HttpClient::Callback done);
  std::string NewKey();

  Cell& m_cell;
  CallerJournal& m_journal;
  const uint64_t m_seed;
  std::atomic<uint64_t> m_next_key{1};
  std::atomic<uint64_t> m_next_sending{1};
};

}  // namespace azurespur::scenario

#endif  // SCENARIO_CALLERS_H_
