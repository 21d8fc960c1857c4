#include "daemon/daemon.h"

#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/wakeup.h"
#include "control/list_api.h"
#include "control/list_ledger.h"
#include "control/list_reporter.h"
#include "control/list_service.h"
#include "control/log_channel.h"
#include "control/peer_service.h"
#include "control/proposal_board.h"
#include "control/task_api.h"
#include "control/task_ledger.h"
#include "control/task_service.h"
#include "control/vm_poller.h"
#include "filters/once_ledger.h"
#include "filters/request_service.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "log_streams.h"
#include "services/executor_client.h"
#include "services/log_service.h"
#include "services/vm_list.h"
#include "services/worker_client.h"

namespace azurespur::daemon {

namespace {

constexpr base::Millis kBootstrapPause{300};
constexpr base::Millis kDrainPoll{20};
// Streams expected to be read at once; the rest of a client's connections.
constexpr long kPlatformConnections = 16;
constexpr long kWorkerConnections = 8;
constexpr size_t kMailboxMessages = 8192;
// Tasks outlive the takeover of their worker: see docs/design/ownership.md.
constexpr int kTaskLeaseFactor = 5;
// Late accept records count for this part of the retention at most.
constexpr int64_t kRecordValidityShare = 4;
// Refresh ages of VMs differ, so that one VM mostly writes for all.
constexpr int kRefreshSpread = 16;

http::HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  http::HttpResponse response;
  response.status = status;
  response.body = body.dump();
  response.body += '\n';
  return response;
}

http::HttpClientOptions ClientOptions(long connections) {
  http::HttpClientOptions options;
  options.max_connections_per_host = connections;
  return options;
}

control::PeerBusOptions PeerOptions(const Settings& settings,
                                    uint64_t incarnation) {
  control::PeerBusOptions options;
  options.vm_id = settings.vm_id;
  options.domain = settings.domain;
  options.incarnation = incarnation;
  options.address = settings.peer_listen.address;
  options.port = settings.peer_listen.port;
  options.heartbeat_interval = settings.heartbeat_interval;
  options.suspect_after = settings.suspect_after;
  return options;
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(const Settings& settings);
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { StopThreads(); }

  base::Outcome<base::Unit> Start();
  bool Shutdown();

 private:
  control::LogChannelOptions StreamOptions(const std::string& stream) const;
  filters::RequestServiceDeps RequestDeps();
  control::TaskLedgerOptions TaskLedgerSettings() const;
  control::TaskServiceDeps TaskDeps();
  void Bootstrap();
  void Route(http::HttpRequest request,
             const std::shared_ptr<http::HttpReply>& reply);
  bool RouteOperators(const http::HttpRequest& request, http::HttpReply& reply);
  bool Ready() const;
  bool HasLists() const;
  nlohmann::json Dump();
  void StopThreads();

  const Settings m_settings;
  const base::Clock& m_clock = base::SystemClock();
  // Later starts of a VM have a higher number; the VM itself keeps nothing.
  const uint64_t m_incarnation = static_cast<uint64_t>(m_clock.WallMillis());
  const std::string m_writer =
      m_settings.vm_id + "/" + std::to_string(m_incarnation);
  const base::MonoTime m_started = m_clock.Now();
  base::Metrics m_metrics;

  std::unique_ptr<http::HttpClient> m_platform_http =
      http::StartHttpClient(ClientOptions(kPlatformConnections));
  std::unique_ptr<http::HttpClient> m_executor_http =
      http::StartHttpClient(ClientOptions(m_settings.executor_connections));
  std::unique_ptr<http::HttpClient> m_worker_http =
      http::StartHttpClient(ClientOptions(kWorkerConnections));
  std::unique_ptr<services::LogService> m_log;
  std::unique_ptr<services::VmList> m_vm_list;
  std::unique_ptr<services::ExecutorClient> m_executors;
  std::unique_ptr<services::WorkerClient> m_workers;

  control::VmPoller m_vms;
  std::unique_ptr<control::PeerService> m_peers;

  control::ListLedger m_list_ledger;
  filters::OnceLedger m_once_ledger;
  control::TaskLedger m_task_ledger;
  LogStreams m_streams;
  control::LogChannel& m_lists_channel;
  control::LogChannel& m_once_channel;
  control::LogChannel& m_tasks_channel;

  control::ListService m_list_service;
  control::ListReporter m_list_reporter;
  control::ListApi m_list_api;
  control::ProposalBoard m_proposals;
  filters::RequestService m_requests;
  control::TaskService m_tasks;
  control::TaskApi m_task_api;

  std::unique_ptr<http::HttpServer> m_server;
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_stopping{false};
  base::Wakeup m_stop_signal;
  std::thread m_bootstrap;
};

Daemon::Impl::Impl(const Settings& settings)
    : m_settings(settings),
      m_log(services::MakeHttpLogService(*m_platform_http,
                                         settings.log_url,
                                         settings.log_timeout)),
      m_vm_list(
          services::MakeHttpVmList(*m_platform_http, settings.vm_list_url)),
      m_executors(services::MakeHttpExecutorClient(*m_executor_http)),
      m_workers(services::MakeHttpWorkerClient(*m_worker_http,
                                               settings.worker_timeout)),
      m_vms(*m_vm_list, m_clock, settings.vm_list_interval),
      m_peers(control::MakePeerService(PeerOptions(settings, m_incarnation),
                                       m_vms,
                                       m_clock,
                                       m_metrics)),
      m_list_ledger(m_clock),
      m_once_ledger(settings.log_retention),
      m_task_ledger(TaskLedgerSettings()),
      m_streams(*m_log, m_clock, m_metrics),
      m_lists_channel(m_streams.Add(StreamOptions("lists"), m_list_ledger)),
      m_once_channel(m_streams.Add(StreamOptions("once"), m_once_ledger)),
      m_tasks_channel(m_streams.Add(StreamOptions("tasks"), m_task_ledger)),
      m_list_service({.writer = m_writer},
                     m_lists_channel,
                     m_list_ledger,
                     m_clock),
      m_list_reporter({.vm = settings.vm_id, .domain = settings.domain},
                      *m_peers,
                      m_vms,
                      m_list_ledger,
                      m_clock),
      m_list_api(m_list_service, m_list_ledger, m_list_reporter),
      m_proposals(m_lists_channel, m_list_ledger, m_clock),
      m_requests(RequestDeps()),
      m_tasks(TaskDeps()),
      m_task_api(m_tasks, m_list_ledger) {
  m_streams.ServePeers(settings.domain, *m_peers);
}

control::LogChannelOptions Daemon::Impl::StreamOptions(
    const std::string& stream) const {
  control::LogChannelOptions options;
  options.stream = stream;
  options.writer = m_writer;
  options.append_interval = m_settings.log_append_interval;
  options.retention = m_settings.log_retention;
  const auto spread = static_cast<int64_t>(
      std::hash<std::string>{}(m_settings.vm_id) % kRefreshSpread);
  options.refresh_age = options.retention / 2 +
                        options.retention * spread / (8L * kRefreshSpread);
  return options;
}

filters::RequestServiceDeps Daemon::Impl::RequestDeps() {
  filters::RequestServiceOptions options;
  options.max_run = m_settings.max_request_time;
  options.once_retention = m_settings.log_retention;
  return {m_list_ledger,
          m_vms,
          *m_peers,
          m_once_channel,
          m_once_ledger,
          *m_executors,
          m_clock,
          m_metrics,
          {m_settings.vm_id, m_settings.domain, m_incarnation},
          options};
}

control::TaskLedgerOptions Daemon::Impl::TaskLedgerSettings() const {
  control::TaskLedgerOptions options;
  options.fate_retention_ms = m_settings.log_retention.count();
  options.record_validity_ms = options.fate_retention_ms / kRecordValidityShare;
  return options;
}

control::TaskServiceDeps Daemon::Impl::TaskDeps() {
  control::TaskServiceOptions options;
  control::WorkerFleetOptions& fleet = options.fleet;
  fleet.ownership.lease = m_settings.worker_lease;
  fleet.ownership.settle = m_settings.worker_lease;
  fleet.ownership.renew_interval = m_settings.worker_renew_interval;
  fleet.task_lease = m_settings.worker_lease * kTaskLeaseFactor;
  fleet.task_renew_interval = m_settings.worker_renew_interval;
  options.mailbox_size = kMailboxMessages;
  fleet.report_interval = m_settings.worker_report_interval;
  return {m_tasks_channel,
          m_task_ledger,
          *m_peers,
          m_vms,
          m_list_ledger,
          *m_workers,
          m_clock,
          m_metrics,
          {m_settings.vm_id, m_settings.domain, m_incarnation},
          options,
          &m_proposals};
}

base::Outcome<base::Unit> Daemon::Impl::Start() {
  http::HttpServerOptions options;
  options.address = m_settings.listen.address;
  options.port = m_settings.listen.port;
  options.threads = m_settings.caller_threads;
  options.max_body_bytes = m_settings.max_body_bytes;
  options.max_connections = m_settings.max_callers;
  auto server = http::StartHttpServer(
      options, [this](http::HttpRequest request,
                      const std::shared_ptr<http::HttpReply>& reply) {
        Route(std::move(request), reply);
      });
  if (!base::Ok(server)) {
    return base::GetError(server);
  }
  m_server = base::Value(std::move(server));
  base::Outcome<base::Unit> peers = m_peers->Start();
  if (!base::Ok(peers)) {
    return peers;
  }
  m_list_reporter.Start();
  m_requests.Start();
  m_tasks.Start();
  m_bootstrap = std::thread([this] { Bootstrap(); });
  base::LogEvent(base::Severity::kInfo, "AZ1001", "started",
                 {{"vm", m_settings.vm_id},
                  {"domain", m_settings.domain},
                  {"port", std::to_string(m_server->port())},
                  {"peer_port", std::to_string(m_peers->port())},
                  {"incarnation", std::to_string(m_incarnation)}});
  return base::Unit{};
}

// Starts the log streams as soon as the log or a peer gives their state.
void Daemon::Impl::Bootstrap() {
  bool reported = false;
  while (!m_stopping.load()) {
    if (m_streams.TryStart()) {
      base::LogEvent(base::Severity::kInfo, "AZ1002", "log streams started");
      return;
    }
    if (!reported) {
      reported = true;
      base::LogEvent(base::Severity::kWarning, "AZ1003",
                     "platform not reachable; not ready until the log service "
                     "or a peer answers",
                     {{"log_url", m_settings.log_url}});
    }
    m_stop_signal.Wait(kBootstrapPause);
  }
}

void Daemon::Impl::Route(http::HttpRequest request,
                         const std::shared_ptr<http::HttpReply>& reply) {
  constexpr std::string_view kRequests = "/v1/requests";
  if (request.path.rfind(kRequests, 0) == 0) {
    m_requests.Handle(std::move(request), reply);
    return;
  }
  if (m_list_api.Handle(request, reply) || m_task_api.Handle(request, reply) ||
      RouteOperators(request, *reply)) {
    return;
  }
  reply->Send(JsonResponse(
      404, {{"error", "path \"" + request.path + "\" does not exist"}}));
}

bool Daemon::Impl::RouteOperators(const http::HttpRequest& request,
                                  http::HttpReply& reply) {
  if (request.path == "/dump") {
    reply.Send(JsonResponse(200, Dump()));
    return true;
  }
  if (request.path == "/metrics") {
    http::HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = m_metrics.RenderText();
    reply.Send(std::move(response));
    return true;
  }
  if (request.path == "/healthz") {
    reply.Send(JsonResponse(200, {{"healthy", true}}));
    return true;
  }
  if (request.path == "/readyz") {
    const bool ready = Ready();
    reply.Send(JsonResponse(ready ? 200 : 503,
                            {{"ready", ready},
                             {"draining", m_draining.load()},
                             {"streams_ready", m_streams.Ready()},
                             {"has_lists", HasLists()},
                             {"vms", m_vms.Current()->vms.size()}}));
    return true;
  }
  return false;
}

bool Daemon::Impl::Ready() const {
  return !m_draining.load() && m_streams.Ready() && HasLists() &&
         !m_vms.Current()->vms.empty();
}

// A VM that missed records goes on with the lists that it has; one that has
// none yet would refuse every caller.
bool Daemon::Impl::HasLists() const {
  return m_list_ledger.Complete() || m_list_ledger.Current()->plans_version > 0;
}

nlohmann::json Daemon::Impl::Dump() {
  nlohmann::json peers = nlohmann::json::array();
  for (const control::Peer& peer : m_peers->Peers()) {
    peers.push_back({{"id", peer.id},
                     {"domain", peer.domain},
                     {"address", peer.address},
                     {"incarnation", peer.incarnation},
                     {"silent_ms", peer.silent_ms},
                     {"suspected", peer.suspected},
                     {"draining", peer.draining}});
  }
  const auto lists = m_list_ledger.Current();
  return {{"vm", m_settings.vm_id},
          {"domain", m_settings.domain},
          {"incarnation", m_incarnation},
          {"uptime_ms", base::MillisBetween(m_started, m_clock.Now())},
          {"ready", Ready()},
          {"draining", m_draining.load()},
          {"rank", m_peers->RankInDomain()},
          {"log", m_streams.Dump()},
          {"vm_list",
           {{"version", m_vms.Current()->version},
            {"vms", m_vms.Current()->vms.size()},
            {"silent_ms", m_vms.SilentMillis()}}},
          {"peers", std::move(peers)},
          {"lists",
           {{"complete", m_list_ledger.Complete()},
            {"plans_version", lists->plans_version},
            {"plans_digest", lists->plans_digest},
            {"allowances_version", lists->allowances_version},
            {"allowances_digest", lists->allowances_digest}}},
          {"requests", m_requests.Dump()},
          {"tasks", nlohmann::json::parse(m_tasks.Dump(), nullptr, false)}};
}

bool Daemon::Impl::Shutdown() {
  m_draining.store(true);
  base::LogEvent(base::Severity::kInfo, "AZ1004", "shutting down",
                 {{"in_flight", std::to_string(m_requests.InFlight())}});
  m_peers->SetDraining();
  m_server->SetDraining(true);
  m_requests.Drain();
  const base::MonoTime end = m_clock.Now() + m_settings.drain_timeout;
  while (m_server->InFlight() > 0 && m_clock.Now() < end) {
    m_stop_signal.Wait(kDrainPoll);
  }
  const size_t left = m_server->InFlight();
  m_tasks.Drain(m_settings.drain_timeout);
  StopThreads();
  base::LogEvent(base::Severity::kInfo, "AZ1005", "stopped",
                 {{"cut_off", std::to_string(left)}});
  return left == 0;
}

void Daemon::Impl::StopThreads() {
  if (m_stopping.exchange(true)) {
    return;
  }
  m_stop_signal.Notify();
  if (m_bootstrap.joinable()) {
    m_bootstrap.join();
  }
  m_requests.Stop();
  m_tasks.Stop();
  m_streams.Stop();
  m_list_reporter.Stop();
  m_peers->Stop();
  if (m_server != nullptr) {
    m_server->Stop();
  }
  m_vms.Stop();
}

Daemon::Daemon(const Settings& settings)
    : m_impl(std::make_unique<Impl>(settings)) {}

Daemon::~Daemon() = default;

base::Outcome<base::Unit> Daemon::Start() {
  return m_impl->Start();
}

bool Daemon::Shutdown() {
  return m_impl->Shutdown();
}

}  // namespace azurespur::daemon
