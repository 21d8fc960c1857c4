#include <nlohmann/json.hpp>
#include <optional>

#include "http/http_client.h"
#include "json_fields.h"
#include "services/vm_list.h"

namespace azurespur::services {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;

std::optional<VmKind> ParseKind(std::string_view text) {
  if (text == "entry") {
    return VmKind::kEntry;
  }
  if (text == "worker") {
    return VmKind::kWorker;
  }
  if (text == "executor") {
    return VmKind::kExecutor;
  }
  return std::nullopt;
}

// Empty for kinds that this version does not know.
std::optional<Vm> ParseVm(const nlohmann::json& object) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  const std::optional<VmKind> kind = ParseKind(StringField(object, "kind"));
  if (!kind) {
    return std::nullopt;
  }
  Vm vm;
  vm.id = StringField(object, "id");
  vm.kind = *kind;
  vm.address = StringField(object, "address");
  vm.peer_address = StringField(object, "peer_address");
  vm.domain = StringField(object, "domain");
  vm.rack = StringField(object, "rack");
  vm.leaving = StringField(object, "state") == "leaving";
  vm.cpu_millis = IntField(object, "cpu_millis");
  vm.memory_mb = IntField(object, "memory_mb");
  vm.accelerators = IntField(object, "accelerators");
  vm.slots = static_cast<int>(IntField(object, "slots"));
  vm.connections = static_cast<int>(IntField(object, "connections"));
  return vm;
}

class HttpVmList : public VmList {
 public:
  HttpVmList(http::HttpClient& client, std::string url)
      : m_client(client), m_url(std::move(url) + "/vms") {}

  base::Outcome<std::shared_ptr<const VmListPage>> Fetch() override {
    http::HttpCall call;
    call.url = m_url;
    call.repeatable = true;
    if (m_page != nullptr && !m_entity_tag.empty()) {
      call.headers.push_back({"If-None-Match", m_entity_tag});
    }
    const http::HttpResult result = m_client.Fetch(std::move(call));
    if (!base::Ok(result)) {
      return base::GetError(result);
    }
    const http::HttpResponse& response = base::Value(result);
    if (response.status == kStatusNotModified && m_page != nullptr) {
      return m_page;
    }
    if (response.status != kStatusOk) {
      return base::Error{base::ErrorCode::kUnavailable,
                         m_url + ": status " + std::to_string(response.status)};
    }
    base::Outcome<VmListPage> parsed = Parse(response.body);
    if (!base::Ok(parsed)) {
      return base::GetError(parsed);
    }
    m_page = std::make_shared<const VmListPage>(base::Value(std::move(parsed)));
    m_entity_tag = std::string(http::FindField(response.headers, "ETag"));
    return m_page;
  }

 private:
  base::Outcome<VmListPage> Parse(std::string_view body) const {
    const base::Outcome<nlohmann::json> parsed = ParseObject(body, m_url);
    if (!base::Ok(parsed)) {
      return base::GetError(parsed);
    }
    const nlohmann::json& object = base::Value(parsed);
    const auto vms = object.find("vms");
    if (vms == object.end() || !vms->is_array()) {
      return base::Error{base::ErrorCode::kInvalid,
                         m_url + ": field \"vms\" is no array"};
    }
    VmListPage page;
    page.version = static_cast<uint64_t>(IntField(object, "version"));
    for (const nlohmann::json& item : *vms) {
      if (std::optional<Vm> vm = ParseVm(item)) {
        page.vms.push_back(std::move(*vm));
      }
    }
    return page;
  }

  http::HttpClient& m_client;
  const std::string m_url;
  std::string m_entity_tag;
  std::shared_ptr<const VmListPage> m_page;  // That `m_entity_tag` belongs to.
};

}  // namespace

std::unique_ptr<VmList> MakeHttpVmList(http::HttpClient& client,
                                       std::string url) {
  return std::make_unique<HttpVmList>(client, std::move(url));
}

}  // namespace azurespur::services
