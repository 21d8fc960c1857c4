// HTTP face of the VM list stand-in: lag and faults.

#ifndef STANDINS_VM_LIST_SERVICE_H_
#define STANDINS_VM_LIST_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/http_message.h"
#include "standins/reply.h"
#include "standins/timer.h"
#include "standins/vm_list.h"

namespace azurespur::standins {

// Set by `POST /faults`, which replaces all of them.
struct VmListFaults {
  bool outage = false;
  int64_t delay_ms = 0;
};

class VmListService {
 public:
  // Changes become visible `lag_ms` after they were answered.
  VmListService(int64_t lag_ms, Timer& timer);

  // Verbs: `GET /vms`, `GET /views/NAME/vms`, `PUT /vms/ID`, `DELETE /vms/ID`,
  // `POST /vms/ID/state`, `PUT /views/NAME/addresses`, `POST /faults`.
  void Handle(http::HttpRequest request, std::shared_ptr<Reply> reply);

 private:
  void HandleRead(const http::HttpRequest& request,
                  const std::string& view,
                  std::shared_ptr<Reply> reply);
  http::HttpResponse HandleChange(const http::HttpRequest& request,
                                  const std::vector<std::string>& path);
  http::HttpResponse HandleVm(const http::HttpRequest& request,
                              const std::string& id);
  http::HttpResponse HandleState(const http::HttpRequest& request,
                                 const std::string& id);
  http::HttpResponse HandleAddresses(const http::HttpRequest& request,
                                     const std::string& view);
  http::HttpResponse HandleFaults(const http::HttpRequest& request);
  void ApplyLate(std::function<void(VmList&)> change);

  const base::Millis m_lag;
  Timer& m_timer;
  std::mutex m_mutex;
  VmList m_list;
  VmListFaults m_faults;
};

}  // namespace azurespur::standins

#endif  // STANDINS_VM_LIST_SERVICE_H_
