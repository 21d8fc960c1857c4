#include "standins/server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace azurespur::standins {

namespace {

constexpr size_t kMaxBodyBytes = 4U << 20;
constexpr unsigned kMaxConnections = 32768;
constexpr int kListenBacklog = 1024;
constexpr int kAcceptPollMillis = 100;

enum class Manner { kWhole, kTruncated, kAbort };

struct Answer {
  Manner manner = Manner::kWhole;
  http::HttpResponse response;
};

// One served port.
struct Endpoint {
  uint16_t port = 0;
  unsigned max_connections = 0;
  Server::Handler handler;
  int listen_fd = -1;
  std::atomic<unsigned> connections{0};
  std::atomic<bool> down{false};
};

// State of one request, shared by the server thread and the answering thread.
class Exchange {
 public:
  Exchange(MHD_Connection* connection, Endpoint* endpoint)
      : m_connection(connection), m_endpoint(endpoint) {}

  Endpoint* endpoint() const { return m_endpoint; }

  void Give(Answer answer) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_given || m_gone) {
      return;
    }
    m_given = true;
    m_answer = std::move(answer);
    if (m_suspended) {
      m_suspended = false;
      MHD_resume_connection(m_connection);
    }
  }

  std::optional<Answer> TakeOrSuspend() {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_answer) {
      return std::exchange(m_answer, std::nullopt);
    }
    m_suspended = true;
    MHD_suspend_connection(m_connection);
    return std::nullopt;
  }

  void Complete() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_gone = true;
    m_suspended = false;
  }

 private:
  std::mutex m_mutex;
  MHD_Connection* m_connection;
  Endpoint* m_endpoint;
  std::optional<Answer> m_answer;
  bool m_given = false;
  bool m_suspended = false;
  bool m_gone = false;
};

class ExchangeReply : public Reply {
 public:
  explicit ExchangeReply(std::shared_ptr<Exchange> exchange)
      : m_exchange(std::move(exchange)) {}
  ExchangeReply(const ExchangeReply&) = delete;
  ExchangeReply& operator=(const ExchangeReply&) = delete;
  ~ExchangeReply() override { m_exchange->Give({Manner::kAbort, {}}); }

  void Send(http::HttpResponse response) override {
    m_exchange->Give({Manner::kWhole, std::move(response)});
  }
  void SendTruncated(http::HttpResponse response) override {
    m_exchange->Give({Manner::kTruncated, std::move(response)});
  }
  void Abort() override { m_exchange->Give({Manner::kAbort, {}}); }

 private:
  std::shared_ptr<Exchange> m_exchange;
};

// Per-request data that libmicrohttpd carries between callbacks.
struct RequestState {
  http::HttpRequest request;
  std::shared_ptr<Exchange> exchange;
  bool handed_over = false;
};

MHD_Result AppendField(void* closure,
                       MHD_ValueKind /*kind*/,
                       const char* name,
                       const char* value) {
  auto* fields = static_cast<std::vector<http::HttpField>*>(closure);
  fields->push_back({name, value != nullptr ? value : ""});
  return MHD_YES;
}

// Leaves paths escaped; query values are unescaped by the handlers' parser.
size_t KeepEscapes(void* /*closure*/, MHD_Connection* /*c*/, char* text) {
  return std::char_traits<char>::length(text);
}

// Body source of a truncated answer: half of the bytes, then an error.
ssize_t ReadHalf(void* closure, uint64_t position, char* buffer, size_t size) {
  const auto* body = static_cast<std::string*>(closure);
  const size_t half = body->size() / 2;
  if (position >= half) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const size_t count = std::min(size, half - static_cast<size_t>(position));
  std::copy_n(body->data() + position, count, buffer);
  return static_cast<ssize_t>(count);
}

void DeleteString(void* closure) {
  delete static_cast<std::string*>(closure);
}

MHD_Response* MakeResponse(const Answer& answer) {
  const std::string& body = answer.response.body;
  if (answer.manner == Manner::kTruncated) {
    return MHD_create_response_from_callback(
        body.size(), 4096, &ReadHalf, new std::string(body), &DeleteString);
  }
  return MHD_create_response_from_buffer(
      body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
}

MHD_Result Queue(MHD_Connection* connection, const Answer& answer) {
  if (answer.manner == Manner::kAbort) {
    return MHD_NO;
  }
  MHD_Response* reply = MakeResponse(answer);
  MHD_add_response_header(reply, MHD_HTTP_HEADER_CONTENT_TYPE,
                          answer.response.content_type.c_str());
  for (const http::HttpField& field : answer.response.headers) {
    MHD_add_response_header(reply, field.name.c_str(), field.value.c_str());
  }
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(answer.response.status), reply);
  MHD_destroy_response(reply);
  return result;
}

int OpenListener(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

uint16_t LocalPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Accepts on all ports in one thread and hands the sockets to libmicrohttpd.
class MhdServer : public Server {
 public:
  MhdServer() : m_epoll(epoll_create1(EPOLL_CLOEXEC)) {}
  MhdServer(const MhdServer&) = delete;
  MhdServer& operator=(const MhdServer&) = delete;
  ~MhdServer() override;

  base::Outcome<base::Unit> Start(unsigned threads);

  base::Outcome<uint16_t> Listen(uint16_t port,
                                 unsigned max_connections,
                                 Handler handler) override;
  base::Outcome<base::Unit> SetListening(uint16_t port,
                                         bool listening) override;

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
  static void OnConnection(void* closure,
                           MHD_Connection* connection,
                           void** socket_context,
                           MHD_ConnectionNotificationCode code);

  RequestState* BeginRequest(MHD_Connection* connection,
                             const char* url,
                             const char* method);
  static MHD_Result Continue(MHD_Connection* connection, RequestState& state);
  Endpoint* FindEndpoint(uint16_t port);
  bool Open(Endpoint& endpoint, uint16_t port);
  void AcceptAll(Endpoint& endpoint);
  void RunAcceptor();
  void AbortOpen(const Endpoint* endpoint);

  MHD_Daemon* m_daemon = nullptr;
  int m_epoll;
  std::mutex m_mutex;  // Guards m_endpoints and m_open.
  std::map<uint16_t, std::unique_ptr<Endpoint>> m_endpoints;
  std::set<std::shared_ptr<Exchange>> m_open;
  std::atomic<bool> m_stopping{false};
  std::thread m_acceptor;
};

MhdServer::~MhdServer() {
  m_stopping.store(true);
  if (m_acceptor.joinable()) {
    m_acceptor.join();
  }
  // libmicrohttpd must not be stopped with suspended connections.
  AbortOpen(nullptr);
  if (m_daemon != nullptr) {
    MHD_stop_daemon(m_daemon);
  }
  for (const auto& [port, endpoint] : m_endpoints) {
    if (endpoint->listen_fd >= 0) {
      close(endpoint->listen_fd);
    }
  }
  close(m_epoll);
}

base::Outcome<base::Unit> MhdServer::Start(unsigned threads) {
  const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD |
                         MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC |
                         MHD_USE_NO_LISTEN_SOCKET;
  m_daemon = MHD_start_daemon(
      flags, 0, nullptr, nullptr, &MhdServer::OnAccess, this,
      MHD_OPTION_THREAD_POOL_SIZE, std::max(2U, threads),
      MHD_OPTION_CONNECTION_LIMIT, kMaxConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, 0U, MHD_OPTION_UNESCAPE_CALLBACK,
      &KeepEscapes, nullptr, MHD_OPTION_NOTIFY_COMPLETED,
      &MhdServer::OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
      &MhdServer::OnConnection, this, MHD_OPTION_END);
  if (m_daemon == nullptr) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "HTTP server threads can't be started"};
  }
  m_acceptor = std::thread([this] { RunAcceptor(); });
  return base::Unit{};
}

bool MhdServer::Open(Endpoint& endpoint, uint16_t port) {
  const int fd = OpenListener(port);
  if (fd < 0) {
    return false;
  }
  endpoint.listen_fd = fd;
  endpoint.port = LocalPort(fd);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.ptr = &endpoint;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
  return true;
}

base::Outcome<uint16_t> MhdServer::Listen(uint16_t port,
                                          unsigned max_connections,
                                          Handler handler) {
  auto endpoint = std::make_unique<Endpoint>();
  endpoint->max_connections = max_connections;
  endpoint->handler = std::move(handler);
  std::lock_guard<std::mutex> lock(m_mutex);
  if (!Open(*endpoint, port)) {
    return base::Error{
        base::ErrorCode::kUnavailable,
        "address 127.0.0.1:" + std::to_string(port) + " can't be bound"};
  }
  const uint16_t bound = endpoint->port;
  m_endpoints[bound] = std::move(endpoint);
  return bound;
}

base::Outcome<base::Unit> MhdServer::SetListening(uint16_t port,
                                                  bool listening) {
  Endpoint* endpoint = FindEndpoint(port);
  if (endpoint == nullptr) {
    return base::Error{base::ErrorCode::kNotFound,
                       "port " + std::to_string(port) + " is not served"};
  }
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    endpoint->down.store(!listening);
    if (listening && endpoint->listen_fd < 0 && !Open(*endpoint, port)) {
      return base::Error{base::ErrorCode::kUnavailable,
                         "port " + std::to_string(port) + " can't be bound"};
    }
    if (!listening && endpoint->listen_fd >= 0) {
      close(std::exchange(endpoint->listen_fd, -1));
    }
  }
  if (!listening) {
    AbortOpen(endpoint);
  }
  return base::Unit{};
}

Endpoint* MhdServer::FindEndpoint(uint16_t port) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_endpoints.find(port);
  return it == m_endpoints.end() ? nullptr : it->second.get();
}

void MhdServer::AbortOpen(const Endpoint* endpoint) {
  std::vector<std::shared_ptr<Exchange>> open;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    open.assign(m_open.begin(), m_open.end());
  }
  for (const auto& exchange : open) {
    if (endpoint == nullptr || exchange->endpoint() == endpoint) {
      exchange->Give({Manner::kAbort, {}});
    }
  }
}

void MhdServer::RunAcceptor() {
  std::vector<epoll_event> events(64);
  while (!m_stopping.load()) {
    const int count =
        epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()),
                   kAcceptPollMillis);
    for (int i = 0; i < count; ++i) {
      AcceptAll(*static_cast<Endpoint*>(events[i].data.ptr));
    }
  }
}

void MhdServer::AcceptAll(Endpoint& endpoint) {
  // Handed over without the lock, which OnConnection() takes.
  std::vector<std::pair<int, sockaddr_in>> accepted;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    while (endpoint.listen_fd >= 0) {
      sockaddr_in address{};
      socklen_t size = sizeof(address);
      const int fd =
          accept4(endpoint.listen_fd, reinterpret_cast<sockaddr*>(&address),
                  &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) {
        break;
      }
      accepted.emplace_back(fd, address);
    }
  }
  for (const auto& [fd, address] : accepted) {
    if (endpoint.connections.load() >= endpoint.max_connections) {
      close(fd);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    MHD_add_connection(m_daemon, fd,
                       reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address));
  }
}

void MhdServer::OnConnection(void* closure,
                             MHD_Connection* connection,
                             void** socket_context,
                             MHD_ConnectionNotificationCode code) {
  auto* server = static_cast<MhdServer*>(closure);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    Endpoint* endpoint = server->FindEndpoint(LocalPort(info->connect_fd));
    if (endpoint != nullptr) {
      endpoint->connections.fetch_add(1);
    }
    *socket_context = endpoint;
  } else if (*socket_context != nullptr) {
    static_cast<Endpoint*>(*socket_context)->connections.fetch_sub(1);
  }
}

RequestState* MhdServer::BeginRequest(MHD_Connection* connection,
                                      const char* url,
                                      const char* method) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  auto* endpoint = static_cast<Endpoint*>(info->socket_context);
  if (endpoint == nullptr || endpoint->down.load()) {
    return nullptr;
  }
  auto* state = new RequestState;
  state->request.method = method;
  state->request.path = url;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &AppendField,
                            &state->request.headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AppendField,
                            &state->request.query);
  state->exchange = std::make_shared<Exchange>(connection, endpoint);
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_stopping.load()) {
    delete state;
    return nullptr;
  }
  m_open.insert(state->exchange);
  return state;
}

MHD_Result MhdServer::OnAccess(void* closure,
                               MHD_Connection* connection,
                               const char* url,
                               const char* method,
                               const char* /*version*/,
                               const char* data,
                               size_t* data_size,
                               void** state) {
  auto* server = static_cast<MhdServer*>(closure);
  if (*state == nullptr) {
    *state = server->BeginRequest(connection, url, method);
    return *state == nullptr ? MHD_NO : MHD_YES;
  }
  auto& request_state = *static_cast<RequestState*>(*state);
  if (*data_size == 0) {
    return Continue(connection, request_state);
  }
  std::string& body = request_state.request.body;
  if (body.size() + *data_size > kMaxBodyBytes) {
    return MHD_NO;
  }
  body.append(data, *data_size);
  *data_size = 0;
  return MHD_YES;
}

MHD_Result MhdServer::Continue(MHD_Connection* connection,
                               RequestState& state) {
  if (!state.handed_over) {
    state.handed_over = true;
    state.exchange->endpoint()->handler(
        std::move(state.request),
        std::make_shared<ExchangeReply>(state.exchange));
  }
  const std::optional<Answer> answer = state.exchange->TakeOrSuspend();
  return answer ? Queue(connection, *answer) : MHD_YES;
}

void MhdServer::OnCompleted(void* closure,
                            MHD_Connection* /*connection*/,
                            void** state,
                            MHD_RequestTerminationCode /*code*/) {
  auto* server = static_cast<MhdServer*>(closure);
  auto* request_state = static_cast<RequestState*>(*state);
  if (request_state == nullptr) {
    return;
  }
  request_state->exchange->Complete();
  {
    std::lock_guard<std::mutex> lock(server->m_mutex);
    server->m_open.erase(request_state->exchange);
  }
  delete request_state;
  *state = nullptr;
}

}  // namespace

base::Outcome<std::unique_ptr<Server>> StartServer(unsigned threads) {
  auto server = std::make_unique<MhdServer>();
  const base::Outcome<base::Unit> started = server->Start(threads);
  if (!base::Ok(started)) {
    return base::GetError(started);
  }
  return std::unique_ptr<Server>(std::move(server));
}

}  // namespace azurespur::standins
