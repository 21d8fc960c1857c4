// The processes of one cell: stand-ins, relay and entry VMs, and the links
// between them.

#ifndef SCENARIO_CELL_H_
#define SCENARIO_CELL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/outcome.h"
#include "http/http_client.h"
#include "scenario/cell_options.h"
#include "scenario/child_process.h"

namespace azurespur::scenario {

// Every daemon reaches the platform and the other domains through relay links
// named "DOMAIN/log", "DOMAIN/vmlist" and "DOMAIN/ENTRY/http|peer".
class Cell {
 public:
  explicit Cell(const CellOptions& options);
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  // Starts everything. Entries are named "e-DOMAIN-N", workers "w-DOMAIN-NN",
  // executors "x-DOMAIN-NN".
  base::Outcome<base::Unit> Start();

  base::Outcome<base::Unit> StartEntry(const std::string& name);

  // Sends SIGKILL, SIGSTOP or SIGCONT. Errors: kNotFound.
  base::Outcome<base::Unit> SignalEntry(const std::string& name, int signal);

  // Sends SIGTERM and waits for the exit code.
  base::Outcome<int> StopEntry(const std::string& name, base::Millis limit);

  // Changes the VM list: state "live", "leaving" or "gone".
  base::Outcome<base::Unit> SetVmState(const std::string& vm,
                                       const std::string& state);

  // Cuts or heals the links between two domains, or of a domain with "log",
  // "vmlist" or "platform" (both). "all" stands for every domain.
  base::Outcome<base::Unit> SetCut(const std::string& from,
                                   const std::string& to,
                                   bool cut);

  // Sets faults of "log", "vmlist", a worker or an executor.
  base::Outcome<base::Unit> SetFaults(const std::string& target,
                                      const nlohmann::json& faults);

  base::Outcome<base::Unit> RestartWorker(const std::string& worker);

  // "IP:PORT" of a running entry, its own and not a link's.
  std::optional<std::string> EntryAddress(const std::string& name);
  std::vector<std::string> EntryNames();

  // Ends the stand-ins. Entries that run get SIGTERM; returns the first that
  // did not exit with 0, if any.
  std::optional<std::string> StopAll(base::Millis limit);

  // Journals that the stand-ins wrote.
  std::vector<std::string> JournalFiles() const;

  http::HttpClient& client() { return *m_client; }

 private:
  struct Entry {
    std::string domain;
    std::unique_ptr<ChildProcess> process;
    std::string address;
    std::string peer_address;
    bool paused = false;
  };

  using Flags = std::map<std::string, std::string>;

  base::Outcome<ChildProcess*> StartStandin(const std::string& program,
                                            const std::string& name,
                                            Flags flags,
                                            const Flags& further);
  base::Outcome<std::string> StandinAddress(ChildProcess& process,
                                            const std::string& port_name);
  base::Outcome<base::Unit> StartPlatform();
  base::Outcome<base::Unit> StartDomain(const std::string& domain);
  base::Outcome<std::string> PutLink(const std::string& name,
                                     const std::string& target);
  base::Outcome<base::Unit> Announce(const std::string& name,
                                     const Entry& entry);
  std::vector<std::string> LinksBetween(const std::string& from,
                                        const std::string& to) const;
  base::Outcome<nlohmann::json> Call(const std::string& method,
                                     const std::string& url,
                                     const nlohmann::json& body);

  const CellOptions m_options;
  std::unique_ptr<http::HttpClient> m_client = http::StartHttpClient();
  std::vector<std::unique_ptr<ChildProcess>> m_standins;
  std::string m_log;  // Addresses, "IP:PORT".
  std::string m_vm_list;
  std::string m_relay;
  std::map<std::string, std::string> m_domain_log;  // Links, by domain.
  std::map<std::string, std::string> m_domain_vm_list;
  std::map<std::string, std::string> m_worker_control;
  std::map<std::string, std::string> m_executor_control;
  std::map<std::string, nlohmann::json> m_view_addresses;
  std::mutex m_mutex;  // Guards m_entries, which the list sampler reads.
  std::map<std::string, Entry> m_entries;
};

}  // namespace azurespur::scenario

#endif  // SCENARIO_CELL_H_
