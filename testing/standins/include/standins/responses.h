// Small helpers for answers and paths.

#ifndef STANDINS_RESPONSES_H_
#define STANDINS_RESPONSES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_message.h"

namespace azurespur::standins {

http::HttpResponse JsonResponse(std::string body);

// `{"error":MESSAGE}` with the given status.
http::HttpResponse ErrorResponse(int status, std::string_view message);

http::HttpResponse UnknownPath(const http::HttpRequest& request);

// The unescaped segments of "/a/b/c".
std::vector<std::string> PathSegments(std::string_view path);

// Reads a non-negative query number; nullopt where it is malformed.
std::optional<int64_t> QueryNumber(const http::HttpRequest& request,
                                   std::string_view name,
                                   int64_t default_value);

}  // namespace azurespur::standins

#endif  // STANDINS_RESPONSES_H_
