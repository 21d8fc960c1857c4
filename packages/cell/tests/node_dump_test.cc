// A dump of the node's state, whatever names other writers gave.

#include "node_dump.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace azurespur::cell {

// Guards against review/8: the dump of a leader ended its process while a
// worker's id was no UTF-8.
TEST_CASE("a dump shows a worker whose id is no UTF-8") {
  jobs::JobTable table;
  jobs::Scheduler scheduler(jobs::SchedulerOptions(), table);
  jobs::WorkerEntry entry;
  entry.boot = {std::string("\x00\xff\x01", 3), 1};
  const base::MonoTime now{base::Millis{1000}};
  scheduler.SetWorkers(std::vector{entry}, now);
  const auto dump = nlohmann::json::parse(DumpNode({}, table, &scheduler, now));
  CHECK(dump.at("workers").size() == 1);
}

}  // namespace azurespur::cell
