// HTTP server over libmicrohttpd. Answers may be given from any thread.

#ifndef HTTP_HTTP_SERVER_H_
#define HTTP_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/outcome.h"
#include "http/http_message.h"

namespace azurespur::http {

struct HttpServerOptions {
  std::string address = "127.0.0.1";  // IPv4 literal.
  uint16_t port = 0;                  // 0 picks a free port.
  unsigned threads = 2;
  size_t max_body_bytes = 1 << 20;
  size_t max_total_body_bytes = 64 << 20;  // Of all requests at a time.
  // A request that isn't read for want of room is answered as not run (503).
  // False where an earlier copy of it may have run: its fate is unknown (504).
  bool unread_is_not_run = true;
  unsigned max_connections = 4096;
  std::chrono::seconds idle_timeout{30};
};

// One pending answer. Destroying it unsent answers 500.
class HttpReply {
 public:
  virtual ~HttpReply() = default;

  // Sends the response. Only the first call has an effect.
  virtual void Send(HttpResponse response) = 0;

  // True once the caller closed its connection.
  virtual bool CallerGone() const = 0;
};

class HttpServer {
 public:
  // Called on a server thread; must not block.
  using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

  virtual ~HttpServer() = default;

  virtual uint16_t port() const = 0;

  // Number of requests received and not yet answered completely.
  virtual size_t InFlight() const = 0;

  // When draining, every answer carries "Connection: close".
  virtual void SetDraining(bool draining) = 0;

  // Answers 504 to requests that wait for their answer, stops listening and
  // closes all connections.
  virtual void Stop() = 0;
};

// Errors: kUnavailable if the address can't be bound.
base::Outcome<std::unique_ptr<HttpServer>> StartHttpServer(
    const HttpServerOptions& options,
    HttpServer::Handler handler);

}  // namespace azurespur::http

#endif  // HTTP_HTTP_SERVER_H_
