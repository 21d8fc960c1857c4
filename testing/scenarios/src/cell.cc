#include "scenario/cell.h"

#include <csignal>
#include <set>
#include <utility>

#include "free_port.h"

namespace azurespur::scenario {

namespace {

constexpr base::Millis kStartLimit{20'000};
constexpr std::chrono::milliseconds kCallTimeout{10'000};

base::Error Unknown(const std::string& what, const std::string& name) {
  return {base::ErrorCode::kNotFound, what + " \"" + name + "\" is unknown"};
}

// The domain in a VM name such as "w-luzon-a-01".
std::string DomainOf(const std::string& vm) {
  const size_t first = vm.find('-');
  const size_t last = vm.rfind('-');
  return first == last ? std::string() : vm.substr(first + 1, last - first - 1);
}

// The value of "name=value" in a log line.
std::string LogField(const std::string& line, const std::string& name) {
  const size_t begin = line.find(' ' + name + '=');
  if (begin == std::string::npos) {
    return "";
  }
  const size_t value = begin + name.size() + 2;
  return line.substr(value, line.find(' ', value) - value);
}

// Name of the relay's link from `domain` to a service of `to`.
std::string LinkName(const std::string& domain,
                     const std::string& to,
                     std::string_view service) {
  std::string link = domain;
  link += '/';
  link += to;
  link += service;
  return link;
}

}  // namespace

Cell::Cell(const CellOptions& options) : m_options(options) {}

base::Outcome<nlohmann::json> Cell::Call(const std::string& method,
                                         const std::string& url,
                                         const nlohmann::json& body) {
  http::HttpCall call;
  call.method = method;
  call.url = "http://" + url;
  call.body = body.is_null() ? "" : body.dump();
  call.timeout = kCallTimeout;
  const http::HttpResult result = m_client->Fetch(std::move(call));
  if (!base::Ok(result)) {
    return base::GetError(result);
  }
  const http::HttpResponse& response = base::Value(result);
  if (response.status != 200) {
    return base::Error{base::ErrorCode::kInvalid,
                       url + " answered " + std::to_string(response.status) +
                           ": " + response.body};
  }
  return nlohmann::json::parse(response.body, nullptr, false);
}

base::Outcome<ChildProcess*> Cell::StartStandin(const std::string& program,
                                                const std::string& name,
                                                Flags flags,
                                                const Flags& further) {
  std::vector<std::string> command = {m_options.programs + "/" + program};
  flags.insert({"seed", std::to_string(m_options.seed)});
  for (const auto& [flag, value] : further) {
    flags[flag] = value;
  }
  for (const auto& [flag, value] : flags) {
    if (!value.empty()) {
      command.push_back("--" + flag);
      command.push_back(value);
    }
  }
  auto process = std::make_unique<ChildProcess>();
  const auto started =
      process->Start(command, m_options.folder + "/" + name + ".log");
  if (!base::Ok(started)) {
    return base::GetError(started);
  }
  m_standins.push_back(std::move(process));
  return m_standins.back().get();
}

base::Outcome<std::string> Cell::StandinAddress(ChildProcess& process,
                                                const std::string& port_name) {
  const auto line =
      process.WaitForLine("READY " + port_name + " ", kStartLimit);
  if (!line) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "stand-in did not report port " + port_name};
  }
  return "127.0.0.1:" + line->substr(line->rfind(' ') + 1);
}

base::Outcome<base::Unit> Cell::Start() {
  base::Outcome<base::Unit> done = StartPlatform();
  for (const std::string& domain : m_options.domains) {
    if (base::Ok(done)) {
      done = StartDomain(domain);
    }
  }
  for (const std::string& domain : m_options.domains) {
    for (int64_t i = 1; i <= m_options.entries && base::Ok(done); ++i) {
      done = StartEntry("e-" + domain + "-" + std::to_string(i));
    }
  }
  return done;
}

base::Outcome<base::Unit> Cell::StartPlatform() {
  struct Part {
    std::string program;
    std::string port_name;
    Flags further;
    std::string* address;
  };
  const Part parts[] = {
      {"standin_log", "log", m_options.log_flags, &m_log},
      {"standin_vmlist", "vmlist", m_options.vm_list_flags, &m_vm_list},
      {"standin_relay", "relay-control", {}, &m_relay}};
  for (const Part& part : parts) {
    const bool seeded = part.program == "standin_log";
    auto process =
        StartStandin(part.program, part.program,
                     seeded ? Flags{} : Flags{{"seed", ""}}, part.further);
    if (!base::Ok(process)) {
      return base::GetError(process);
    }
    auto address = StandinAddress(*base::Value(process), part.port_name);
    if (!base::Ok(address)) {
      return base::GetError(address);
    }
    *part.address = base::Value(address);
  }
  return base::Unit{};
}

base::Outcome<base::Unit> Cell::StartDomain(const std::string& domain) {
  struct Link {
    std::string name;
    std::string target;
    std::string* address;
  };
  for (const Link& link :
       {Link{domain + "/log", m_log, &m_domain_log[domain]},
        Link{domain + "/vmlist", m_vm_list, &m_domain_vm_list[domain]}}) {
    auto address = PutLink(link.name, link.target);
    if (!base::Ok(address)) {
      return base::GetError(address);
    }
    *link.address = base::Value(address);
  }
  m_view_addresses[domain] = nlohmann::json::object();
  struct Fleet {
    std::string kind;
    std::string prefix;
    int64_t count;
    const Flags* further;
    std::string* control;
  };
  for (const Fleet& fleet :
       {Fleet{"workers", "w", m_options.workers, &m_options.worker_flags,
              &m_worker_control[domain]},
        Fleet{"executors", "x", m_options.executors, &m_options.executor_flags,
              &m_executor_control[domain]}}) {
    const std::string name = fleet.kind + "-" + domain;
    auto process =
        StartStandin("standin_" + fleet.kind, name,
                     {{"count", std::to_string(fleet.count)},
                      {"name-prefix", fleet.prefix + "-" + domain + "-"},
                      {"domain", domain},
                      {"vm-list-url", "http://" + m_vm_list},
                      {"journal", m_options.folder + "/" + name + ".jsonl"}},
                     *fleet.further);
    if (!base::Ok(process)) {
      return base::GetError(process);
    }
    auto address =
        StandinAddress(*base::Value(process), fleet.kind + "-control");
    if (!base::Ok(address)) {
      return base::GetError(address);
    }
    *fleet.control = base::Value(address);
  }
  return base::Unit{};
}

base::Outcome<base::Unit> Cell::StartEntry(const std::string& name) {
  const std::string domain = DomainOf(name);
  if (m_domain_log.count(domain) == 0) {
    return Unknown("failure domain of entry", name);
  }
  Flags flags = {{"vm-id", name},
                 {"domain", domain},
                 {"listen", "127.0.0.1:0"},
                 {"peer-listen", "127.0.0.1:" + std::to_string(FindFreePort())},
                 {"log-url", "http://" + m_domain_log[domain]},
                 {"vm-list-url",
                  "http://" + m_domain_vm_list[domain] + "/views/" + domain}};
  for (const auto& [flag, value] : m_options.daemon_flags) {
    flags[flag] = value;
  }
  std::vector<std::string> command = {m_options.programs + "/azurespurd"};
  for (const auto& [flag, value] : flags) {
    command.push_back("--" + flag);
    command.push_back(value);
  }
  Entry entry;
  entry.domain = domain;
  entry.process = std::make_unique<ChildProcess>();
  auto started =
      entry.process->Start(command, m_options.folder + "/" + name + ".log");
  if (!base::Ok(started)) {
    return started;
  }
  const auto line = entry.process->WaitForLine("AZ1001 ", kStartLimit);
  if (!line) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "entry " + name + " did not start"};
  }
  entry.address = "127.0.0.1:" + LogField(*line, "port");
  entry.peer_address = "127.0.0.1:" + LogField(*line, "peer_port");
  auto announced = Announce(name, entry);
  std::lock_guard<std::mutex> lock(m_mutex);
  m_entries[name] = std::move(entry);
  return announced;
}

// Other domains see the entry at the addresses of their links to it.
base::Outcome<base::Unit> Cell::Announce(const std::string& name,
                                         const Entry& entry) {
  for (const std::string& domain : m_options.domains) {
    if (domain == entry.domain) {
      continue;
    }
    auto http = PutLink(LinkName(domain, name, "/http"), entry.address);
    auto peer = PutLink(LinkName(domain, name, "/peer"), entry.peer_address);
    if (!base::Ok(http) || !base::Ok(peer)) {
      return base::GetError(base::Ok(http) ? peer : http);
    }
    m_view_addresses[domain][name] = {{"address", base::Value(http)},
                                      {"peer_address", base::Value(peer)}};
    const auto set = Call("PUT", m_vm_list + "/views/" + domain + "/addresses",
                          m_view_addresses[domain]);
    if (!base::Ok(set)) {
      return base::GetError(set);
    }
  }
  const auto put = Call("PUT", m_vm_list + "/vms/" + name,
                        {{"kind", "entry"},
                         {"address", entry.address},
                         {"peer_address", entry.peer_address},
                         {"domain", entry.domain}});
  if (!base::Ok(put)) {
    return base::GetError(put);
  }
  return base::Unit{};
}

base::Outcome<std::string> Cell::PutLink(const std::string& name,
                                         const std::string& target) {
  const auto answer = Call("PUT", m_relay + "/links/" + http::UrlEscape(name),
                           {{"listen", 0}, {"target", target}});
  if (!base::Ok(answer)) {
    return base::GetError(answer);
  }
  return "127.0.0.1:" + base::Value(answer)["port"].dump();
}

base::Outcome<base::Unit> Cell::SignalEntry(const std::string& name,
                                            int signal) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_entries.find(name);
  if (it == m_entries.end()) {
    return Unknown("entry", name);
  }
  it->second.process->Signal(signal);
  it->second.paused = signal == SIGSTOP;
  if (signal == SIGKILL) {
    it->second.process->Wait(kStartLimit);
  }
  return base::Unit{};
}

base::Outcome<int> Cell::StopEntry(const std::string& name,
                                   base::Millis limit) {
  ChildProcess* process = nullptr;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_entries.find(name);
    if (it == m_entries.end()) {
      return Unknown("entry", name);
    }
    process = it->second.process.get();
  }
  process->Signal(SIGTERM);
  const std::optional<int> code = process->Wait(limit);
  if (!code) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "entry " + name + " still runs " +
                           std::to_string(limit.count()) + " ms after SIGTERM"};
  }
  return *code;
}

base::Outcome<base::Unit> Cell::SetVmState(const std::string& vm,
                                           const std::string& state) {
  const std::string url = m_vm_list + "/vms/" + vm;
  const auto answer = state == "gone"
                          ? Call("DELETE", url, {})
                          : Call("POST", url + "/state", {{"state", state}});
  if (!base::Ok(answer)) {
    return base::GetError(answer);
  }
  return base::Unit{};
}

std::vector<std::string> Cell::LinksBetween(const std::string& from,
                                            const std::string& to) const {
  std::vector<std::string> links;
  const std::set<std::string> platform = {"log", "vmlist"};
  for (const std::string& domain : m_options.domains) {
    if (domain != from && from != "all") {
      continue;
    }
    for (const std::string& service : platform) {
      if (to == service || to == "platform") {
        links.push_back(LinkName(domain, service, ""));
      }
    }
    for (const auto& [name, entry] : m_entries) {
      if (entry.domain != domain && (entry.domain == to || to == "all")) {
        links.push_back(LinkName(domain, name, "/http"));
        links.push_back(LinkName(domain, name, "/peer"));
      }
    }
  }
  return links;
}

base::Outcome<base::Unit> Cell::SetCut(const std::string& from,
                                       const std::string& to,
                                       bool cut) {
  std::vector<std::string> links = LinksBetween(from, to);
  const std::vector<std::string> reverse = LinksBetween(to, from);
  links.insert(links.end(), reverse.begin(), reverse.end());
  if (links.empty()) {
    return Unknown("link", from + " - " + to);
  }
  for (const std::string& link : links) {
    const auto answer = Call(
        "POST", m_relay + "/links/" + http::UrlEscape(link), {{"cut", cut}});
    if (!base::Ok(answer)) {
      return base::GetError(answer);
    }
  }
  return base::Unit{};
}

base::Outcome<base::Unit> Cell::SetFaults(const std::string& target,
                                          const nlohmann::json& faults) {
  const std::string domain = DomainOf(target);
  std::string url;
  if (target == "log") {
    url = m_log;
  } else if (target == "vmlist") {
    url = m_vm_list;
  } else if (target[0] == 'w' && m_worker_control.count(domain) != 0) {
    url = m_worker_control[domain] + "/workers/" + target;
  } else if (target[0] == 'x' && m_executor_control.count(domain) != 0) {
    url = m_executor_control[domain] + "/executors/" + target;
  } else {
    return Unknown("target of faults", target);
  }
  const auto answer = Call("POST", url + "/faults", faults);
  if (!base::Ok(answer)) {
    return base::GetError(answer);
  }
  return base::Unit{};
}

base::Outcome<base::Unit> Cell::RestartWorker(const std::string& worker) {
  const auto answer = Call(
      "POST",
      m_worker_control[DomainOf(worker)] + "/workers/" + worker + "/restart",
      nlohmann::json::object());
  if (!base::Ok(answer)) {
    return base::GetError(answer);
  }
  return base::Unit{};
}

std::optional<std::string> Cell::EntryAddress(const std::string& name) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_entries.find(name);
  if (it == m_entries.end() || it->second.paused ||
      !it->second.process->Running()) {
    return std::nullopt;
  }
  return it->second.address;
}

std::vector<std::string> Cell::EntryNames() {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<std::string> names;
  for (const auto& [name, entry] : m_entries) {
    names.push_back(name);
  }
  return names;
}

std::optional<std::string> Cell::StopAll(base::Millis limit) {
  std::optional<std::string> failure;
  std::vector<std::string> running;
  for (const std::string& name : EntryNames()) {
    if (EntryAddress(name)) {
      running.push_back(name);
      SignalEntry(name, SIGTERM);
    }
  }
  for (const std::string& name : running) {
    const auto code = StopEntry(name, limit);
    if (failure) {
      continue;
    }
    if (!base::Ok(code)) {
      failure = base::GetError(code).message;
    } else if (base::Value(code) != 0) {
      failure =
          "entry " + name + " exited with " + std::to_string(base::Value(code));
    }
  }
  for (const auto& process : m_standins) {
    process->Signal(SIGTERM);
  }
  for (const auto& process : m_standins) {
    process->Wait(limit);
  }
  return failure;
}

std::vector<std::string> Cell::JournalFiles() const {
  std::vector<std::string> files;
  for (const std::string& domain : m_options.domains) {
    files.push_back(m_options.folder + "/workers-" + domain + ".jsonl");
    files.push_back(m_options.folder + "/executors-" + domain + ".jsonl");
  }
  return files;
}

}  // namespace azurespur::scenario
