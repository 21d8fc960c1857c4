#include "standins/worker.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace azurespur::standins {

namespace {

constexpr int64_t kNever = std::numeric_limits<int64_t>::max();

}  // namespace

Worker::Worker(std::string id, int64_t ended_retention_ms, EventSink sink)
    : m_id(std::move(id)),
      m_ended_retention_ms(ended_retention_ms),
      m_sink(std::move(sink)) {}

bool Worker::Start(const TaskSpec& spec, int64_t now_ms) {
  Advance(now_ms);
  if (m_tasks.count(spec.id) != 0) {
    return false;
  }
  Task task;
  task.spec = spec;
  task.payload = ParsePayload(spec.payload);
  task.state = spec.throttled ? "throttled" : "running";
  task.released = !spec.throttled;
  task.lease_until_ms = now_ms + spec.lease_ms;
  task.working_since_ms = now_ms;
  m_tasks[spec.id] = std::move(task);
  m_next_due_ms = 0;
  Emit("start", "", &spec, now_ms);
  if (!spec.throttled) {
    Emit("release", "", &spec, now_ms);
  }
  return true;
}

std::vector<std::string> Worker::Renew(const std::vector<std::string>& ids,
                                       int64_t lease_ms,
                                       int64_t now_ms) {
  Advance(now_ms);
  std::vector<std::string> unknown;
  for (const std::string& id : ids) {
    if (Task* task = FindActive(id)) {
      task->lease_until_ms = now_ms + lease_ms;
    } else {
      unknown.push_back(id);
    }
  }
  m_next_due_ms = 0;
  return unknown;
}

bool Worker::Release(const std::string& id, int64_t now_ms) {
  Advance(now_ms);
  Task* task = FindActive(id);
  if (task == nullptr) {
    return false;
  }
  if (task->state == "throttled") {
    task->state = "running";
    task->released = true;
    task->working_since_ms = now_ms;
    m_next_due_ms = 0;
    Emit("release", "", &task->spec, now_ms);
  }
  return true;
}

bool Worker::Throttle(const std::string& id, int64_t now_ms) {
  Advance(now_ms);
  Task* task = FindActive(id);
  if (task == nullptr) {
    return false;
  }
  if (task->state == "running") {
    PauseWork(*task, now_ms);
    task->state = "throttled";
    m_next_due_ms = 0;
    Emit("throttle", "", &task->spec, now_ms);
  }
  return true;
}

std::optional<std::string> Worker::Checkpoint(const std::string& id,
                                              int64_t now_ms) {
  Advance(now_ms);
  Task* task = FindActive(id);
  if (task == nullptr) {
    return std::nullopt;
  }
  PauseWork(*task, now_ms);
  return "work_ms=" + std::to_string(task->work_ms);
}

Worker::StopAnswer Worker::Stop(const std::string& id, int64_t now_ms) {
  Advance(now_ms);
  const auto it = m_tasks.find(id);
  if (it == m_tasks.end()) {
    return {};
  }
  const StopAnswer answer{it->second.Active(), it->second.released};
  if (answer.known) {
    End(it->second, "stopped", now_ms);
  }
  return answer;
}

std::string Worker::Report(int64_t lag_ms, int64_t now_ms) {
  Advance(now_ms);
  m_pictures.push_back({now_ms, RenderReport(now_ms)});
  while (m_pictures.size() > 1 && m_pictures[1].made_ms + lag_ms <= now_ms) {
    m_pictures.pop_front();
  }
  return m_pictures.front().text;
}

void Worker::Restart(std::string_view reason, int64_t now_ms) {
  Advance(now_ms);
  for (auto& [id, task] : m_tasks) {
    if (task.Active()) {
      Emit("end", reason, &task.spec, now_ms);
    }
  }
  m_tasks.clear();
  m_pictures.clear();
  ++m_boot;
  Emit("restart", "", nullptr, now_ms);
}

void Worker::Advance(int64_t now_ms) {
  if (now_ms < m_next_due_ms) {
    return;
  }
  int64_t next = kNever;
  for (auto it = m_tasks.begin(); it != m_tasks.end();) {
    Task& task = it->second;
    if (task.Active() && EndTime(task) <= now_ms) {
      const bool lapsed = task.lease_until_ms <= EndTime(task);
      End(task,
          lapsed              ? "lapsed"
          : task.payload.fail ? "failed"
                              : "finished",
          EndTime(task));
    }
    const int64_t due =
        task.Active() ? EndTime(task) : task.ended_at_ms + m_ended_retention_ms;
    if (due <= now_ms) {
      it = m_tasks.erase(it);
      continue;
    }
    next = std::min(next, due);
    ++it;
  }
  m_next_due_ms = next;
}

Worker::Task* Worker::FindActive(const std::string& id) {
  const auto it = m_tasks.find(id);
  return it == m_tasks.end() || !it->second.Active() ? nullptr : &it->second;
}

int64_t Worker::EndTime(const Task& task) const {
  if (task.state != "running" || !task.payload.run_ms) {
    return task.lease_until_ms;
  }
  const int64_t left =
      std::max<int64_t>(0, *task.payload.run_ms - task.work_ms);
  return std::min(task.lease_until_ms, task.working_since_ms + left);
}

void Worker::PauseWork(Task& task, int64_t now_ms) {
  if (task.state == "running") {
    task.work_ms += now_ms - task.working_since_ms;
    task.working_since_ms = now_ms;
  }
}

void Worker::End(Task& task, std::string_view state, int64_t now_ms) {
  PauseWork(task, now_ms);
  task.state = state;
  task.exit = state == "failed" ? 1 : 0;
  task.ended_at_ms = now_ms;
  m_next_due_ms = 0;
  Emit("end", state, &task.spec, now_ms);
}

void Worker::Emit(std::string_view event,
                  std::string_view reason,
                  const TaskSpec* task,
                  int64_t now_ms) {
  m_sink({now_ms, m_id, event, reason, task});
}

std::string Worker::RenderReport(int64_t now_ms) const {
  nlohmann::json tasks = nlohmann::json::array();
  for (const auto& [id, task] : m_tasks) {
    const bool working = task.state == "running";
    const bool active = task.Active();
    tasks.push_back(
        {{"id", id},
         {"state", task.state},
         {"released", task.released},
         {"cpu_millis",
          working ? task.payload.use_cpu.value_or(task.spec.cpu_millis) : 0},
         {"memory_mb",
          active ? task.payload.use_mem.value_or(task.spec.memory_mb) : 0},
         {"accelerators", active ? task.spec.accelerators : 0},
         {"lease_left_ms", active ? task.lease_until_ms - now_ms : 0},
         {"exit", task.exit},
         {"result", "work_ms=" + std::to_string(task.work_ms)}});
  }
  return nlohmann::json{{"boot", m_id + "/" + std::to_string(m_boot)},
                        {"made_ms", now_ms},
                        {"tasks", std::move(tasks)}}
      .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

}  // namespace azurespur::standins
