#include "standins/task_event.h"

#include <nlohmann/json.hpp>

namespace azurespur::standins {

std::string RenderTaskEvent(const TaskEvent& event) {
  nlohmann::ordered_json line = {{"time_ms", event.time_ms},
                                 {"worker", event.worker},
                                 {"event", event.event}};
  if (!event.reason.empty()) {
    line["reason"] = event.reason;
  }
  if (event.task != nullptr) {
    line["task"] = event.task->id;
    line["cpu_millis"] = event.task->cpu_millis;
    line["memory_mb"] = event.task->memory_mb;
    line["accelerators"] = event.task->accelerators;
    line["payload"] = event.task->payload;
  }
  return line.dump(-1, ' ', true,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace azurespur::standins
