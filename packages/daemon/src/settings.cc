#include "daemon/settings.h"

#include <CLI/CLI.hpp>
#include <string_view>

#include "base/endpoint.h"
#include "base/setting_name.h"

namespace azurespur::daemon {

namespace {

constexpr int kExitUsage = 2;

// Names of VMs and failure domains stand in paths and ids.
const CLI::Validator kName(
    [](const std::string& text) -> std::string {
      const bool ok =
          !text.empty() && text.size() <= 64 &&
          text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789.-") ==
              std::string::npos;
      return ok ? std::string()
                : "\"" + text +
                      "\" is not allowed: 1 to 64 of a-z, 0-9, . and -";
    },
    "NAME");

const CLI::Validator kEndpoint(
    [](const std::string& text) -> std::string {
      return base::ParseEndpoint(text)
                 ? std::string()
                 : "\"" + text +
                       "\" is not allowed: IPv4:PORT, PORT 0 to 65535";
    },
    "IPv4:PORT");

const CLI::Validator kUrl(
    [](const std::string& text) -> std::string {
      constexpr std::string_view kScheme = "http://";
      const bool ok = text.rfind(kScheme, 0) == 0 &&
                      text.size() > kScheme.size() && text.back() != '/';
      return ok ? std::string()
                : "\"" + text +
                      "\" is not allowed: http://IP:PORT[/PATH], no / at the "
                      "end";
    },
    "URL");

// Defines the flags over one Settings value.
class Parser {
 public:
  Parser() : m_app("azurespurd: one entry VM of the azurespur scheduler") {
    m_app.set_version_flag("--version", AZURESPUR_VERSION);
    AddIdentity();
    AddPlatform();
    AddTiming();
    AddLimits();
    m_app.add_flag("--check-settings", m_settings.check_only,
                   "Check the settings and exit");
  }

  SettingsOutcome Parse(int argc, const char* const* argv) {
    try {
      m_app.parse(argc, argv);
    } catch (const CLI::CallForHelp&) {
      return EarlyExit{0, m_app.help()};
    } catch (const CLI::CallForVersion&) {
      return EarlyExit{0, std::string("azurespurd ") + AZURESPUR_VERSION};
    } catch (const CLI::ParseError& error) {
      return EarlyExit{kExitUsage, std::string("azurespurd: ") + error.what()};
    }
    // The validators have parsed both before.
    m_settings.listen = *base::ParseEndpoint(m_listen);
    m_settings.peer_listen = *base::ParseEndpoint(m_peer_listen);
    return CheckTogether();
  }

 private:
  template <typename T>
  CLI::Option* Add(const std::string& flag, T& value, const std::string& help) {
    return m_app.add_option(flag, value, help)
        ->envname(base::EnvironmentName(flag))
        ->capture_default_str();
  }

  void AddMillis(const std::string& flag,
                 base::Millis& value,
                 int64_t low,
                 int64_t high,
                 const std::string& help) {
    m_app
        .add_option_function<int64_t>(
            flag, [&value](int64_t ms) { value = base::Millis{ms}; }, help)
        ->envname(base::EnvironmentName(flag))
        ->check(CLI::Range(low, high))
        ->default_str(std::to_string(value.count()));
  }

  void AddIdentity() {
    Add("--vm-id", m_settings.vm_id, "Name of this VM, as on the VM list")
        ->required()
        ->check(kName);
    Add("--domain", m_settings.domain, "Failure domain of this VM")
        ->required()
        ->check(kName);
    Add("--listen", m_listen, "Address for callers and operators")
        ->required()
        ->check(kEndpoint);
    Add("--peer-listen", m_peer_listen, "UDP and TCP address for peers")
        ->required()
        ->check(kEndpoint);
  }

  void AddPlatform() {
    Add("--log-url", m_settings.log_url, "Base URL of the log service")
        ->required()
        ->check(kUrl);
    Add("--vm-list-url", m_settings.vm_list_url, "Base URL of the VM list")
        ->required()
        ->check(kUrl);
    AddMillis("--log-retention-ms", m_settings.log_retention, 1000, 2592000000,
              "Least time that the log service keeps records");
    AddMillis("--log-append-interval-ms", m_settings.log_append_interval, 1,
              10000, "Least time between appends to one stream");
    AddMillis("--log-timeout-ms", m_settings.log_timeout, 10, 60000,
              "Time until a call of the log service has failed");
    AddMillis("--vm-list-interval-ms", m_settings.vm_list_interval, 10, 60000,
              "Time between reads of the VM list");
  }

  void AddTiming() {
    AddMillis("--heartbeat-interval-ms", m_settings.heartbeat_interval, 10,
              10000, "Time between heartbeats in the failure domain");
    AddMillis("--suspect-after-ms", m_settings.suspect_after, 50, 60000,
              "Silence after which a peer is suspected");
    AddMillis("--worker-lease-ms", m_settings.worker_lease, 200, 600000,
              "Lease of tasks and markers on workers");
    AddMillis("--worker-renew-interval-ms", m_settings.worker_renew_interval,
              20, 60000, "Time between renewals of leases");
    AddMillis("--worker-report-interval-ms", m_settings.worker_report_interval,
              20, 60000, "Time between reads of a worker's report");
    AddMillis("--worker-timeout-ms", m_settings.worker_timeout, 10, 60000,
              "Time until a call of a worker has failed");
    AddMillis("--drain-timeout-ms", m_settings.drain_timeout, 0, 3600000,
              "Longest wait for running requests at a planned stop");
    AddMillis("--max-request-time-ms", m_settings.max_request_time, 10, 3600000,
              "Longest time that an executor works on a request");
  }

  void AddLimits() {
    Add("--max-body-bytes", m_settings.max_body_bytes,
        "Largest request body, in bytes")
        ->check(CLI::Range(1024, 64 << 20));
    Add("--caller-threads", m_settings.caller_threads,
        "Threads that read callers' requests")
        ->check(CLI::Range(1, 64));
    Add("--max-callers", m_settings.max_callers, "Open caller connections")
        ->check(CLI::Range(1, 100000));
    Add("--executor-connections", m_settings.executor_connections,
        "Connections to one executor")
        ->check(CLI::Range(1, 64));
  }

  SettingsOutcome CheckTogether() const {
    const Settings& s = m_settings;
    if (s.worker_renew_interval * 3 > s.worker_lease) {
      return EarlyExit{
          kExitUsage,
          "azurespurd: --worker-renew-interval-ms: " +
              std::to_string(s.worker_renew_interval.count()) +
              " is not allowed: at most a third of --worker-lease-ms (" +
              std::to_string(s.worker_lease.count()) + ")"};
    }
    if (s.suspect_after < s.heartbeat_interval * 2) {
      return EarlyExit{
          kExitUsage,
          "azurespurd: --suspect-after-ms: " +
              std::to_string(s.suspect_after.count()) +
              " is not allowed: at least twice --heartbeat-interval-ms (" +
              std::to_string(s.heartbeat_interval.count()) + ")"};
    }
    return s;
  }

  CLI::App m_app;
  Settings m_settings;
  std::string m_listen;
  std::string m_peer_listen;
};

}  // namespace

SettingsOutcome ParseSettings(int argc, const char* const* argv) {
  return Parser().Parse(argc, argv);
}

}  // namespace azurespur::daemon
