// Registers the VMs that a stand-in hosts with the VM list.

#ifndef STANDINS_VM_REGISTRAR_H_
#define STANDINS_VM_REGISTRAR_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "base/outcome.h"
#include "http/http_client.h"

namespace azurespur::standins {

class VmRegistrar {
 public:
  // `url` of the VM list, such as "http://127.0.0.1:8000"; empty for none.
  explicit VmRegistrar(std::string url);

  // Puts the VM object, which must have a field "id", to the list.
  base::Outcome<base::Unit> Register(const nlohmann::json& vm);

 private:
  const std::string m_url;
  std::unique_ptr<http::HttpClient> m_client;
};

// The name of the `index`-th VM of a series, such as "w-luzon-a-01".
std::string NumberedName(const std::string& prefix, unsigned index);

}  // namespace azurespur::standins

#endif  // STANDINS_VM_REGISTRAR_H_
