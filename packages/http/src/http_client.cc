#include "http/http_client.h"

#include <curl/curl.h>

#include <atomic>
#include <future>
#include <map>
#include <thread>
#include <utility>

#include "base/ring.h"

namespace azurespur::http {

namespace {

constexpr int kPollMillis = 500;

// One call in progress and the buffers libcurl writes to.
struct Transfer {
  HttpCall call;
  HttpClient::Callback done;
  HttpResponse response;
  size_t max_bytes = 0;
  curl_slist* header_list = nullptr;

  ~Transfer() { curl_slist_free_all(header_list); }
};

size_t OnBody(char* data, size_t size, size_t count, void* closure) {
  auto* transfer = static_cast<Transfer*>(closure);
  const size_t bytes = size * count;
  if (transfer->response.body.size() + bytes > transfer->max_bytes) {
    return 0;
  }
  transfer->response.body.append(data, bytes);
  return bytes;
}

size_t OnHeader(char* data, size_t size, size_t count, void* closure) {
  auto* transfer = static_cast<Transfer*>(closure);
  std::string_view line(data, size * count);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
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

class Client : public HttpClient {
 public:
  explicit Client(const HttpClientOptions& options)
      : m_options(options),
        m_ring(options.queue_size),
        m_multi(curl_multi_init()) {
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      options.max_connections_per_host);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 1024L);
    m_thread = std::thread([this] { Run(); });
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  ~Client() override {
    m_stopping.store(true);
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (CURL* easy : m_idle) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_multi);
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
    curl_multi_wakeup(m_multi);
    return true;
  }

 private:
  void Run();
  void Begin(std::unique_ptr<Transfer> transfer);
  void Finish(CURL* easy, CURLcode code);
  void AbortAll();

  const HttpClientOptions m_options;
  base::Ring<std::unique_ptr<Transfer>> m_ring;
  CURLM* m_multi;
  std::map<CURL*, std::unique_ptr<Transfer>> m_active;
  std::vector<CURL*> m_idle;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

void Client::Run() {
  while (!m_stopping.load()) {
    while (auto transfer = m_ring.Pop()) {
      Begin(std::move(*transfer));
    }
    int running = 0;
    curl_multi_perform(m_multi, &running);
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
    curl_multi_poll(m_multi, nullptr, 0, kPollMillis, nullptr);
  }
  AbortAll();
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
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(call.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call.connect_timeout.count()));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.send_once ? 1L : 0L);
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
  m_active[easy] = std::move(transfer);
  curl_multi_add_handle(m_multi, easy);
}

void Client::Finish(CURL* easy, CURLcode code) {
  auto node = m_active.extract(easy);
  std::unique_ptr<Transfer> transfer = std::move(node.mapped());
  HttpResult result = base::Error{};
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->response.status = static_cast<int>(status);
    result = std::move(transfer->response);
  } else {
    const auto error = NothingSent(easy) ? base::ErrorCode::kUnavailable
                                         : base::ErrorCode::kUnknown;
    result = base::Error{error,
                         transfer->call.url + ": " + curl_easy_strerror(code)};
  }
  curl_multi_remove_handle(m_multi, easy);
  m_idle.push_back(easy);
  transfer->done(std::move(result));
}

void Client::AbortAll() {
  while (!m_active.empty()) {
    Finish(m_active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }
  while (auto transfer = m_ring.Pop()) {
    (*transfer)->done(base::Error{base::ErrorCode::kUnavailable,
                                  (*transfer)->call.url + ": client stopped"});
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
