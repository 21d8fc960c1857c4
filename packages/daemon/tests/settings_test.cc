#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "daemon/settings.h"

namespace azurespur::daemon {

namespace {

SettingsOutcome Parse(const std::vector<const char*>& extra) {
  std::vector<const char*> argv = {"azurespurd",
                                   "--vm-id",
                                   "e1",
                                   "--domain",
                                   "luzon-a",
                                   "--listen",
                                   "127.0.0.1:0",
                                   "--peer-listen",
                                   "127.0.0.1:0",
                                   "--log-url",
                                   "http://127.0.0.1:1",
                                   "--vm-list-url",
                                   "http://127.0.0.1:2"};
  argv.insert(argv.end(), extra.begin(), extra.end());
  return ParseSettings(static_cast<int>(argv.size()), argv.data());
}

// The line printed for wrong settings; it must name everything in `parts`.
void CheckRefused(const std::vector<const char*>& extra,
                  const std::vector<std::string>& parts) {
  const SettingsOutcome outcome = Parse(extra);
  REQUIRE(std::holds_alternative<EarlyExit>(outcome));
  const EarlyExit& exit = std::get<EarlyExit>(outcome);
  CHECK(exit.exit_code == 2);
  for (const std::string& part : parts) {
    CAPTURE(exit.text);
    CHECK(exit.text.find(part) != std::string::npos);
  }
}

}  // namespace

TEST_CASE("settings come from flags, then from the environment") {
  setenv("AZURESPUR_WORKER_LEASE_MS", "9000", 1);
  const SettingsOutcome outcome = Parse({});
  unsetenv("AZURESPUR_WORKER_LEASE_MS");
  REQUIRE(std::holds_alternative<Settings>(outcome));
  CHECK(std::get<Settings>(outcome).worker_lease == base::Millis{9000});
  CHECK(std::get<Settings>(outcome).listen.address == "127.0.0.1");
}

TEST_CASE("a wrong setting names flag, value and what is allowed") {
  CheckRefused({"--worker-lease-ms", "5"}, {"--worker-lease-ms", "5", "200"});
  CheckRefused({"--worker-lease-ms", "x"}, {"--worker-lease-ms", "x"});
  CheckRefused({"--caller-threads", "0"}, {"--caller-threads", "0", "1"});
  CheckRefused({"--no-such-flag"}, {"--no-such-flag"});
  CheckRefused({"--worker-lease-ms", "1000"},
               {"--worker-renew-interval-ms", "1000", "third"});
}

TEST_CASE("wrong addresses and names are refused") {
  const std::vector<const char*> argv = {"azurespurd", "--vm-id", "E 1"};
  const SettingsOutcome outcome =
      ParseSettings(static_cast<int>(argv.size()), argv.data());
  REQUIRE(std::holds_alternative<EarlyExit>(outcome));
  CHECK(std::get<EarlyExit>(outcome).exit_code == 2);
  CHECK(std::get<EarlyExit>(outcome).text.find("--vm-id") != std::string::npos);
}

}  // namespace azurespur::daemon
