#include "base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace azurespur::base {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [rest, error] = std::from_chars(port.data(), end, endpoint.port);
  if (error != std::errc() || rest != end || port.empty()) {
    return std::nullopt;
  }
  return endpoint;
}

}  // namespace azurespur::base
