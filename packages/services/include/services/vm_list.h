// The platform's list of live and leaving VMs. It lags.

#ifndef SERVICES_VM_LIST_H_
#define SERVICES_VM_LIST_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/outcome.h"

namespace azurespur::http {
class HttpClient;
}

namespace azurespur::services {

enum class VmKind { kEntry, kWorker, kExecutor };

struct Vm {
  std::string id;
  VmKind kind = VmKind::kEntry;
  std::string address;       // "IP:PORT" of its HTTP service.
  std::string peer_address;  // Entries: "IP:PORT" for UDP and TCP peers.
  std::string domain;
  std::string rack;
  bool leaving = false;
  int64_t cpu_millis = 0;  // Workers: capacity.
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  int slots = 0;  // Executors.
  int connections = 0;
};

struct VmListPage {
  uint64_t version = 0;
  std::vector<Vm> vms;
};

class VmList {
 public:
  virtual ~VmList() = default;

  // Blocks until answered or timed out. The same page again as long as the
  // list has not changed. For one thread.
  virtual base::Outcome<std::shared_ptr<const VmListPage>> Fetch() = 0;
};

// `url` is the service's base; the list is read from `url`/vms.
std::unique_ptr<VmList> MakeHttpVmList(http::HttpClient& client,
                                       std::string url);

}  // namespace azurespur::services

#endif  // SERVICES_VM_LIST_H_
