#include "standins/vm_list_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "standins/json_reader.h"
#include "standins/responses.h"

namespace azurespur::standins {

namespace {

// Answers 304 without a body if the caller knows this `body`.
http::HttpResponse TaggedResponse(const std::string& body,
                                  const std::string& known_tag) {
  const std::string tag =
      "\"" + std::to_string(std::hash<std::string>{}(body)) + "\"";
  http::HttpResponse response = JsonResponse(tag == known_tag ? "" : body);
  response.status = tag == known_tag ? 304 : 200;
  response.headers.push_back({"ETag", tag});
  return response;
}

}  // namespace

VmListService::VmListService(int64_t lag_ms, Timer& timer)
    : m_lag(lag_ms), m_timer(timer) {}

void VmListService::Handle(http::HttpRequest request,
                           std::shared_ptr<Reply> reply) {
  const std::vector<std::string> path = PathSegments(request.path);
  if (request.method == "GET" && path.size() == 1 && path[0] == "vms") {
    HandleRead(request, "", std::move(reply));
  } else if (request.method == "GET" && path.size() == 3 &&
             path[0] == "views" && path[2] == "vms") {
    HandleRead(request, path[1], std::move(reply));
  } else {
    reply->Send(HandleChange(request, path));
  }
}

void VmListService::HandleRead(const http::HttpRequest& request,
                               const std::string& view,
                               std::shared_ptr<Reply> reply) {
  VmListFaults faults;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    faults = m_faults;
  }
  const std::string known(http::FindField(request.headers, "If-None-Match"));
  m_timer.After(base::Millis(faults.delay_ms),
                [this, view, known, faults, reply = std::move(reply)] {
                  if (faults.outage) {
                    reply->Send(ErrorResponse(503, "outage"));
                    return;
                  }
                  std::lock_guard<std::mutex> lock(m_mutex);
                  reply->Send(TaggedResponse(m_list.Render(view), known));
                });
}

http::HttpResponse VmListService::HandleChange(
    const http::HttpRequest& request,
    const std::vector<std::string>& path) {
  if (path.size() == 1 && path[0] == "faults") {
    return HandleFaults(request);
  }
  if (path.size() == 2 && path[0] == "vms") {
    return HandleVm(request, path[1]);
  }
  if (path.size() == 3 && path[0] == "vms" && path[2] == "state") {
    return HandleState(request, path[1]);
  }
  if (path.size() == 3 && path[0] == "views" && path[2] == "addresses") {
    return HandleAddresses(request, path[1]);
  }
  return UnknownPath(request);
}

http::HttpResponse VmListService::HandleVm(const http::HttpRequest& request,
                                           const std::string& id) {
  if (request.method == "DELETE") {
    ApplyLate([id](VmList& list) { list.Remove(id); });
    return JsonResponse("{}");
  }
  if (request.method != "PUT") {
    return UnknownPath(request);
  }
  if (const auto error = VmList::Check(id, request.body)) {
    return ErrorResponse(400, *error);
  }
  ApplyLate([id, body = request.body](VmList& list) { list.Put(id, body); });
  return JsonResponse("{}");
}

http::HttpResponse VmListService::HandleState(const http::HttpRequest& request,
                                              const std::string& id) {
  std::string state;
  JsonReader reader(request.body);
  reader.Require("state").Read("state", state);
  if (const auto error = reader.Finish()) {
    return ErrorResponse(400, *error);
  }
  if (state != "live" && state != "leaving") {
    return ErrorResponse(
        400,
        "field \"state\": expected live or leaving, got \"" + state + "\"");
  }
  ApplyLate([id, state](VmList& list) { list.SetState(id, state); });
  return JsonResponse("{}");
}

http::HttpResponse VmListService::HandleAddresses(
    const http::HttpRequest& request,
    const std::string& view) {
  nlohmann::json addresses =
      nlohmann::json::parse(request.body, nullptr, false);
  if (!addresses.is_object()) {
    return ErrorResponse(400, "body is no JSON object");
  }
  for (const auto& [id, fields] : addresses.items()) {
    std::string address;
    JsonReader reader(fields.dump());
    reader.Read("address", address).Read("peer_address", address);
    if (const auto error = reader.Finish()) {
      return ErrorResponse(400, "VM \"" + id + "\": " + *error);
    }
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_list.SetAddresses(view, std::move(addresses));
  return JsonResponse("{}");
}

http::HttpResponse VmListService::HandleFaults(
    const http::HttpRequest& request) {
  VmListFaults faults;
  JsonReader reader(request.body);
  reader.Read("outage", faults.outage).Read("delay_ms", faults.delay_ms);
  if (const auto error = reader.Finish()) {
    return ErrorResponse(400, *error);
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_faults = faults;
  return JsonResponse("{}");
}

void VmListService::ApplyLate(std::function<void(VmList&)> change) {
  m_timer.After(m_lag, [this, change = std::move(change)] {
    std::lock_guard<std::mutex> lock(m_mutex);
    change(m_list);
  });
}

}  // namespace azurespur::standins
