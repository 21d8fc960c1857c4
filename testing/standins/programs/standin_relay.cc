// TCP and UDP relay that cuts failure domains off from each other and from the
// platform.

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "standins/program.h"
#include "standins/relay.h"
#include "standins/server.h"

using namespace azurespur;

namespace {

constexpr unsigned kThreads = 2;
constexpr unsigned kMaxConnections = 256;

// Opens the link "NAME=IP:PORT". Returns the message of a failure.
std::string OpenLink(standins::Relay& relay, const std::string& text) {
  const size_t equals = text.find('=');
  if (equals == std::string::npos) {
    return "--link: \"" + text + "\" is no NAME=IP:PORT";
  }
  const std::string name = text.substr(0, equals);
  const auto port = relay.SetLink(name, 0, text.substr(equals + 1));
  if (!base::Ok(port)) {
    return "--link: " + base::GetError(port).message;
  }
  standins::PrintReady(name, base::Value(port));
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  standins::BlockStopSignals();
  CLI::App app("Relay with links that can be cut and slowed down");
  uint16_t control_port = 0;
  std::vector<std::string> links;
  app.add_option("--control-port", control_port, "0 picks one");
  app.add_option("--link", links, "NAME=IP:PORT of the target; repeatable");
  CLI11_PARSE(app, argc, argv);

  standins::Relay relay;
  for (const std::string& link : links) {
    const std::string failure = OpenLink(relay, link);
    if (!failure.empty()) {
      return standins::FailStart(failure);
    }
  }
  auto server = standins::StartServer(kThreads);
  if (!base::Ok(server)) {
    return standins::FailStart(base::GetError(server).message);
  }
  const auto control = base::Value(server)->Listen(
      control_port, kMaxConnections,
      [&](auto request, auto reply) { relay.HandleControl(request, *reply); });
  if (!base::Ok(control)) {
    return standins::FailStart(base::GetError(control).message);
  }
  standins::PrintReady("relay-control", base::Value(control));
  standins::WaitForStop();
  return 0;
}
