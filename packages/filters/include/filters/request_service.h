// HTTP API for requests on an entry VM. Each request is answered with an
// executor's answer or with an error that states whether the request may have
// run.
//
//   POST /v1/requests        runs the body on an executor in this domain
//   GET  /v1/requests/KEY    returns the known fate of an idempotency key

#ifndef FILTERS_REQUEST_SERVICE_H_
#define FILTERS_REQUEST_SERVICE_H_

#include <cstddef>
#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "filters/request_service_options.h"
#include "http/http_message.h"
#include "http/http_server.h"

namespace azurespur::base {
class Clock;
class Metrics;
}  // namespace azurespur::base
namespace azurespur::control {
class ListsView;
class LogChannel;
class PeerBus;
class VmDirectory;
}  // namespace azurespur::control
namespace azurespur::services {
class ExecutorClient;
}

namespace azurespur::filters {

class OnceLedger;

// All referenced objects must outlive the service. `once_log` is the channel of
// the log stream "once"; `ledger` must be registered as its observer.
struct RequestServiceDeps {
  const control::ListsView& lists;
  const control::VmDirectory& vms;
  control::PeerBus& peers;
  control::LogChannel& once_log;
  OnceLedger& ledger;
  services::ExecutorClient& executors;
  const base::Clock& clock;
  base::Metrics& metrics;
  RequestIdentity identity;
  RequestServiceOptions options;
};

class RequestService {
 public:
  // Subscribes to `deps.peers`, so the bus must not be running yet.
  explicit RequestService(const RequestServiceDeps& deps);
  RequestService(const RequestService&) = delete;
  RequestService& operator=(const RequestService&) = delete;
  ~RequestService();

  // Starts the dispatch thread.
  void Start();

  // Handles a request under /v1/requests. Thread-safe and non-blocking.
  void Handle(http::HttpRequest request,
              std::shared_ptr<http::HttpReply> reply);

  // Rejects new requests from now on. Accepted requests continue.
  void Drain();

  // Returns the number of accepted requests that have no answer yet.
  size_t InFlight() const;

  // Rejects all requests that have no answer yet and joins the dispatch thread.
  // `deps.executors` must still invoke its callbacks.
  void Stop();

  // Returns the state of the request path as diagnostics for operators.
  nlohmann::json Dump() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace azurespur::filters

#endif  // FILTERS_REQUEST_SERVICE_H_
