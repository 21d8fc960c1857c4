// An address of a socket in settings: "IPv4:PORT".

#ifndef BASE_ENDPOINT_H_
#define BASE_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azurespur::base {

struct Endpoint {
  std::string address;  // IPv4 literal.
  uint16_t port = 0;
};

// Empty unless `text` is "IPv4:PORT" with a port of 0 to 65535.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace azurespur::base

#endif  // BASE_ENDPOINT_H_
