#include "standins/worker_fleet.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "standins/program.h"
#include "standins/responses.h"
#include "standins/vm_registrar.h"

namespace azurespur::standins {

namespace {

constexpr unsigned kMaxConnections = 1024;
constexpr base::Millis kAdvancePeriod{10};

}  // namespace

WorkerFleet::WorkerFleet(const WorkerFleetOptions& options,
                         Server& server,
                         Timer& timer,
                         Journal& journal)
    : m_options(options),
      m_server(server),
      m_timer(timer),
      m_journal(journal) {}

base::Outcome<base::Unit> WorkerFleet::Start() {
  VmRegistrar registrar(m_options.vm_list_url);
  for (unsigned index = 0; index < m_options.count; ++index) {
    base::Outcome<base::Unit> started = StartOne(index);
    if (!base::Ok(started)) {
      return started;
    }
  }
  unsigned index = 0;
  for (const auto& [id, host] : m_hosts) {
    const std::string rack =
        "r" + std::to_string(index++ / m_options.racks_of + 1);
    base::Outcome<base::Unit> registered = registrar.Register(
        {{"id", id},
         {"kind", "worker"},
         {"address", "127.0.0.1:" + std::to_string(host.port)},
         {"domain", m_options.domain},
         {"rack", rack},
         {"cpu_millis", m_options.cpu_millis},
         {"memory_mb", m_options.memory_mb},
         {"accelerators", m_options.accelerators}});
    if (!base::Ok(registered)) {
      return registered;
    }
  }
  m_timer.Every(kAdvancePeriod, [this] {
    for (auto& [id, host] : m_hosts) {
      host.service->Advance();
    }
  });
  return base::Unit{};
}

base::Outcome<base::Unit> WorkerFleet::StartOne(unsigned index) {
  const std::string id = NumberedName(m_options.name_prefix, index + 1);
  auto worker = std::make_unique<Worker>(
      id, m_options.ended_retention_ms, [this](const TaskEvent& event) {
        m_journal.Add(RenderTaskEvent(event));
      });
  Host host;
  host.service = std::make_unique<WorkerService>(
      std::move(worker), m_options.report_lag_ms, m_options.seed + index,
      m_timer);
  const auto port =
      m_server.Listen(0, kMaxConnections,
                      [service = host.service.get()](auto request, auto reply) {
                        service->Handle(std::move(request), std::move(reply));
                      });
  if (!base::Ok(port)) {
    return base::GetError(port);
  }
  host.port = base::Value(port);
  PrintReady(id, host.port);
  m_hosts[id] = std::move(host);
  TaskSpec capacity;
  capacity.cpu_millis = m_options.cpu_millis;
  capacity.memory_mb = m_options.memory_mb;
  capacity.accelerators = m_options.accelerators;
  m_journal.Add(RenderTaskEvent(
      {base::SystemClock().WallMillis(), id, "capacity", "", &capacity}));
  return base::Unit{};
}

void WorkerFleet::HandleControl(const http::HttpRequest& request,
                                Reply& reply) {
  const std::vector<std::string> path = PathSegments(request.path);
  if (request.method == "GET" && path.size() == 1 && path[0] == "journal") {
    http::HttpResponse response = JsonResponse(m_journal.Text());
    response.content_type = "application/jsonl";
    reply.Send(std::move(response));
    return;
  }
  if (request.method != "POST" || path.size() != 3 || path[0] != "workers") {
    reply.Send(UnknownPath(request));
    return;
  }
  const auto it = m_hosts.find(path[1]);
  if (it == m_hosts.end()) {
    reply.Send(ErrorResponse(404, "worker \"" + path[1] + "\" is unknown"));
    return;
  }
  reply.Send(ControlOne(request, it->second, path[2]));
}

http::HttpResponse WorkerFleet::ControlOne(const http::HttpRequest& request,
                                           Host& host,
                                           const std::string& verb) {
  if (verb == "restart") {
    host.service->Restart();
    return JsonResponse("{}");
  }
  if (verb != "faults") {
    return UnknownPath(request);
  }
  if (const auto error = host.service->SetFaults(request.body)) {
    return ErrorResponse(400, *error);
  }
  const auto set =
      m_server.SetListening(host.port, !host.service->Faults().down);
  return base::Ok(set) ? JsonResponse("{}")
                       : ErrorResponse(503, base::GetError(set).message);
}

}  // namespace azurespur::standins
