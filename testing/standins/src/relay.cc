#include "standins/relay.h"

#include <ace/Dev_Poll_Reactor.h>

#include <utility>

#include "standins/json_reader.h"
#include "standins/responses.h"

namespace azurespur::standins {

namespace {

constexpr int kPortAttempts = 20;
constexpr int kMaxPort = 65535;

}  // namespace

Relay::Relay()
    : m_reactor(std::make_unique<ACE_Reactor>(new ACE_Dev_Poll_Reactor, true)) {
  m_thread = std::thread([this] {
    m_reactor->owner(ACE_OS::thr_self());
    m_reactor->run_reactor_event_loop();
  });
}

Relay::~Relay() {
  m_reactor->end_reactor_event_loop();
  m_thread.join();
  m_timer.Stop();
  m_reactor->close();
}

base::Outcome<uint16_t> Relay::SetLink(const std::string& name,
                                       uint16_t port,
                                       const std::string& target) {
  ACE_INET_Addr address;
  if (target.find(':') == std::string::npos ||
      address.set(target.c_str()) != 0) {
    return base::Error{
        base::ErrorCode::kInvalid,
        "link \"" + name + "\": target \"" + target + "\" is no IP:PORT"};
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  auto& link = m_links[name];
  if (link) {
    link->state.target = address;
    return link->state.port;
  }
  link = std::make_unique<Link>();
  link->state.name = name;
  link->state.target = address;
  base::Outcome<uint16_t> bound = OpenLink(*link, port);
  if (!base::Ok(bound)) {
    m_links.erase(name);
  }
  return bound;
}

// A port that is free for TCP may be in use for UDP: another one is picked.
base::Outcome<uint16_t> Relay::OpenLink(Link& link, uint16_t port) {
  for (int attempt = 0; attempt < kPortAttempts; ++attempt) {
    link.tcp = std::make_unique<TcpRelay>(link.state, m_mutex, m_timer);
    link.udp = std::make_unique<UdpRelay>(link.state, m_mutex, m_timer);
    link.state.port = link.tcp->Open(m_reactor.get(), port);
    if (link.state.port != 0 &&
        link.udp->Open(m_reactor.get(), link.state.port)) {
      return link.state.port;
    }
    if (link.state.port != 0) {
      m_reactor->remove_handler(
          link.tcp.get(),
          ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    }
    if (port != 0) {
      break;
    }
  }
  return base::Error{base::ErrorCode::kUnavailable,
                     "address 127.0.0.1:" + std::to_string(port) +
                         " can't be bound for TCP and UDP"};
}

void Relay::HandleControl(const http::HttpRequest& request, Reply& reply) {
  const std::vector<std::string> path = PathSegments(request.path);
  const bool is_link = path.size() == 2 && path[0] == "links";
  if (is_link && request.method == "PUT") {
    reply.Send(PutLink(path[1], request.body));
  } else if (is_link && request.method == "POST") {
    reply.Send(PostLink(path[1], request.body));
  } else {
    reply.Send(UnknownPath(request));
  }
}

http::HttpResponse Relay::PutLink(const std::string& name,
                                  const std::string& body) {
  int64_t port = 0;
  std::string target;
  JsonReader reader(body);
  reader.Require("target").Read("target", target).Read("listen", port);
  if (const auto error = reader.Finish()) {
    return ErrorResponse(400, *error);
  }
  if (port > kMaxPort) {
    return ErrorResponse(
        400, "field \"listen\": " + std::to_string(port) + " is no port");
  }
  const auto bound = SetLink(name, static_cast<uint16_t>(port), target);
  if (!base::Ok(bound)) {
    return ErrorResponse(400, base::GetError(bound).message);
  }
  return JsonResponse(R"({"port":)" + std::to_string(base::Value(bound)) + "}");
}

http::HttpResponse Relay::PostLink(const std::string& name,
                                   const std::string& body) {
  bool cut = false;
  bool reset = false;
  int64_t delay_ms = 0;
  JsonReader reader(body);
  reader.Read("cut", cut).Read("reset", reset).Read("delay_ms", delay_ms);
  if (const auto error = reader.Finish()) {
    return ErrorResponse(400, *error);
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_links.find(name);
  if (it == m_links.end()) {
    return ErrorResponse(404, "link \"" + name + "\" is unknown");
  }
  it->second->state.cut = cut;
  it->second->state.reset = reset;
  it->second->state.delay_ms = delay_ms;
  it->second->tcp->ApplyLink();
  return JsonResponse("{}");
}

}  // namespace azurespur::standins
