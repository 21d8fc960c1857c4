#include "jobs/worker.h"

namespace azurespur::jobs {

bool AcceptsTasks(const Worker& worker, base::MonoTime now) {
  return worker.listed && !worker.undescribed && !worker.announced &&
         worker.responsive && !worker.has_unknown_run &&
         worker.late_holds == 0 && worker.clock_known &&
         !worker.entry.draining && worker.avoid_until <= now;
}

placement::Resources FreeCapacity(const Worker& worker) {
  return placement::Subtract(worker.entry.capacity, worker.used);
}

}  // namespace azurespur::jobs
