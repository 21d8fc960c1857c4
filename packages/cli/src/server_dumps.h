// State dumps of all servers.

#ifndef CLI_SERVER_DUMPS_H_
#define CLI_SERVER_DUMPS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace azurespur::cli {

class ApiClient;

struct ServerDump {
  std::string server;
  nlohmann::json state;
  std::string error;  // Empty if the server answered.
};

// One for each server, in the order given.
std::vector<ServerDump> FetchDumps(ApiClient& api);

}  // namespace azurespur::cli

#endif  // CLI_SERVER_DUMPS_H_
