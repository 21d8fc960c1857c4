// One row of the list "allowances": what a plan may use.

#ifndef CONTROL_ALLOWANCE_H_
#define CONTROL_ALLOWANCE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace azurespur::control {

// Waiting queue of a request.
enum class RequestClass { kPreview, kInteractive, kBulk };

// Whether disruptive actions are done at once or wait for an edit that
// approves them.
enum class ActionMode { kAutomatic, kApprove };

struct Allowance {
  std::string id;
  // Requests, for each entry VM's domain as a whole.
  RequestClass request_class = RequestClass::kInteractive;
  double requests_per_s = 0;
  int64_t burst = 0;
  int64_t max_waiting = 0;
  int64_t weight = 1;
  int64_t deadline_ms = 10000;
  // Tasks, for the whole cell.
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  int64_t max_tasks = 0;
  bool urgent = false;   // Its tasks may preempt.
  bool preempt = false;  // Its tasks may be preempted.
  ActionMode actions = ActionMode::kAutomatic;
  std::vector<std::string> approved;  // Ids of approved proposals.
};

}  // namespace azurespur::control

#endif  // CONTROL_ALLOWANCE_H_
