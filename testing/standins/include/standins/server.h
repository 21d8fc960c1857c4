// HTTP server of the stand-ins. Unlike the product's server it serves many
// ports from few threads and can misbehave: drop a connection, cut an answer.

#ifndef STANDINS_SERVER_H_
#define STANDINS_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "base/outcome.h"
#include "http/http_message.h"
#include "standins/reply.h"

namespace azurespur::standins {

class Server {
 public:
  // Called on a server thread; must not block. Paths are URL-escaped.
  using Handler =
      std::function<void(http::HttpRequest, std::shared_ptr<Reply>)>;

  virtual ~Server() = default;

  // Serves `handler` on 127.0.0.1:`port` (0 picks one) and returns the port.
  // Connections beyond `max_connections` are closed at once.
  // Errors: kUnavailable if the port can't be bound.
  virtual base::Outcome<uint16_t> Listen(uint16_t port,
                                         unsigned max_connections,
                                         Handler handler) = 0;

  // Closes the port and fails its open requests, or opens it again. Errors:
  // kNotFound if `port` was never served, kUnavailable if it can't be bound.
  virtual base::Outcome<base::Unit> SetListening(uint16_t port,
                                                 bool listening) = 0;
};

// Errors: kUnavailable if the threads can't be started.
base::Outcome<std::unique_ptr<Server>> StartServer(unsigned threads);

}  // namespace azurespur::standins

#endif  // STANDINS_SERVER_H_
