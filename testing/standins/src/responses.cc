#include "standins/responses.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace azurespur::standins {

http::HttpResponse JsonResponse(std::string body) {
  http::HttpResponse response;
  response.body = std::move(body);
  return response;
}

http::HttpResponse ErrorResponse(int status, std::string_view message) {
  http::HttpResponse response;
  response.status = status;
  response.body = nlohmann::json{{"error", message}}.dump(
      -1, ' ', true, nlohmann::json::error_handler_t::replace);
  return response;
}

http::HttpResponse UnknownPath(const http::HttpRequest& request) {
  return ErrorResponse(404, request.method + " " + request.path +
                                " is no verb of this stand-in");
}

std::vector<std::string> PathSegments(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    path.remove_prefix(1);
    const size_t end = path.find('/');
    segments.push_back(http::UrlUnescape(path.substr(0, end)));
    path =
        end == std::string_view::npos ? std::string_view() : path.substr(end);
  }
  return segments;
}

std::optional<int64_t> QueryNumber(const http::HttpRequest& request,
                                   std::string_view name,
                                   int64_t default_value) {
  const std::string_view text = http::FindField(request.query, name);
  if (text.empty()) {
    return default_value;
  }
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole && value >= 0 ? std::optional(value) : std::nullopt;
}

}  // namespace azurespur::standins
