// Plain structs for HTTP requests and responses.

#ifndef HTTP_HTTP_MESSAGE_H_
#define HTTP_HTTP_MESSAGE_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace azurespur::http {

struct HttpField {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;
  std::string path;  // Without the query; still URL-escaped.
  std::vector<HttpField> query;
  std::vector<HttpField> headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<HttpField> headers;
  // In a client: from handing the call over to the first byte of the response.
  std::chrono::milliseconds latency{0};
};

// Returns the value of the first field named `name` (ASCII case ignored), or
// an empty view.
std::string_view FindField(const std::vector<HttpField>& fields,
                           std::string_view name);

// Reverses percent-escaping; malformed escapes are kept as they are.
std::string UrlUnescape(std::string_view text);

// Percent-escapes everything outside RFC 3986 "unreserved".
std::string UrlEscape(std::string_view text);

}  // namespace azurespur::http

#endif  // HTTP_HTTP_MESSAGE_H_
