#include "control/task_service.h"

#include <algorithm>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/event_log.h"
#include "control/feasibility.h"
#include "control/lists_view.h"
#include "control/log_channel.h"
#include "control/peer_bus.h"
#include "control/task_ledger.h"
#include "control/task_records.h"
#include "control/vm_directory.h"
#include "wire/codec.h"

namespace azurespur::control {

namespace {

// An accept record is made again if it came into the stream too late to count.
constexpr int kAcceptTries = 3;

TaskFate ToFate(const TaskState& task) {
  TaskFate fate;
  fate.id = task.spec.id;
  fate.fate = TaskPhaseName(task.phase);
  fate.domain = task.domain;
  for (const TaskPlace& place : task.places) {
    fate.workers.push_back(place.worker);
  }
  fate.reason = task.reason;
  fate.result = task.result;
  fate.cancel_requested = task.cancel_requested;
  fate.known = true;
  return fate;
}

TaskFate UnknownFate(std::string_view id) {
  TaskFate fate;
  fate.id = id;
  fate.fate = "unknown";
  return fate;
}

base::Error Draining() {
  return {base::ErrorCode::kUnavailable, "this VM is shutting down"};
}

}  // namespace

TaskService::TaskService(const TaskServiceDeps& deps)
    : m_deps(deps),
      m_mailbox(std::make_shared<base::Mailbox>(deps.options.mailbox_size)),
      m_placement({deps.tasks, deps.ledger, deps.lists, deps.directory,
                   deps.peers, m_fleet, m_mailbox, deps.clock, deps.metrics,
                   deps.identity, deps.proposals},
                  deps.options.placement),
      m_runs({deps.tasks, deps.ledger, deps.workers, m_fleet, m_mailbox,
              deps.clock, deps.metrics, deps.identity},
             deps.options.runs,
             m_placement),
      m_fleet({deps.workers, deps.directory, deps.peers, m_mailbox, deps.clock,
               deps.metrics, deps.identity},
              deps.options.fleet,
              m_runs) {
  m_placement.SetRuns(m_runs);
  m_deps.ledger.SetListener([box = m_mailbox] { box->Wake(); });
  m_deps.peers.SetAnswerer(
      wire::Topic::kTaskFate,
      [this](const wire::PeerMessage& message) -> base::Outcome<std::string> {
        return wire::Encode(Fate(message.payload));
      });
}

TaskService::~TaskService() {
  Stop();
  m_deps.ledger.SetListener(nullptr);
}

void TaskService::Start() {
  m_thread = std::thread([this] { Run(); });
}

void TaskService::Stop() {
  m_stop = true;
  m_mailbox->Wake();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void TaskService::Run() {
  while (!m_stop) {
    if (auto mail = m_mailbox->PopWait(m_deps.options.tick)) {
      (*mail)();
    }
    RunOnce();
  }
}

void TaskService::RunOnce() {
  // First of all: a process that was paused must learn what it lost.
  m_fleet.Tick();
  while (auto mail = m_mailbox->Pop()) {
    (*mail)();
  }
  for (UnstartedBinding& binding : m_deps.ledger.TakeUnstarted()) {
    m_runs.OnGivenUp(std::move(binding));
  }
  for (const std::string& id : m_deps.ledger.TakeChanges()) {
    if (const auto task = m_deps.ledger.Find(id)) {
      m_runs.OnTaskChanged(*task);
      m_placement.OnTaskChanged(*task);
    } else {
      m_placement.OnTaskGone(id);
    }
  }
  m_runs.Tick();
  if (!m_draining) {
    m_placement.Tick();
  }
}

void TaskService::Submit(TaskSpec spec, SubmitDone done) {
  if (m_draining) {
    done(Draining());
    return;
  }
  const std::string never = WhyNeverFits(spec, *m_deps.directory.Current());
  if (!never.empty()) {
    done(base::Error{base::ErrorCode::kInvalid, "not-run: " + never});
    return;
  }
  if (spec.id.empty()) {
    spec.id = NewId();
  }
  Append(std::move(spec), kAcceptTries, std::move(done));
}

std::string TaskService::NewId() {
  return "t." + m_deps.identity.vm + "." +
         std::to_string(m_deps.identity.incarnation) + "." +
         std::to_string(m_next_id.fetch_add(1));
}

void TaskService::Append(TaskSpec spec, int tries, SubmitDone done) {
  const TaskAccept accept{spec, m_deps.identity.domain,
                          m_deps.ledger.LogTime()};
  const auto shared = std::make_shared<SubmitDone>(std::move(done));
  const bool queued = m_deps.tasks.Append(
      wire::EntryKind::kTaskAccept, wire::Encode(accept),
      m_deps.clock.Now() + m_deps.options.accept_deadline,
      [this, spec, tries, shared](const base::Outcome<LogPosition>& result) {
        if (base::Ok(result)) {
          OnAccepted(spec, tries, std::move(*shared));
          return;
        }
        base::Error error = base::GetError(result);
        error.message = "task \"" + spec.id + "\": " + error.message;
        (*shared)(std::move(error));
      });
  if (!queued) {
    (*shared)(
        base::Error{base::ErrorCode::kUnavailable, "the log's queue is full"});
  }
}

void TaskService::OnAccepted(TaskSpec spec, int tries, SubmitDone done) {
  const auto task = m_deps.ledger.Find(spec.id);
  if (task) {
    if (task->spec == spec) {
      done(ToFate(*task));
    } else {
      done(base::Error{base::ErrorCode::kConflict,
                       "id \"" + spec.id + "\" already names another task"});
    }
    return;
  }
  if (tries > 1) {
    Append(std::move(spec), tries - 1, std::move(done));
    return;
  }
  done(base::Error{base::ErrorCode::kUnavailable,
                   "the log service is too slow to accept tasks"});
}

TaskFate TaskService::Fate(std::string_view id) const {
  const auto task = m_deps.ledger.Find(id);
  if (!task) {
    return UnknownFate(id);
  }
  TaskFate fate = ToFate(*task);
  if (task->phase == TaskPhase::kAccepted && fate.reason.empty()) {
    fate.reason = m_placement.WaitReason(fate.id);
  }
  return fate;
}

void TaskService::FindFate(const std::string& id, FateDone done) {
  const TaskFate own = Fate(id);
  if (own.known) {
    done(own);
    return;
  }
  struct Search {
    std::atomic<size_t> open{1};
    std::atomic<bool> answered{false};
    FateDone done;
  };
  const auto search = std::make_shared<Search>();
  search->done = std::move(done);
  const auto close = [search, own] {
    if (--search->open == 0 && !search->answered.exchange(true)) {
      search->done(own);
    }
  };
  for (const Peer& peer : m_deps.peers.Peers()) {
    if (peer.suspected) {
      continue;
    }
    ++search->open;
    const bool sent = m_deps.peers.Request(
        peer.id, wire::Topic::kTaskFate, id, m_deps.options.peer_timeout,
        [search, close](const base::Outcome<std::string>& answer) {
          if (base::Ok(answer)) {
            const auto fate = wire::Decode<TaskFate>(base::Value(answer));
            if (base::Ok(fate) && base::Value(fate).known &&
                !search->answered.exchange(true)) {
              search->done(base::Value(fate));
            }
          }
          close();
        });
    if (!sent) {
      close();
    }
  }
  close();
}

void TaskService::Cancel(std::vector<std::string> ids, CancelDone done) {
  const auto shared = std::make_shared<CancelDone>(std::move(done));
  const TaskCancel cancel{std::move(ids), "cancelled by the caller"};
  const bool queued =
      m_deps.tasks.Append(wire::EntryKind::kTaskCancel, wire::Encode(cancel),
                          m_deps.clock.Now() + m_deps.options.accept_deadline,
                          [shared](const base::Outcome<LogPosition>& result) {
                            if (base::Ok(result)) {
                              (*shared)(base::Unit{});
                            } else {
                              (*shared)(base::GetError(result));
                            }
                          });
  if (!queued) {
    (*shared)(
        base::Error{base::ErrorCode::kUnavailable, "the log's queue is full"});
  }
}

std::vector<TaskFate> TaskService::List(std::string_view fate,
                                        size_t limit) const {
  const std::vector<TaskState> tasks = m_deps.ledger.Select(
      [fate](const TaskState& task) {
        return fate.empty() || TaskPhaseName(task.phase) == fate;
      },
      limit);
  std::vector<TaskFate> fates;
  fates.reserve(tasks.size());
  for (const TaskState& task : tasks) {
    fates.push_back(ToFate(task));
  }
  return fates;
}

std::string TaskService::Dump() {
  if (!m_thread.joinable()) {
    return DumpNow();
  }
  const auto promise = std::make_shared<std::promise<std::string>>();
  std::future<std::string> dump = promise->get_future();
  if (!m_mailbox->Push([this, promise] { promise->set_value(DumpNow()); }) ||
      dump.wait_for(m_deps.options.peer_timeout) != std::future_status::ready) {
    return "{}";
  }
  return dump.get();
}

std::string TaskService::DumpNow() const {
  using Json = nlohmann::ordered_json;
  const TaskCounts counts = m_deps.ledger.Counts();
  Json dump;
  dump["domain"] = m_deps.identity.domain;
  dump["draining"] = m_draining.load();
  dump["counts"] = {{"tasks", counts.tasks},
                    {"unbound", counts.unbound},
                    {"bound", counts.bound},
                    {"running", counts.running},
                    {"may_have_run", counts.may_have_run},
                    {"ended", counts.ended},
                    {"orphans", counts.orphans}};
  dump["pending_here"] = m_placement.PendingCount();
  dump["runs_here"] = m_runs.RunCount();
  dump["quarantined_here"] = m_placement.QuarantinedCount();
  dump["workers"] = Json::array();
  for (const FleetWorkerView& worker : m_fleet.View()) {
    static constexpr const char* kPhases[] = {"idle", "starting", "settling",
                                              "owned"};
    dump["workers"].push_back(
        {{"id", worker.id},
         {"ownership", kPhases[static_cast<size_t>(worker.phase)]},
         {"marker", worker.marker},
         {"lease_left_ms", worker.lease_left_ms},
         {"report_age_ms", worker.report_age_ms},
         {"tasks", worker.tasks},
         {"leaving", worker.leaving}});
  }
  return dump.dump();
}

bool TaskService::Drain(base::Millis limit) {
  m_draining = true;
  const base::MonoTime deadline = m_deps.clock.Now() + limit;
  bool settled = false;
  while (!settled && m_deps.clock.Now() < deadline) {
    const auto promise = std::make_shared<std::promise<size_t>>();
    std::future<size_t> open = promise->get_future();
    m_mailbox->Push(
        [this, promise] { promise->set_value(m_runs.UnsettledCount()); });
    if (open.wait_for(m_deps.options.peer_timeout) !=
        std::future_status::ready) {
      break;
    }
    settled = open.get() == 0;
    if (!settled) {
      std::this_thread::sleep_for(m_deps.options.tick);
    }
  }
  const auto promise = std::make_shared<std::promise<void>>();
  std::future<void> resigned = promise->get_future();
  m_mailbox->Push([this, promise] {
    m_fleet.Resign();
    promise->set_value();
  });
  resigned.wait_for(m_deps.options.peer_timeout);
  return settled;
}

}  // namespace azurespur::control
