#include "http/http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <thread>
#include <utility>

#include "base/event_log.h"
#include "base/ring.h"
#include "link_meter.h"
#include "stall_watch.h"

namespace azurespur::http {

namespace {

constexpr int kIdleWaitMillis = 500;
constexpr size_t kEventsPerWait = 64;
// Request line, the fields that libcurl adds, and headers of packets.
constexpr size_t kRequestOverheadBytes = 220;
// A new connection sends a packet before the request; both wait.
constexpr int kWaitsPerRequest = 2;

// One call in progress and the buffers libcurl writes to.
struct Transfer {
  HttpCall call;
  HttpClient::Callback done;
  HttpResponse response;
  size_t max_bytes = 0;
  CURL* easy = nullptr;  // Set once the call is begun.
  curl_slist* header_list = nullptr;
  base::MonoTime began{};
  bool answered = false;     // The first byte of the response has arrived.
  bool has_headers = false;  // The whole header of the response has arrived.
  StallWatch<CURL*>* stalls = nullptr;  // Null without a stall timeout.
  LinkMeter* link = nullptr;            // Null if the link is unknown.

  ~Transfer() { curl_slist_free_all(header_list); }
};

void OnBytes(Transfer& transfer, size_t bytes) {
  if (transfer.answered && transfer.stalls == nullptr &&
      transfer.link == nullptr) {
    return;
  }
  const base::MonoTime now = base::SystemClock().Now();
  if (!transfer.answered) {
    transfer.answered = true;
    transfer.response.latency =
        base::Millis{base::MillisBetween(transfer.began, now)};
  }
  if (transfer.stalls != nullptr) {
    transfer.stalls->OnBytes(transfer.easy, now);
  }
  if (transfer.link != nullptr) {
    transfer.link->OnBytes(bytes, now);
  }
}

size_t OnBody(char* data, size_t size, size_t count, void* closure) {
  auto* transfer = static_cast<Transfer*>(closure);
  const size_t bytes = size * count;
  OnBytes(*transfer, bytes);
  if (transfer->response.body.size() + bytes > transfer->max_bytes) {
    return 0;
  }
  transfer->response.body.append(data, bytes);
  return bytes;
}

size_t OnHeader(char* data, size_t size, size_t count, void* closure) {
  auto* transfer = static_cast<Transfer*>(closure);
  OnBytes(*transfer, size * count);
  std::string_view line(data, size * count);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  // Interim responses have headers of their own, and trailers follow a body.
  transfer->has_headers =
      !line.starts_with("HTTP/") && (transfer->has_headers || line.empty());
  const size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') {
      value.remove_prefix(1);
    }
    transfer->response.headers.push_back(
        {std::string(line.substr(0, colon)), std::string(value)});
  }
  return size * count;
}

size_t RequestBytes(const HttpCall& call) {
  size_t bytes = kRequestOverheadBytes + call.url.size() + call.body.size();
  for (const HttpField& field : call.headers) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

// Tells whether no byte of the request can have reached the server. The error
// code can't tell: a refused connection may be the second try of a request
// that was sent before, and libcurl calls a malformed answer an unsupported
// protocol.
bool NothingSent(CURL* easy) {
  long request_bytes = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_off_t uploaded = 0;
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  return request_bytes == 0 && uploaded == 0;
}

// Called before a request is sent, also before libcurl sends it again.
int BeforeRequest(void* closure,
                  char* /*remote_ip*/,
                  char* /*local_ip*/,
                  int /*remote_port*/,
                  int /*local_port*/) {
  const auto* transfer = static_cast<const Transfer*>(closure);
  if (NothingSent(transfer->easy)) {
    return CURL_PREREQFUNC_OK;
  }
  const bool send_again = transfer->call.repeatable;
  base::LogEvent(base::Severity::kWarning, "AZ6003",
                 "connection closed without an answer to a request",
                 {{"method", transfer->call.method},
                  {"url", transfer->call.url},
                  {"sent_again", send_again ? "true" : "false"}});
  return send_again ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

class Client : public HttpClient {
 public:
  explicit Client(const HttpClientOptions& options)
      : m_options(options),
        m_link(options.link_mbps),
        m_ring(options.queue_size),
        m_multi(curl_multi_init()),
        m_epoll(epoll_create1(EPOLL_CLOEXEC)),
        m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    Watch(m_wakeup, EPOLLIN, EPOLL_CTL_ADD);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Client::OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Client::OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      options.max_connections_per_host);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS,
                      options.max_kept_connections);
    m_thread = std::thread([this] { Run(); });
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  ~Client() override {
    StopThread();
    for (CURL* easy : m_idle) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_multi);
    close(m_wakeup);
    close(m_epoll);
  }

  bool Send(HttpCall call, Callback done) override {
    if (m_stopping.load()) {
      return false;
    }
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->done = std::move(done);
    transfer->max_bytes = m_options.max_response_bytes;
    if (!m_ring.Push(std::move(transfer))) {
      return false;
    }
    // One write is enough until the thread has taken what is queued.
    if (!m_woken.exchange(true)) {
      Wake();
    }
    // The thread may have looked at the queue for the last time before.
    if (m_stopping.load()) {
      AbortQueued();
    }
    return true;
  }

  void Stop() override { StopThread(); }

 private:
  static int OnSocket(CURL* easy,
                      curl_socket_t socket,
                      int what,
                      void* closure,
                      void* socket_state);
  static int OnTimer(CURLM* multi, long timeout_ms, void* closure);

  void Run();
  void Wake();
  void Watch(int handle, uint32_t events, int operation);
  // Milliseconds until libcurl wants to be called or a transfer may stall.
  int WaitMillis() const;
  void TakeQueued();
  void FinishDone();
  void EndStalled();
  void Begin(std::unique_ptr<Transfer> transfer);
  // Notes that the request is sent; returns the time that its packets wait for
  // this VM's link.
  base::Millis QueueForLink(const HttpCall& call);
  void Finish(CURL* easy, CURLcode code);
  void AbortAll();
  void AbortQueued();
  void StopThread();

  const HttpClientOptions m_options;
  LinkMeter m_link;
  base::Ring<std::unique_ptr<Transfer>> m_ring;
  CURLM* m_multi;
  const int m_epoll;
  const int m_wakeup;
  std::atomic<bool> m_woken{false};
  bool m_timer_set = false;
  base::MonoTime m_timer_at{};
  std::map<CURL*, std::unique_ptr<Transfer>> m_active;
  StallWatch<CURL*> m_stalls;
  std::vector<CURL*> m_idle;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

// Only the sockets that are ready are handled, so that the many calls that wait
// for a late answer cost nothing.
void Client::Run() {
  std::array<epoll_event, kEventsPerWait> events{};
  while (!m_stopping.load()) {
    TakeQueued();
    FinishDone();
    EndStalled();
    const int count = epoll_wait(m_epoll, events.data(),
                                 static_cast<int>(events.size()), WaitMillis());
    int running = 0;
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<size_t>(i)];
      if (event.data.fd == m_wakeup) {
        uint64_t value = 0;
        (void)!read(m_wakeup, &value, sizeof(value));
        continue;
      }
      const int what =
          ((event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
          ((event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
          ((event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
      curl_multi_socket_action(m_multi, event.data.fd, what, &running);
    }
    if (m_timer_set && base::SystemClock().Now() >= m_timer_at) {
      m_timer_set = false;
      curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  }
  AbortAll();
}

void Client::Wake() {
  const uint64_t one = 1;
  (void)!write(m_wakeup, &one, sizeof(one));
}

void Client::Watch(int handle, uint32_t events, int operation) {
  epoll_event event{};
  event.events = events;
  event.data.fd = handle;
  epoll_ctl(m_epoll, operation, handle, &event);
}

int Client::WaitMillis() const {
  base::MonoTime wake_at =
      m_stalls.NextDeadline().value_or(base::MonoTime::max());
  if (m_timer_set) {
    wake_at = std::min(wake_at, m_timer_at);
  }
  if (wake_at == base::MonoTime::max()) {
    return kIdleWaitMillis;
  }
  const base::Micros left = wake_at - base::SystemClock().Now();
  const auto rounded_up =
      std::chrono::ceil<base::Millis>(std::max(left, base::Micros{0}));
  return static_cast<int>(
      std::min<int64_t>(rounded_up.count(), kIdleWaitMillis));
}

int Client::OnSocket(CURL* /*easy*/,
                     curl_socket_t socket,
                     int what,
                     void* closure,
                     void* socket_state) {
  auto* client = static_cast<Client*>(closure);
  if (what == CURL_POLL_REMOVE) {
    client->Watch(socket, 0, EPOLL_CTL_DEL);
    return 0;
  }
  const uint32_t events =
      ((what & CURL_POLL_IN) != 0 ? static_cast<uint32_t>(EPOLLIN) : 0U) |
      ((what & CURL_POLL_OUT) != 0 ? static_cast<uint32_t>(EPOLLOUT) : 0U);
  const bool known = socket_state != nullptr;
  client->Watch(socket, events, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD);
  if (!known) {
    curl_multi_assign(client->m_multi, socket, client);
  }
  return 0;
}

int Client::OnTimer(CURLM* /*multi*/, long timeout_ms, void* closure) {
  auto* client = static_cast<Client*>(closure);
  client->m_timer_set = timeout_ms >= 0;
  client->m_timer_at =
      base::SystemClock().Now() + base::Millis{std::max(timeout_ms, 0L)};
  return 0;
}

void Client::TakeQueued() {
  m_woken.store(false);
  while (auto transfer = m_ring.Pop()) {
    Begin(std::move(*transfer));
  }
}

void Client::FinishDone() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

// Runs after the ready sockets were handled, so that bytes count that arrived
// while this thread did not run.
void Client::EndStalled() {
  const base::MonoTime now = base::SystemClock().Now();
  for (CURL* easy : m_stalls.Stalled(now, m_link.IsFull(now))) {
    Finish(easy, CURLE_OPERATION_TIMEDOUT);
  }
}

base::Millis Client::QueueForLink(const HttpCall& call) {
  if (m_options.uplink == nullptr) {
    return base::Millis{0};
  }
  const base::Micros wait = m_options.uplink->Add(RequestBytes(call));
  return std::chrono::ceil<base::Millis>(kWaitsPerRequest * wait);
}

void Client::Begin(std::unique_ptr<Transfer> transfer) {
  const base::MonoTime send_by = transfer->call.send_by;
  if (send_by != base::MonoTime{} && base::SystemClock().Now() >= send_by) {
    transfer->done(base::Error{base::ErrorCode::kUnavailable,
                               transfer->call.url + ": too late to send"});
    return;
  }
  CURL* easy = nullptr;
  if (m_idle.empty()) {
    easy = curl_easy_init();
  } else {
    easy = m_idle.back();
    m_idle.pop_back();
    curl_easy_reset(easy);
  }
  const HttpCall& call = transfer->call;
  for (const HttpField& field : call.headers) {
    const std::string line = field.name + ": " + field.value;
    transfer->header_list =
        curl_slist_append(transfer->header_list, line.c_str());
  }
  transfer->header_list = curl_slist_append(transfer->header_list, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  const base::Millis link_wait = QueueForLink(call);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>((call.timeout + link_wait).count()));
  curl_easy_setopt(
      easy, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>((call.connect_timeout + link_wait).count()));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.new_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &BeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->header_list);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
  if (call.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
  }
  transfer->easy = easy;
  transfer->began = base::SystemClock().Now();
  transfer->link = m_link.known() ? &m_link : nullptr;
  if (call.stall_timeout.count() > 0) {
    transfer->stalls = &m_stalls;
    m_stalls.Add(
        easy,
        {call.stall_timeout, call.answer_wait + link_wait, call.max_link_wait},
        transfer->began);
  }
  m_active[easy] = std::move(transfer);
  curl_multi_add_handle(m_multi, easy);
}

void Client::Finish(CURL* easy, CURLcode code) {
  auto node = m_active.extract(easy);
  std::unique_ptr<Transfer> transfer = std::move(node.mapped());
  if (transfer->stalls != nullptr) {
    m_stalls.Remove(easy);
  }
  HttpResult result = base::Error{};
  // libcurl takes a header that the end of the connection cuts for a whole one.
  if (code == CURLE_OK && transfer->has_headers) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->response.status = static_cast<int>(status);
    result = std::move(transfer->response);
  } else {
    const auto error = NothingSent(easy) ? base::ErrorCode::kUnavailable
                                         : base::ErrorCode::kUnknown;
    result =
        base::Error{error, transfer->call.url + ": " +
                               (code == CURLE_OK ? "the answer's header is cut"
                                                 : curl_easy_strerror(code))};
  }
  curl_multi_remove_handle(m_multi, easy);
  m_idle.push_back(easy);
  transfer->done(std::move(result));
}

void Client::AbortAll() {
  while (!m_active.empty()) {
    Finish(m_active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }
  AbortQueued();
}

void Client::AbortQueued() {
  while (auto transfer = m_ring.Pop()) {
    (*transfer)->done(base::Error{base::ErrorCode::kUnavailable,
                                  (*transfer)->call.url + ": client stopped"});
  }
}

void Client::StopThread() {
  if (!m_stopping.exchange(true)) {
    Wake();
    m_thread.join();
  }
}

}  // namespace

HttpResult HttpClient::Fetch(HttpCall call) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  std::future<HttpResult> future = promise->get_future();
  const std::string url = call.url;
  const bool sent = Send(std::move(call), [promise](HttpResult result) {
    promise->set_value(std::move(result));
  });
  if (!sent) {
    return base::Error{base::ErrorCode::kExhausted, url + ": queue is full"};
  }
  return future.get();
}

std::unique_ptr<HttpClient> StartHttpClient(const HttpClientOptions& options) {
  static const CURLcode global_state = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)global_state;
  return std::make_unique<Client>(options);
}

}  // namespace azurespur::http
