// The executors of one process, their ports and their control port.

#ifndef STANDINS_EXECUTOR_FLEET_H_
#define STANDINS_EXECUTOR_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/outcome.h"
#include "http/http_message.h"
#include "standins/executor.h"
#include "standins/journal.h"
#include "standins/server.h"
#include "standins/timer.h"

namespace azurespur::standins {

struct ExecutorFleetOptions {
  unsigned count = 4;
  std::string name_prefix = "x-";
  std::string domain = "local";
  unsigned slots = 8;
  unsigned connections = 64;
  ServiceTimeOptions times;
  std::string vm_list_url;
  uint64_t seed = 1;
};

class ExecutorFleet {
 public:
  ExecutorFleet(const ExecutorFleetOptions& options,
                Server& server,
                Timer& timer,
                Journal& journal);

  // Opens a port for each executor, prints it and registers the executor.
  base::Outcome<base::Unit> Start();

  // `POST /executors/ID/faults`, `GET /journal`.
  void HandleControl(const http::HttpRequest& request, Reply& reply);

 private:
  struct Host {
    uint16_t port = 0;
    std::unique_ptr<Executor> executor;
  };

  base::Outcome<base::Unit> StartOne(unsigned index);
  http::HttpResponse SetFaults(const std::string& id, const std::string& body);

  const ExecutorFleetOptions m_options;
  Server& m_server;
  Timer& m_timer;
  Journal& m_journal;
  std::map<std::string, Host> m_hosts;
};

}  // namespace azurespur::standins

#endif  // STANDINS_EXECUTOR_FLEET_H_
