// Formats a node's state as JSON, for operators.

#ifndef CELL_SRC_NODE_DUMP_H_
#define CELL_SRC_NODE_DUMP_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "jobs/job_table.h"
#include "jobs/scheduler.h"

namespace azurespur::cell {

struct NodeView {
  std::string vm;
  jobs::LeaderRecord leader;
  bool leading = false;
  bool ready = false;
  int64_t intake_next = 0;
  int64_t work_next = 0;
  // Ages of the view of the streams; -1 if unknown.
  int64_t intake_age_ms = -1;
  int64_t work_age_ms = -1;
  int64_t policy_version = 0;
};

// `scheduler` is null unless the VM is the leader.
std::string DumpNode(const NodeView& view,
                     const jobs::JobTable& table,
                     const jobs::Scheduler* scheduler,
                     base::MonoTime now);

}  // namespace azurespur::cell

#endif  // CELL_SRC_NODE_DUMP_H_
