#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>

#include "http/http_client.h"
#include "http/http_server.h"
#include "services/vm_list.h"

namespace azurespur::services {

TEST_CASE("an unchanged VM list is not sent again") {
  std::atomic<int> whole{0};
  auto server = base::Value(http::StartHttpServer(
      {}, [&](http::HttpRequest request,
              const std::shared_ptr<http::HttpReply>& reply) {
        http::HttpResponse response;
        response.headers.push_back({"ETag", "\"7\""});
        if (http::FindField(request.headers, "If-None-Match") == "\"7\"") {
          response.status = 304;
        } else {
          ++whole;
          response.body = R"({"version":7,"vms":[{"id":"w1","kind":"worker"},)"
                          R"({"id":"x","kind":"later-kind"}]})";
        }
        reply->Send(std::move(response));
      }));
  auto client = http::StartHttpClient();
  auto list = MakeHttpVmList(
      *client, "http://127.0.0.1:" + std::to_string(server->port()));
  const auto first = list->Fetch();
  const auto second = list->Fetch();
  REQUIRE(base::Ok(first));
  REQUIRE(base::Ok(second));
  CHECK(base::Value(first)->version == 7);
  CHECK(base::Value(first)->vms.size() == 1);
  CHECK(base::Value(first) == base::Value(second));
  CHECK(whole == 1);
}

}  // namespace azurespur::services
