#include <doctest/doctest.h>

#include "base/endpoint.h"
#include "base/setting_name.h"

namespace azurespur::base {

TEST_CASE("an endpoint is an IPv4 address and a port") {
  const auto endpoint = ParseEndpoint("127.0.0.1:8080");
  REQUIRE(endpoint.has_value());
  CHECK(endpoint->address == "127.0.0.1");
  CHECK(endpoint->port == 8080);
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "localhost:1",
                           "127.0.0.1:65536", "127.0.0.1:1x", ":1"}) {
    CHECK_FALSE(ParseEndpoint(text).has_value());
  }
}

TEST_CASE("a flag has an environment variable") {
  CHECK(EnvironmentName("--log-url") == "AZURESPUR_LOG_URL");
}

}  // namespace azurespur::base
