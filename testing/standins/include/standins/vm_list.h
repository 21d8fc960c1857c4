// The list of VMs as its readers see it. Pure JSON objects, checked on entry.

#ifndef STANDINS_VM_LIST_H_
#define STANDINS_VM_LIST_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace azurespur::standins {

class VmList {
 public:
  // Checks a VM object. Returns the message of the first error, if any.
  static std::optional<std::string> Check(const std::string& id,
                                          std::string_view body);

  // `vm` must have passed Check().
  void Put(const std::string& id, std::string_view vm);
  void Remove(const std::string& id);
  void SetState(const std::string& id, const std::string& state);

  // Replaces the addresses that the readers of `view` see.
  // {"VM id":{"address":S,"peer_address":S}}, both optional.
  void SetAddresses(const std::string& view, nlohmann::json addresses);

  // The body of `GET /vms`, or of `GET /views/VIEW/vms`.
  std::string Render(const std::string& view) const;

 private:
  uint64_t m_version = 0;
  std::map<std::string, nlohmann::json> m_vms;
  std::map<std::string, nlohmann::json> m_addresses;
};

}  // namespace azurespur::standins

#endif  // STANDINS_VM_LIST_H_
