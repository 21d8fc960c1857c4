#include "decode.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace azurespur::filters {

namespace {

constexpr std::string_view kRequestsPath = "/v1/requests";
constexpr size_t kMaxFieldBytes = 200;
constexpr int64_t kMaxDeadlineMillis = 24LL * 3600 * 1000;

Refusal Malformed(std::string reason) {
  Refusal refusal;
  refusal.status = 400;
  refusal.error = "malformed";
  refusal.reason = std::move(reason);
  return refusal;
}

bool IsToken(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

// Copies the header `name` to `value`, or returns a refusal if the header is
// too long or not a token.
std::optional<Refusal> ReadToken(const http::HttpRequest& request,
                                 std::string_view name,
                                 std::string& value) {
  const std::string_view found = http::FindField(request.headers, name);
  if (found.size() > kMaxFieldBytes || !IsToken(found)) {
    return Malformed("header " + std::string(name) + " is not " +
                     std::to_string(kMaxFieldBytes) +
                     " or fewer printable ASCII characters without spaces");
  }
  value = std::string(found);
  return std::nullopt;
}

std::optional<Refusal> ReadDeadline(const http::HttpRequest& request,
                                    CallerRequest& out) {
  const std::string_view text =
      http::FindField(request.headers, "Azurespur-Deadline-Ms");
  if (text.empty()) {
    return std::nullopt;
  }
  int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (error != std::errc() || end != text.data() + text.size() || millis <= 0 ||
      millis > kMaxDeadlineMillis) {
    return Malformed("header Azurespur-Deadline-Ms \"" + std::string(text) +
                     "\" is not a number from 1 to " +
                     std::to_string(kMaxDeadlineMillis));
  }
  out.deadline = base::Millis(millis);
  return std::nullopt;
}

std::optional<Refusal> ReadHeaders(const http::HttpRequest& request,
                                   CallerRequest& out) {
  if (auto refusal = ReadToken(request, "Azurespur-Plan", out.plan)) {
    return refusal;
  }
  if (out.plan.empty()) {
    return Malformed("header Azurespur-Plan is missing");
  }
  if (auto refusal = ReadToken(request, "Azurespur-Key", out.key)) {
    return refusal;
  }
  if (auto refusal = ReadToken(request, "Azurespur-Request-Id", out.id)) {
    return refusal;
  }
  std::string marker;
  if (auto refusal = ReadToken(request, "Azurespur-Non-Idempotent", marker)) {
    return refusal;
  }
  if (!marker.empty() && marker != "0" && marker != "1") {
    return Malformed("header Azurespur-Non-Idempotent \"" + marker +
                     "\" is neither 0 nor 1");
  }
  out.idempotent = marker != "1";
  if (!out.idempotent && out.key.empty()) {
    return Malformed("a non-idempotent request needs header Azurespur-Key");
  }
  return ReadDeadline(request, out);
}

Refusal NoSuchResource(const http::HttpRequest& request) {
  Refusal refusal;
  refusal.status = 404;
  refusal.error = "no_such_resource";
  refusal.reason = request.method + " " + request.path + " is not served";
  return refusal;
}

}  // namespace

std::variant<CallerRequest, FateQuery, Refusal> Decode(
    http::HttpRequest request) {
  const std::string_view path = request.path;
  if (request.method == "POST" && path == kRequestsPath) {
    CallerRequest decoded;
    if (auto refusal = ReadHeaders(request, decoded)) {
      return *std::move(refusal);
    }
    decoded.body = std::move(request.body);
    return decoded;
  }
  const bool has_key = path.size() > kRequestsPath.size() + 1 &&
                       path.substr(0, kRequestsPath.size()) == kRequestsPath &&
                       path[kRequestsPath.size()] == '/';
  if (request.method == "GET" && has_key) {
    return FateQuery{http::UrlUnescape(path.substr(kRequestsPath.size() + 1))};
  }
  return NoSuchResource(request);
}

}  // namespace azurespur::filters
