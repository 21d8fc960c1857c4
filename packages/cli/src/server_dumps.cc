#include "server_dumps.h"

#include <utility>

#include "api_client.h"

namespace azurespur::cli {

std::vector<ServerDump> FetchDumps(ApiClient& api) {
  std::vector<ServerDump> dumps;
  for (const std::string& server : api.servers()) {
    ServerDump dump;
    dump.server = server;
    ApiCall call;
    call.path = "/dump";
    base::Outcome<ApiAnswer> answer = api.CallServer(server, call);
    if (!base::Ok(answer)) {
      dump.error = base::GetError(answer).message;
    } else if (!base::Value(answer).body.is_object()) {
      dump.error = "answer to GET /dump is no JSON object";
    } else {
      dump.state = std::move(base::Value(answer).body);
    }
    dumps.push_back(std::move(dump));
  }
  return dumps;
}

}  // namespace azurespur::cli
