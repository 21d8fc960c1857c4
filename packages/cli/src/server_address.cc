#include "server_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>

namespace azurespur::cli {

std::string CheckServerAddress(const std::string& address) {
  std::string wrong = "\"" + address + "\" is no IPv4:PORT";
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return wrong;
  }
  in_addr ip{};
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip) != 1) {
    return wrong;
  }
  uint16_t port = 0;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto [rest, error] = std::from_chars(begin, end, port);
  return error == std::errc() && rest == end && port != 0 ? "" : wrong;
}

}  // namespace azurespur::cli
