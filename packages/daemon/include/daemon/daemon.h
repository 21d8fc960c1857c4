// One azurespurd process: all parts, wired together.

#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <memory>

#include "base/outcome.h"
#include "daemon/settings.h"

namespace azurespur::daemon {

class Daemon {
 public:
  explicit Daemon(const Settings& settings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  // Binds the addresses and starts all threads. Errors: kUnavailable (an
  // address is in use), kInvalid (an address is wrong).
  base::Outcome<base::Unit> Start();

  // Planned stop: takes nothing new, finishes what runs, hands ownership over,
  // stops all threads. Returns false if `drain_timeout` passed with requests
  // in flight.
  bool Shutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace azurespur::daemon

#endif  // DAEMON_DAEMON_H_
