#include "standins/executor_fleet.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "standins/program.h"
#include "standins/responses.h"
#include "standins/vm_registrar.h"

namespace azurespur::standins {

ExecutorFleet::ExecutorFleet(const ExecutorFleetOptions& options,
                             Server& server,
                             Timer& timer,
                             Journal& journal)
    : m_options(options),
      m_server(server),
      m_timer(timer),
      m_journal(journal) {}

base::Outcome<base::Unit> ExecutorFleet::Start() {
  VmRegistrar registrar(m_options.vm_list_url);
  for (unsigned index = 0; index < m_options.count; ++index) {
    base::Outcome<base::Unit> started = StartOne(index);
    if (!base::Ok(started)) {
      return started;
    }
  }
  for (const auto& [id, host] : m_hosts) {
    base::Outcome<base::Unit> registered = registrar.Register(
        {{"id", id},
         {"kind", "executor"},
         {"address", "127.0.0.1:" + std::to_string(host.port)},
         {"domain", m_options.domain},
         {"slots", m_options.slots},
         {"connections", m_options.connections}});
    if (!base::Ok(registered)) {
      return registered;
    }
  }
  return base::Unit{};
}

base::Outcome<base::Unit> ExecutorFleet::StartOne(unsigned index) {
  const std::string id = NumberedName(m_options.name_prefix, index + 1);
  Host host;
  host.executor =
      std::make_unique<Executor>(id, m_options.slots, m_options.times,
                                 m_options.seed + index, m_timer, m_journal);
  const auto port = m_server.Listen(
      0, m_options.connections,
      [executor = host.executor.get()](auto request, auto reply) {
        executor->Handle(std::move(request), std::move(reply));
      });
  if (!base::Ok(port)) {
    return base::GetError(port);
  }
  host.port = base::Value(port);
  PrintReady(id, host.port);
  m_hosts[id] = std::move(host);
  return base::Unit{};
}

void ExecutorFleet::HandleControl(const http::HttpRequest& request,
                                  Reply& reply) {
  const std::vector<std::string> path = PathSegments(request.path);
  if (request.method == "GET" && path.size() == 1 && path[0] == "journal") {
    http::HttpResponse response = JsonResponse(m_journal.Text());
    response.content_type = "application/jsonl";
    reply.Send(std::move(response));
  } else if (request.method == "POST" && path.size() == 3 &&
             path[0] == "executors" && path[2] == "faults") {
    reply.Send(SetFaults(path[1], request.body));
  } else {
    reply.Send(UnknownPath(request));
  }
}

http::HttpResponse ExecutorFleet::SetFaults(const std::string& id,
                                            const std::string& body) {
  const auto it = m_hosts.find(id);
  if (it == m_hosts.end()) {
    return ErrorResponse(404, "executor \"" + id + "\" is unknown");
  }
  Host& host = it->second;
  if (const auto error = host.executor->SetFaults(body)) {
    return ErrorResponse(400, *error);
  }
  const auto set =
      m_server.SetListening(host.port, !host.executor->Faults().down);
  return base::Ok(set) ? JsonResponse("{}")
                       : ErrorResponse(503, base::GetError(set).message);
}

}  // namespace azurespur::standins
