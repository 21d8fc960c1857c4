#include "decode.h"

#include <doctest/doctest.h>

namespace azurespur::filters {

namespace {

http::HttpRequest Post(std::vector<http::HttpField> headers) {
  http::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/requests";
  request.headers = std::move(headers);
  request.body = "{}";
  return request;
}

int RefusedStatus(http::HttpRequest request) {
  const auto decoded = Decode(std::move(request));
  const auto* refusal = std::get_if<Refusal>(&decoded);
  return refusal != nullptr ? refusal->status : 0;
}

}  // namespace

TEST_CASE("Decode accepts a request with all headers") {
  const auto decoded = Decode(Post({{"azurespur-plan", "gold"},
                                    {"Azurespur-Key", "k1"},
                                    {"Azurespur-Non-Idempotent", "1"},
                                    {"Azurespur-Deadline-Ms", "250"},
                                    {"Azurespur-Request-Id", "r1"}}));
  const auto& request = std::get<CallerRequest>(decoded);
  CHECK(request.plan == "gold");
  CHECK(request.key == "k1");
  CHECK_FALSE(request.idempotent);
  CHECK(request.deadline == base::Millis(250));
  CHECK(request.id == "r1");
}

TEST_CASE("Decode rejects malformed requests") {
  CHECK(RefusedStatus(Post({})) == 400);
  CHECK(RefusedStatus(Post({{"Azurespur-Plan", "a b"}})) == 400);
  CHECK(RefusedStatus(Post({{"Azurespur-Plan", std::string(201, 'x')}})) ==
        400);
  CHECK(RefusedStatus(Post({{"Azurespur-Plan", "gold"},
                            {"Azurespur-Non-Idempotent", "1"}})) == 400);
  CHECK(RefusedStatus(Post({{"Azurespur-Plan", "gold"},
                            {"Azurespur-Non-Idempotent", "yes"}})) == 400);
  for (const char* deadline : {"-1", "0", "1s", "99999999999999999999"}) {
    CHECK(RefusedStatus(Post({{"Azurespur-Plan", "gold"},
                              {"Azurespur-Deadline-Ms", deadline}})) == 400);
  }
  http::HttpRequest wrong = Post({{"Azurespur-Plan", "gold"}});
  wrong.method = "PUT";
  CHECK(RefusedStatus(wrong) == 404);
}

TEST_CASE("Decode accepts a fate query") {
  http::HttpRequest request;
  request.method = "GET";
  request.path = "/v1/requests/a%2Fb";
  const auto decoded = Decode(std::move(request));
  CHECK(std::get<FateQuery>(decoded).key == "a/b");
}

}  // namespace azurespur::filters
