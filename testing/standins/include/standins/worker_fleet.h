// The workers of one process, their ports and their control port.

#ifndef STANDINS_WORKER_FLEET_H_
#define STANDINS_WORKER_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/outcome.h"
#include "http/http_message.h"
#include "standins/journal.h"
#include "standins/server.h"
#include "standins/timer.h"
#include "standins/worker_service.h"

namespace azurespur::standins {

struct WorkerFleetOptions {
  unsigned count = 8;
  std::string name_prefix = "w-";
  std::string domain = "local";
  unsigned racks_of = 8;  // Workers in a rack.
  int64_t cpu_millis = 64'000;
  int64_t memory_mb = 262'144;
  int64_t accelerators = 0;
  int64_t report_lag_ms = 0;
  int64_t ended_retention_ms = 60'000;
  std::string vm_list_url;
  uint64_t seed = 1;
};

class WorkerFleet {
 public:
  WorkerFleet(const WorkerFleetOptions& options,
              Server& server,
              Timer& timer,
              Journal& journal);

  // Opens a port for each worker, prints it and registers the worker.
  base::Outcome<base::Unit> Start();

  // `POST /workers/ID/faults`, `POST /workers/ID/restart`, `GET /journal`.
  void HandleControl(const http::HttpRequest& request, Reply& reply);

 private:
  struct Host {
    uint16_t port = 0;
    std::unique_ptr<WorkerService> service;
  };

  base::Outcome<base::Unit> StartOne(unsigned index);
  http::HttpResponse ControlOne(const http::HttpRequest& request,
                                Host& host,
                                const std::string& verb);

  const WorkerFleetOptions m_options;
  Server& m_server;
  Timer& m_timer;
  Journal& m_journal;
  std::map<std::string, Host> m_hosts;
};

}  // namespace azurespur::standins

#endif  // STANDINS_WORKER_FLEET_H_
