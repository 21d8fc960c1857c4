#include "http/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <thread>
#include <utility>

namespace azurespur::http {

namespace {

class Server;

// How long the answers of a stopping server may take to be written.
constexpr std::chrono::milliseconds kMaxFlushTime{500};
constexpr std::chrono::milliseconds kFlushCheckInterval{5};

// The answer to a request whose handler has not answered yet.
HttpResponse StoppingResponse() {
  HttpResponse response;
  response.status = MHD_HTTP_GATEWAY_TIMEOUT;
  response.headers.push_back({"Connection", "close"});
  response.body = R"({"error":"stopping; the outcome is not known"})";
  return response;
}

// Set for all requests of a server once it stops.
using StopFlag = std::atomic<bool>;

// State of one request, shared by the server thread and the answering thread.
class Exchange : public HttpReply {
 public:
  Exchange(std::atomic<size_t>& in_flight,
           const StopFlag& stopping,
           MHD_Connection* connection)
      : m_in_flight(in_flight), m_stopping(stopping), m_connection(connection) {
    m_in_flight.fetch_add(1);
  }

  void Send(HttpResponse response) override {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_response || m_gone) {
      return;
    }
    m_response = std::move(response);
    if (m_suspended) {
      m_suspended = false;
      MHD_resume_connection(m_connection);
    }
  }

  bool CallerGone() const override {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_gone;
  }

  // Returns the response, or suspends the connection until there is one.
  std::optional<HttpResponse> TakeOrSuspend() {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_response) {
      return std::exchange(m_response, std::nullopt);
    }
    // Once the flag is set, nothing would resume the connection.
    if (m_stopping.load()) {
      m_gone = true;
      return StoppingResponse();
    }
    m_suspended = true;
    MHD_suspend_connection(m_connection);
    return std::nullopt;
  }

  // Answers a request whose connection is suspended.
  void AnswerIfSuspended() {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_suspended) {
      m_response = StoppingResponse();
      m_suspended = false;
      MHD_resume_connection(m_connection);
    }
  }

  // The connection ended or the answer was sent.
  void Complete() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_gone = true;
    m_suspended = false;
    m_in_flight.fetch_sub(1);
  }

 private:
  std::atomic<size_t>& m_in_flight;
  const StopFlag& m_stopping;
  mutable std::mutex m_mutex;
  MHD_Connection* m_connection;
  std::optional<HttpResponse> m_response;
  bool m_suspended = false;
  bool m_gone = false;
};

// Answers 500 when the handler drops its last reference without an answer.
class ReplyHandle : public HttpReply {
 public:
  explicit ReplyHandle(std::shared_ptr<Exchange> exchange)
      : m_exchange(std::move(exchange)) {}
  ReplyHandle(const ReplyHandle&) = delete;
  ReplyHandle& operator=(const ReplyHandle&) = delete;
  ~ReplyHandle() override {
    HttpResponse response;
    response.status = MHD_HTTP_INTERNAL_SERVER_ERROR;
    response.body = R"({"error":"request dropped"})";
    m_exchange->Send(std::move(response));
  }

  void Send(HttpResponse response) override {
    m_exchange->Send(std::move(response));
  }
  bool CallerGone() const override { return m_exchange->CallerGone(); }

 private:
  std::shared_ptr<Exchange> m_exchange;
};

// What keeps a request from being read to its end.
enum class Excess { kNone, kBody, kAllBodies };

// Per-request data that libmicrohttpd carries between callbacks.
struct RequestState {
  HttpRequest request;
  std::shared_ptr<Exchange> exchange;
  size_t body_bytes = 0;  // Counted in the server's total.
  Excess excess = Excess::kNone;
  bool handed_over = false;
};

// Leaves URLs as they came; HttpRequest carries escaped paths.
size_t KeepEscapes(void* /*closure*/,
                   MHD_Connection* /*connection*/,
                   char* text) {
  return std::strlen(text);
}

MHD_Result AppendField(void* closure,
                       MHD_ValueKind /*kind*/,
                       const char* name,
                       const char* value) {
  auto* fields = static_cast<std::vector<HttpField>*>(closure);
  fields->push_back({name, value != nullptr ? value : ""});
  return MHD_YES;
}

class Server : public HttpServer {
 public:
  Server(const HttpServerOptions& options, Handler handler)
      : m_options(options), m_handler(std::move(handler)) {}
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() override { StopDaemon(); }

  base::Outcome<base::Unit> Start();

  uint16_t port() const override { return m_port; }
  size_t InFlight() const override { return m_in_flight.load(); }
  void SetDraining(bool draining) override { m_draining.store(draining); }
  void Stop() override { StopDaemon(); }

 private:
  static MHD_Result OnAccess(void* closure,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* data,
                             size_t* data_size,
                             void** state);
  static void OnCompleted(void* closure,
                          MHD_Connection* connection,
                          void** state,
                          MHD_RequestTerminationCode code);

  void StopDaemon();
  // No connection may be suspended when the daemon is stopped.
  void AnswerSuspended();
  void TakeBody(RequestState& state, std::string_view data);
  void ReleaseBody(RequestState& state);
  void AddExchange(const std::shared_ptr<Exchange>& exchange);
  void RemoveExchange(const std::shared_ptr<Exchange>& exchange);
  MHD_Result Continue(MHD_Connection* connection, RequestState& state);
  MHD_Result Queue(MHD_Connection* connection, HttpResponse response);

  const HttpServerOptions m_options;
  const Handler m_handler;
  std::atomic<size_t> m_in_flight{0};
  std::atomic<size_t> m_body_bytes{0};  // Received and not yet answered.
  std::atomic<bool> m_draining{false};
  StopFlag m_stopping{false};
  std::mutex m_exchanges_mutex;
  std::set<std::shared_ptr<Exchange>> m_exchanges;  // Not completed yet.
  std::mutex m_stop_mutex;
  MHD_Daemon* m_daemon = nullptr;
  uint16_t m_port = 0;
};

base::Outcome<base::Unit> Server::Start() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(m_options.port);
  if (inet_pton(AF_INET, m_options.address.c_str(), &address.sin_addr) != 1) {
    return base::Error{base::ErrorCode::kInvalid,
                       "\"" + m_options.address + "\" is no IPv4 address"};
  }
  const unsigned flags =
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  // Without MHD_OPTION_LISTENING_ADDRESS_REUSE the socket gets SO_REUSEADDR.
  // Set to 1 it would also get SO_REUSEPORT, and two servers could share a
  // port; set to 0 closed connections of a former process would keep the
  // address.
  m_daemon = MHD_start_daemon(
      flags, 0, nullptr, nullptr, &Server::OnAccess, this, MHD_OPTION_SOCK_ADDR,
      &address, MHD_OPTION_THREAD_POOL_SIZE, m_options.threads,
      MHD_OPTION_CONNECTION_LIMIT, m_options.max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(m_options.idle_timeout.count()),
      MHD_OPTION_NOTIFY_COMPLETED, &Server::OnCompleted, this,
      MHD_OPTION_UNESCAPE_CALLBACK, &KeepEscapes, nullptr, MHD_OPTION_END);
  if (m_daemon == nullptr) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "address " + m_options.address + ":" +
                           std::to_string(m_options.port) +
                           " can't be bound; is it in use?"};
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
  m_port = info != nullptr && info->port != 0 ? info->port : m_options.port;
  return base::Unit{};
}

void Server::StopDaemon() {
  std::lock_guard<std::mutex> lock(m_stop_mutex);
  if (m_daemon != nullptr) {
    AnswerSuspended();
    MHD_stop_daemon(std::exchange(m_daemon, nullptr));
  }
}

void Server::AnswerSuspended() {
  m_stopping.store(true);
  m_draining.store(true);
  {
    std::lock_guard<std::mutex> lock(m_exchanges_mutex);
    for (const std::shared_ptr<Exchange>& exchange : m_exchanges) {
      exchange->AnswerIfSuspended();
    }
  }
  const auto end = std::chrono::steady_clock::now() + kMaxFlushTime;
  while (m_in_flight.load() > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kFlushCheckInterval);
  }
}

MHD_Result Server::OnAccess(void* closure,
                            MHD_Connection* connection,
                            const char* url,
                            const char* method,
                            const char* /*version*/,
                            const char* data,
                            size_t* data_size,
                            void** state) {
  auto* server = static_cast<Server*>(closure);
  if (*state == nullptr) {
    auto* fresh = new RequestState;
    fresh->request.method = method;
    fresh->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AppendField,
                              &fresh->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AppendField,
                              &fresh->request.query);
    for (HttpField& field : fresh->request.query) {
      field.name = UrlUnescape(field.name);
      field.value = UrlUnescape(field.value);
    }
    fresh->exchange = std::make_shared<Exchange>(
        server->m_in_flight, server->m_stopping, connection);
    server->AddExchange(fresh->exchange);
    *state = fresh;
    return MHD_YES;
  }
  auto& request_state = *static_cast<RequestState*>(*state);
  if (*data_size > 0) {
    server->TakeBody(request_state, {data, *data_size});
    *data_size = 0;
    return MHD_YES;
  }
  return server->Continue(connection, request_state);
}

// Data beyond a limit is read and dropped, so that the caller hears why.
void Server::TakeBody(RequestState& state, std::string_view data) {
  if (state.excess != Excess::kNone) {
    return;
  }
  std::string& body = state.request.body;
  if (body.size() + data.size() > m_options.max_body_bytes) {
    state.excess = Excess::kBody;
  } else if (m_body_bytes.fetch_add(data.size()) + data.size() >
             m_options.max_total_body_bytes) {
    m_body_bytes.fetch_sub(data.size());
    state.excess = Excess::kAllBodies;
  } else {
    state.body_bytes += data.size();
    body.append(data);
    return;
  }
  body = std::string();
  ReleaseBody(state);
}

void Server::ReleaseBody(RequestState& state) {
  m_body_bytes.fetch_sub(std::exchange(state.body_bytes, 0));
}

void Server::AddExchange(const std::shared_ptr<Exchange>& exchange) {
  std::lock_guard<std::mutex> lock(m_exchanges_mutex);
  m_exchanges.insert(exchange);
}

void Server::RemoveExchange(const std::shared_ptr<Exchange>& exchange) {
  std::lock_guard<std::mutex> lock(m_exchanges_mutex);
  m_exchanges.erase(exchange);
}

// The answer to a request that was not read to its end.
HttpResponse ExcessResponse(Excess excess, const HttpServerOptions& options) {
  HttpResponse response;
  if (options.unread_is_not_run) {
    response.headers.push_back({"Azurespur-Fate", "not-run"});
  }
  if (excess == Excess::kBody) {
    response.status = MHD_HTTP_CONTENT_TOO_LARGE;
    response.body = R"({"error":"body larger than )" +
                    std::to_string(options.max_body_bytes) + R"( bytes"})";
  } else {
    response.status = options.unread_is_not_run ? MHD_HTTP_SERVICE_UNAVAILABLE
                                                : MHD_HTTP_GATEWAY_TIMEOUT;
    response.headers.push_back({"Retry-After", "1"});
    response.body = R"({"error":"too many bodies at a time"})";
  }
  return response;
}

MHD_Result Server::Continue(MHD_Connection* connection, RequestState& state) {
  if (state.excess != Excess::kNone) {
    return Queue(connection, ExcessResponse(state.excess, m_options));
  }
  if (!state.handed_over) {
    state.handed_over = true;
    m_handler(std::move(state.request),
              std::make_shared<ReplyHandle>(state.exchange));
  }
  std::optional<HttpResponse> response = state.exchange->TakeOrSuspend();
  if (!response) {
    return MHD_YES;
  }
  return Queue(connection, std::move(*response));
}

MHD_Result Server::Queue(MHD_Connection* connection, HttpResponse response) {
  MHD_Response* reply = MHD_create_response_from_buffer(
      response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
  if (reply == nullptr) {
    return MHD_NO;
  }
  MHD_add_response_header(reply, MHD_HTTP_HEADER_CONTENT_TYPE,
                          response.content_type.c_str());
  for (const HttpField& field : response.headers) {
    MHD_add_response_header(reply, field.name.c_str(), field.value.c_str());
  }
  if (m_draining.load()) {
    MHD_add_response_header(reply, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(response.status), reply);
  MHD_destroy_response(reply);
  return result;
}

void Server::OnCompleted(void* closure,
                         MHD_Connection* /*connection*/,
                         void** state,
                         MHD_RequestTerminationCode /*code*/) {
  auto* request_state = static_cast<RequestState*>(*state);
  if (request_state == nullptr) {
    return;
  }
  auto* server = static_cast<Server*>(closure);
  server->ReleaseBody(*request_state);
  request_state->exchange->Complete();
  server->RemoveExchange(request_state->exchange);
  delete request_state;
  *state = nullptr;
}

}  // namespace

base::Outcome<std::unique_ptr<HttpServer>> StartHttpServer(
    const HttpServerOptions& options,
    HttpServer::Handler handler) {
  auto server = std::make_unique<Server>(options, std::move(handler));
  base::Outcome<base::Unit> started = server->Start();
  if (!base::Ok(started)) {
    return base::GetError(started);
  }
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace azurespur::http
