#include <ace/Codecs.h>
#include <nlohmann/json.hpp>

#include "http/http_client.h"
#include "json_fields.h"
#include "services/log_service.h"

namespace azurespur::services {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;

std::string DecodeBase64(const std::string& text) {
  if (text.empty()) {
    return {};
  }
  size_t length = 0;
  // ACE_Base64 reads until a NUL, which std::string provides.
  ACE_Byte* decoded = ACE_Base64::decode(
      reinterpret_cast<const ACE_Byte*>(text.c_str()), &length);
  if (decoded == nullptr) {
    return {};
  }
  std::string result(reinterpret_cast<const char*>(decoded), length);
  delete[] decoded;
  return result;
}

class HttpLogService : public LogService {
 public:
  HttpLogService(http::HttpClient& client,
                 std::string url,
                 base::Millis timeout)
      : m_client(client), m_url(std::move(url)), m_timeout(timeout) {}

  base::Outcome<uint64_t> Append(std::string_view stream,
                                 std::string_view body) override;
  base::Outcome<LogPage> Read(std::string_view stream,
                              uint64_t from,
                              size_t max,
                              base::Millis wait) override;

 private:
  http::HttpClient& m_client;
  const std::string m_url;
  const base::Millis m_timeout;
};

base::Outcome<uint64_t> HttpLogService::Append(std::string_view stream,
                                               std::string_view body) {
  http::HttpCall call;
  call.method = "POST";
  call.url = m_url + "/streams/" + std::string(stream);
  call.body = std::string(body);
  call.timeout = m_timeout;
  const std::string url = call.url;
  const http::HttpResult result = m_client.Fetch(std::move(call));
  if (!base::Ok(result)) {
    return base::GetError(result);
  }
  const http::HttpResponse& response = base::Value(result);
  if (response.status == kStatusTooManyRequests) {
    return base::Error{base::ErrorCode::kExhausted, url + ": append rate"};
  }
  if (response.status != kStatusOk) {
    return base::Error{base::ErrorCode::kUnknown,
                       url + ": status " + std::to_string(response.status)};
  }
  const base::Outcome<nlohmann::json> parsed = ParseObject(response.body, url);
  if (!base::Ok(parsed)) {
    return base::GetError(parsed);
  }
  return static_cast<uint64_t>(IntField(base::Value(parsed), "offset"));
}

base::Outcome<LogPage> HttpLogService::Read(std::string_view stream,
                                            uint64_t from,
                                            size_t max,
                                            base::Millis wait) {
  http::HttpCall call;
  call.url = m_url + "/streams/" + std::string(stream) +
             "?from=" + std::to_string(from) + "&max=" + std::to_string(max) +
             "&wait_ms=" + std::to_string(wait.count());
  call.timeout = m_timeout + wait;
  call.repeatable = true;
  const std::string url = call.url;
  const http::HttpResult result = m_client.Fetch(std::move(call));
  if (!base::Ok(result)) {
    return base::GetError(result);
  }
  const http::HttpResponse& response = base::Value(result);
  if (response.status != kStatusOk) {
    return base::Error{base::ErrorCode::kUnavailable,
                       url + ": status " + std::to_string(response.status)};
  }
  const base::Outcome<nlohmann::json> parsed = ParseObject(response.body, url);
  if (!base::Ok(parsed)) {
    return base::GetError(parsed);
  }
  const nlohmann::json& object = base::Value(parsed);
  LogPage page;
  page.first = static_cast<uint64_t>(IntField(object, "first"));
  page.next = static_cast<uint64_t>(
      IntField(object, "next", static_cast<int64_t>(from)));
  page.now_ms = IntField(object, "now_ms");
  const auto records = object.find("records");
  if (records == object.end() || !records->is_array()) {
    return page;
  }
  for (const nlohmann::json& item : *records) {
    LogRecord record;
    record.offset = static_cast<uint64_t>(IntField(item, "offset"));
    record.time_ms = IntField(item, "time_ms");
    record.body = DecodeBase64(StringField(item, "body"));
    page.records.push_back(std::move(record));
  }
  return page;
}

}  // namespace

std::unique_ptr<LogService> MakeHttpLogService(http::HttpClient& client,
                                               std::string url,
                                               base::Millis timeout) {
  return std::make_unique<HttpLogService>(client, std::move(url), timeout);
}

}  // namespace azurespur::services
