// The request path of an entry VM: callers' requests in, executors' answers or
// truthful refusals out.
//
//   POST /v1/requests        runs the body on an executor of this domain
//   GET  /v1/requests/KEY    the fate known for an idempotency key

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

// Everything here must outlive the service. `once` carries the stream "once"
// and has `ledger` as its observer.
struct RequestServiceDeps {
  const control::ListsView& lists;
  const control::VmDirectory& vms;
  control::PeerBus& peers;
  control::LogChannel& once;
  OnceLedger& ledger;
  services::ExecutorClient& executors;
  const base::Clock& clock;
  base::Metrics& metrics;
  RequestIdentity identity;
  RequestServiceOptions options;
};

class RequestService {
 public:
  // Subscribes to `deps.peers`; construct the service before the bus starts.
  explicit RequestService(const RequestServiceDeps& deps);
  RequestService(const RequestService&) = delete;
  RequestService& operator=(const RequestService&) = delete;
  ~RequestService();

  // Starts the dispatch thread.
  void Start();

  // Takes a request under /v1/requests. Safe from any thread; never blocks.
  void Handle(http::HttpRequest request,
              std::shared_ptr<http::HttpReply> reply);

  // Refuses new requests from now on; those taken before go on.
  void Drain();

  // Number of requests taken and not yet answered.
  size_t InFlight() const;

  // Answers what still waits with a refusal and joins the dispatch thread.
  // `deps.executors` must still call back.
  void Stop();

  // State of the request path, for operators.
  nlohmann::json Dump() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace azurespur::filters

#endif  // FILTERS_REQUEST_SERVICE_H_
