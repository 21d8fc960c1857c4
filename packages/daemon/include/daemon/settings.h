// Settings of azurespurd: flags and AZURESPUR_* environment variables.

#ifndef DAEMON_SETTINGS_H_
#define DAEMON_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"

namespace azurespur::daemon {

struct Settings {
  std::string vm_id;
  std::string domain;
  base::Endpoint listen;
  base::Endpoint peer_listen;
  std::string log_url;
  std::string vm_list_url;
  base::Millis log_retention{600000};
  base::Millis log_append_interval{20};
  base::Millis log_timeout{1000};
  base::Millis vm_list_interval{500};
  base::Millis heartbeat_interval{200};
  base::Millis suspect_after{1000};
  base::Millis worker_lease{3000};
  base::Millis worker_renew_interval{1000};
  base::Millis worker_report_interval{500};
  base::Millis worker_timeout{1000};
  base::Millis drain_timeout{30000};
  base::Millis max_request_time{30000};
  size_t max_body_bytes = 1 << 20;
  unsigned caller_threads = 2;
  unsigned max_callers = 4096;
  long executor_connections = 8;  // As many as an executor has slots.
  bool check_only = false;
};

// What the command line asked for besides running: text for standard output
// and the exit code.
struct EarlyExit {
  int exit_code = 0;
  std::string text;
};

using SettingsOutcome = std::variant<Settings, EarlyExit>;

// Reads and checks flags, then environment variables for those not given. A
// wrong value gives exit code 2 and one line that names flag, value and what is
// allowed.
SettingsOutcome ParseSettings(int argc, const char* const* argv);

}  // namespace azurespur::daemon

#endif  // DAEMON_SETTINGS_H_
