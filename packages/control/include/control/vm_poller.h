// Reads the VM list at an interval on a thread of its own.

#ifndef CONTROL_VM_POLLER_H_
#define CONTROL_VM_POLLER_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

#include "base/clock.h"
#include "base/wakeup.h"
#include "control/vm_directory.h"

namespace azurespur::control {

class VmPoller : public VmDirectory {
 public:
  // `list` and `clock` must outlive the poller.
  VmPoller(services::VmList& list,
           const base::Clock& clock,
           base::Millis interval);
  VmPoller(const VmPoller&) = delete;
  VmPoller& operator=(const VmPoller&) = delete;
  ~VmPoller() override;

  std::shared_ptr<const services::VmListPage> Current() const override;

  int64_t SilentMillis() const override;

  void Stop();

 private:
  void Run();

  services::VmList& m_list;
  const base::Clock& m_clock;
  const base::Millis m_interval;
  mutable std::mutex m_mutex;
  std::shared_ptr<const services::VmListPage> m_current;
  base::MonoTime m_last_answer;
  base::Wakeup m_wakeup;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace azurespur::control

#endif  // CONTROL_VM_POLLER_H_
