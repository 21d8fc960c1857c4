// Asynchronous HTTP client over one libcurl multi handle and one thread.

#ifndef HTTP_HTTP_CLIENT_H_
#define HTTP_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/link_queue.h"
#include "base/outcome.h"
#include "http/http_message.h"

namespace azurespur::http {

struct HttpCall {
  std::string method = "GET";
  std::string url;  // http://IP:PORT/path?query
  std::vector<HttpField> headers;
  std::string body;
  std::chrono::milliseconds timeout{1000};  // Of the whole call.
  // The call also ends once no byte of the response has arrived for this long.
  // Zero: no such limit.
  std::chrono::milliseconds stall_timeout{0};
  // Added to `stall_timeout` until the first byte: how long the server may wait
  // before it answers a long poll.
  std::chrono::milliseconds answer_wait{0};
  // Added to `stall_timeout` at most while other responses fill the link, so
  // that an answer may be on its way behind them.
  std::chrono::milliseconds max_link_wait{0};
  std::chrono::milliseconds connect_timeout{500};
  // The call is not sent once this time is reached; it then ends with
  // kUnavailable. Zero: no limit.
  base::MonoTime send_by{};
  // The request may reach the server twice. libcurl sends a request again when
  // a connection that it used before closes without an answer; the answer to
  // the second says nothing about the first. Any other call ends with kUnknown
  // then, so set this only where a second request changes nothing and its
  // answer holds for both.
  bool repeatable = false;
  // The call gets a connection that no call has used before, so that it can't
  // meet one that the server has closed.
  bool new_connection = false;
};

// Errors of a call. `kUnavailable`: nothing was sent, the server has not seen
// the request. `kUnknown`: the request may have been seen; no whole answer.
using HttpResult = base::Outcome<HttpResponse>;

struct HttpClientOptions {
  long max_connections_per_host = 64;
  // Connections to all hosts together that are kept, in use or not. The oldest
  // unused one is closed for a new one.
  long max_kept_connections = 1024;
  size_t max_response_bytes = 16 << 20;
  size_t queue_size = 4096;
  double link_mbps = 0;  // 0 if unknown: the link never counts as full.
  // All that this VM sends; null: not counted. What a request waits there is
  // added to the times of its call. Must outlive the client.
  base::LinkQueue* uplink = nullptr;
};

class HttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;

  virtual ~HttpClient() = default;

  // Queues the call; `done` runs on the client's thread and must not block.
  // Returns false, without calling `done`, if the queue is full or the client
  // is stopped. A call that is sent while the client stops may end within
  // Send().
  virtual bool Send(HttpCall call, Callback done) = 0;

  // Ends all calls with an error; afterwards Send() refuses. For owners whose
  // callers still run: they may use a stopped client, but no destroyed one.
  // Call from one thread, and not from the client's own.
  virtual void Stop() {}

  // Makes the call and waits for its result. Not for the client's own thread.
  HttpResult Fetch(HttpCall call);
};

std::unique_ptr<HttpClient> StartHttpClient(
    const HttpClientOptions& options = {});

}  // namespace azurespur::http

#endif  // HTTP_HTTP_CLIENT_H_
