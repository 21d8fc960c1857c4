// One worker VM: tasks under leases, reports, a journal. Pure: the wall time in
// milliseconds is passed in and must not go back.

#ifndef STANDINS_WORKER_H_
#define STANDINS_WORKER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "standins/payload.h"
#include "standins/task_event.h"
#include "standins/task_spec.h"

namespace azurespur::standins {

class Worker {
 public:
  using EventSink = std::function<void(const TaskEvent&)>;

  struct StopAnswer {
    bool known = false;     // The task was running.
    bool released = false;  // It was released at some time.
  };

  // Ended tasks are reported for `ended_retention_ms`.
  Worker(std::string id, int64_t ended_retention_ms, EventSink sink);

  // Returns false if the id is known, running or ended.
  bool Start(const TaskSpec& spec, int64_t now_ms);

  // Returns the ids that do not run here.
  std::vector<std::string> Renew(const std::vector<std::string>& ids,
                                 int64_t lease_ms,
                                 int64_t now_ms);

  // These return false or nothing if the task is not running.
  bool Release(const std::string& id, int64_t now_ms);
  bool Throttle(const std::string& id, int64_t now_ms);
  std::optional<std::string> Checkpoint(const std::string& id, int64_t now_ms);

  StopAnswer Stop(const std::string& id, int64_t now_ms);

  // The newest report that is at least `lag_ms` old, or the oldest there is.
  std::string Report(int64_t lag_ms, int64_t now_ms);

  // Ends all tasks with `reason` and forgets everything, as a new boot does.
  void Restart(std::string_view reason, int64_t now_ms);

  // Ends the tasks whose lease or work ran out.
  void Advance(int64_t now_ms);

 private:
  struct Task {
    TaskSpec spec;
    Payload payload;
    std::string state;  // As in the report.
    bool released = false;
    int64_t lease_until_ms = 0;
    int64_t work_ms = 0;           // Work done until `working_since_ms`.
    int64_t working_since_ms = 0;  // Meaningful while running.
    int64_t ended_at_ms = 0;
    int exit = 0;

    bool Active() const { return state == "running" || state == "throttled"; }
  };

  struct Picture {
    int64_t made_ms = 0;
    std::string text;
  };

  Task* FindActive(const std::string& id);
  int64_t EndTime(const Task& task) const;
  void PauseWork(Task& task, int64_t now_ms);
  void End(Task& task, std::string_view state, int64_t now_ms);
  void Emit(std::string_view event,
            std::string_view reason,
            const TaskSpec* task,
            int64_t now_ms);
  std::string RenderReport(int64_t now_ms) const;

  const std::string m_id;
  const int64_t m_ended_retention_ms;
  const EventSink m_sink;
  uint64_t m_boot = 1;
  int64_t m_next_due_ms = 0;  // Nothing ends before this time.
  std::map<std::string, Task> m_tasks;
  std::deque<Picture> m_pictures;
};

}  // namespace azurespur::standins

#endif  // STANDINS_WORKER_H_
