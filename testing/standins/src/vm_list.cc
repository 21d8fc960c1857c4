#include "standins/vm_list.h"

#include <utility>

#include "standins/json_reader.h"

namespace azurespur::standins {

namespace {

struct VmFields {
  std::string id;
  std::string kind;
  std::string address;
  std::string peer_address;
  std::string domain;
  std::string rack;
  std::string state = "live";
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  int64_t slots = 0;
  int64_t connections = 0;
};

}  // namespace

std::optional<std::string> VmList::Check(const std::string& id,
                                         std::string_view body) {
  VmFields vm;
  JsonReader reader(body);
  reader.Require("kind").Require("address").Require("domain");
  reader.Read("id", vm.id)
      .Read("kind", vm.kind)
      .Read("address", vm.address)
      .Read("peer_address", vm.peer_address)
      .Read("domain", vm.domain)
      .Read("rack", vm.rack)
      .Read("state", vm.state)
      .Read("cpu_millis", vm.cpu_millis)
      .Read("memory_mb", vm.memory_mb)
      .Read("accelerators", vm.accelerators)
      .Read("slots", vm.slots)
      .Read("connections", vm.connections);
  if (auto error = reader.Finish()) {
    return error;
  }
  if (!vm.id.empty() && vm.id != id) {
    return "field \"id\": expected \"" + id + "\", got \"" + vm.id + "\"";
  }
  if (vm.kind != "worker" && vm.kind != "executor" && vm.kind != "entry") {
    return "field \"kind\": expected worker, executor or entry, got \"" +
           vm.kind + "\"";
  }
  if (vm.state != "live" && vm.state != "leaving") {
    return "field \"state\": expected live or leaving, got \"" + vm.state +
           "\"";
  }
  return std::nullopt;
}

void VmList::Put(const std::string& id, std::string_view vm) {
  nlohmann::json object = nlohmann::json::parse(vm, nullptr, false);
  object["id"] = id;
  if (!object.contains("state")) {
    object["state"] = "live";
  }
  m_vms[id] = std::move(object);
  ++m_version;
}

void VmList::Remove(const std::string& id) {
  m_vms.erase(id);
  ++m_version;
}

void VmList::SetState(const std::string& id, const std::string& state) {
  const auto it = m_vms.find(id);
  if (it != m_vms.end()) {
    it->second["state"] = state;
    ++m_version;
  }
}

void VmList::SetAddresses(const std::string& view, nlohmann::json addresses) {
  m_addresses[view] = std::move(addresses);
  ++m_version;
}

std::string VmList::Render(const std::string& view) const {
  const auto view_addresses = m_addresses.find(view);
  nlohmann::json vms = nlohmann::json::array();
  for (const auto& [id, vm] : m_vms) {
    vms.push_back(vm);
    if (view_addresses != m_addresses.end() &&
        view_addresses->second.contains(id)) {
      vms.back().update(view_addresses->second[id]);
    }
  }
  return nlohmann::json{{"version", m_version}, {"vms", std::move(vms)}}.dump(
      -1, ' ', true, nlohmann::json::error_handler_t::replace);
}

}  // namespace azurespur::standins
