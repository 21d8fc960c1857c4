#include "standins/vm_registrar.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace azurespur::standins {

namespace {

constexpr std::chrono::milliseconds kTimeout{5000};

}  // namespace

VmRegistrar::VmRegistrar(std::string url)
    : m_url(std::move(url)), m_client(http::StartHttpClient()) {}

base::Outcome<base::Unit> VmRegistrar::Register(const nlohmann::json& vm) {
  if (m_url.empty()) {
    return base::Unit{};
  }
  http::HttpCall call;
  call.method = "PUT";
  call.url =
      m_url + "/vms/" + http::UrlEscape(vm["id"].get_ref<const std::string&>());
  call.body = vm.dump();
  call.timeout = kTimeout;
  const http::HttpResult result = m_client->Fetch(std::move(call));
  if (!base::Ok(result)) {
    return base::GetError(result);
  }
  const http::HttpResponse& response = base::Value(result);
  if (response.status != 200) {
    return base::Error{base::ErrorCode::kInvalid,
                       m_url + " answered " + std::to_string(response.status) +
                           ": " + response.body};
  }
  return base::Unit{};
}

std::string NumberedName(const std::string& prefix, unsigned index) {
  const std::string number = std::to_string(index);
  return prefix + (number.size() < 2 ? "0" : "") + number;
}

}  // namespace azurespur::standins
