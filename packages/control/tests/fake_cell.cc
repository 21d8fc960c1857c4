#include "fake_cell.h"

#include <chrono>
#include <utility>

namespace azurespur::control {

namespace {

constexpr int64_t kCallTimeoutMillis = 1000;
constexpr int64_t kAppendIntervalMillis = 20;
constexpr int64_t kSuspectMillis = 1500;

}  // namespace

FakeVm::FakeVm(FakeCell& cell, std::string vm_id, std::string vm_domain)
    : id(std::move(vm_id)), domain(std::move(vm_domain)), m_cell(cell) {}

void FakeVm::Boot() {
  Kill();
  ++incarnation;
  alive = true;
  paused_until_ms = 0;
  m_read = 0;
  m_pending.clear();
  metrics = std::make_unique<base::Metrics>();
  ledger = std::make_unique<TaskLedger>();
  static Lists lists = [] {
    Lists made;
    made.snapshot->plans = {{"plan", "customer", "allowance"}};
    Allowance allowance;
    allowance.id = "allowance";
    allowance.cpu_millis = 1 << 30;
    allowance.memory_mb = 1 << 30;
    allowance.accelerators = 1 << 30;
    allowance.max_tasks = 1 << 30;
    made.snapshot->allowances = {allowance};
    return made;
  }();
  service =
      std::make_unique<TaskService>(TaskServiceDeps{*this,
                                                    *ledger,
                                                    *this,
                                                    *this,
                                                    lists,
                                                    *this,
                                                    m_cell.time,
                                                    *metrics,
                                                    {id, domain, incarnation},
                                                    m_cell.options.service});
}

void FakeVm::Kill() {
  alive = false;
  service.reset();
  ledger.reset();
  answerers.clear();
}

void FakeVm::Step() {
  if (!alive || m_cell.time.NowMillis() < paused_until_ms) {
    return;
  }
  const auto start = std::chrono::steady_clock::now();
  FlushAppends();
  ReadLog();
  service->RunOnce();
  busy_seconds +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
}

template <typename T>
bool FakeVm::Call(std::string_view address,
                  Answered<T> done,
                  std::function<base::Outcome<T>(FakeWorker&)> verb,
                  int64_t late_ms) {
  const std::string worker_id(address);
  const uint64_t caller = incarnation;
  const auto answer = [this, caller, done](base::Outcome<T> result) {
    if (alive && incarnation == caller) {
      done(std::move(result));
    }
  };
  const base::Outcome<T> no_answer =
      base::Error{base::ErrorCode::kUnknown, "timeout"};
  if (kept_answers != nullptr) {
    kept_answers->push_back([done, no_answer] { done(no_answer); });
  }
  const bool late = m_cell.Chance(m_cell.options.late_calls) || late_ms > 0;
  const bool lost = m_cell.Chance(m_cell.options.lost_answers);
  const bool cut =
      cut_from_workers || m_cell.removed_workers.contains(worker_id);
  const int64_t there_ms =
      late_ms > 0 ? late_ms
      : late      ? kCallTimeoutMillis + m_cell.Pick(0, m_cell.options.late_ms)
                  : m_cell.Pick(0, 3);
  const int64_t back_ms = m_cell.Pick(0, 3);
  if (!cut) {
    m_cell.time.After(
        there_ms, [this, worker_id, verb, answer, back_ms, late, lost] {
          FakeWorker* worker = m_cell.FindWorker(worker_id);
          if (worker == nullptr) {
            return;
          }
          base::Outcome<T> result = verb(*worker);
          if (!late && !lost && !cut_from_workers) {
            m_cell.time.After(back_ms, [answer, result] { answer(result); });
          }
        });
  }
  if (cut || late || lost) {
    m_cell.time.After(kCallTimeoutMillis,
                      [answer, no_answer] { answer(no_answer); });
  }
  return true;
}

bool FakeVm::Start(std::string_view address,
                   services::WorkerStart start,
                   Answered<base::Unit> done) {
  return Call<base::Unit>(
      address, std::move(done),
      [start](FakeWorker& worker) { return worker.Start(start); },
      start.id == late_start ? late_start_ms : 0);
}

bool FakeVm::Renew(std::string_view address,
                   base::Millis lease,
                   std::vector<std::string> ids,
                   Answered<std::vector<std::string>> done) {
  return Call<std::vector<std::string>>(
      address, std::move(done),
      [lease, ids](FakeWorker& worker) { return worker.Renew(lease, ids); });
}

bool FakeVm::Release(std::string_view address,
                     std::string_view run,
                     Answered<base::Unit> done) {
  return Call<base::Unit>(address, std::move(done),
                          [run = std::string(run)](FakeWorker& worker) {
                            return worker.Release(run);
                          });
}

bool FakeVm::Checkpoint(std::string_view address,
                        std::string_view,
                        Answered<std::string> done) {
  return Call<std::string>(address, std::move(done),
                           [](FakeWorker&) -> base::Outcome<std::string> {
                             return std::string("c1");
                           });
}

bool FakeVm::Stop(std::string_view address,
                  std::string_view run,
                  Answered<services::WorkerStop> done) {
  return Call<services::WorkerStop>(
      address, std::move(done), [run = std::string(run)](FakeWorker& worker) {
        return worker.Stop(run);
      });
}

bool FakeVm::Report(std::string_view address,
                    Answered<services::WorkerReport> done) {
  return Call<services::WorkerReport>(
      address, std::move(done),
      [](FakeWorker& worker) -> base::Outcome<services::WorkerReport> {
        return worker.Report();
      });
}

bool FakeVm::Append(wire::EntryKind kind,
                    std::string payload,
                    base::MonoTime deadline,
                    LogChannel::Done done) {
  const std::string entry_id = id + "/" + std::to_string(incarnation) + "/" +
                               std::to_string(++m_sequence);
  m_pending[entry_id] = {
      {entry_id, static_cast<uint16_t>(kind), std::move(payload)},
      deadline,
      std::move(done),
      false};
  return true;
}

void FakeVm::FlushAppends() {
  const int64_t now_ms = m_cell.time.NowMillis();
  const bool away = m_cell.log_away || cut_from_log;
  FakeCell::Record record;
  record.time_ms = now_ms;
  if (!away && now_ms - m_flushed_ms >= kAppendIntervalMillis) {
    m_flushed_ms = now_ms;
    for (auto& [entry_id, pending] : m_pending) {
      if (!pending.sent) {
        pending.sent = true;
        record.entries.push_back(pending.entry);
      }
    }
  }
  if (!record.entries.empty()) {
    m_cell.log.push_back(record);
    if (m_cell.Chance(m_cell.options.repeated_appends)) {
      m_cell.time.After(m_cell.Pick(1, 2000), [this, record]() mutable {
        record.time_ms = m_cell.time.NowMillis();
        m_cell.log.push_back(record);
      });
    }
  }
  std::vector<PendingAppend> late;
  for (auto it = m_pending.begin(); it != m_pending.end();) {
    if (it->second.deadline <= m_cell.time.Now()) {
      late.push_back(std::move(it->second));
      it = m_pending.erase(it);
    } else {
      ++it;
    }
  }
  for (PendingAppend& pending : late) {
    pending.done(base::Error{pending.sent ? base::ErrorCode::kUnknown
                                          : base::ErrorCode::kUnavailable,
                             "deadline"});
  }
}

void FakeVm::ReadLog() {
  if (m_cell.log_away || cut_from_log) {
    return;
  }
  for (; m_read < m_cell.log.size(); ++m_read) {
    const FakeCell::Record record = m_cell.log[m_read];
    for (uint32_t i = 0; i < record.entries.size(); ++i) {
      const LogPosition position{m_read, i, record.time_ms};
      ledger->OnEntry(position, record.entries[i]);
      const auto found = m_pending.find(record.entries[i].id);
      if (found != m_pending.end()) {
        const LogChannel::Done done = std::move(found->second.done);
        m_pending.erase(found);
        done(position);
      }
    }
  }
}

bool FakeVm::Request(std::string_view vm,
                     wire::Topic topic,
                     std::string payload,
                     base::Millis timeout,
                     PeerBus::Done done) {
  for (const auto& peer : m_cell.vms) {
    if (peer->id != vm) {
      continue;
    }
    const bool answers = peer->alive && peer->answerers.contains(topic) &&
                         peer->paused_until_ms <= m_cell.time.NowMillis();
    if (!answers) {
      m_cell.time.After(timeout.count(), [done] {
        done(base::Error{base::ErrorCode::kUnknown, "timeout"});
      });
      return true;
    }
    wire::PeerMessage message;
    message.from = id;
    message.incarnation = incarnation;
    message.topic = static_cast<uint16_t>(topic);
    message.payload = std::move(payload);
    done(peer->answerers.at(topic)(message));
    return true;
  }
  return false;
}

std::vector<Peer> FakeVm::Peers() const {
  std::vector<Peer> peers;
  for (const auto& vm : m_cell.vms) {
    if (vm->id == id) {
      continue;
    }
    Peer peer;
    peer.id = vm->id;
    peer.domain = vm->domain;
    peer.incarnation = vm->incarnation;
    peer.suspected = !vm->alive || m_cell.time.NowMillis() <
                                       vm->paused_until_ms - kSuspectMillis;
    peers.push_back(std::move(peer));
  }
  return peers;
}

size_t FakeVm::RankInDomain() const {
  size_t rank = 0;
  for (const Peer& peer : Peers()) {
    rank += peer.domain == domain && !peer.suspected && peer.id < id;
  }
  return rank;
}

int64_t FakeVm::SilentMillis() const {
  return m_cell.time.NowMillis() - m_list_read_ms;
}

std::shared_ptr<const services::VmListPage> FakeVm::Current() const {
  if (m_list && cut_from_list) {
    return m_list;
  }
  m_list_read_ms = m_cell.time.NowMillis();
  if (m_list && m_list->version == m_cell.list_version) {
    return m_list;
  }
  auto page = std::make_shared<services::VmListPage>();
  page->version = m_cell.list_version;
  int index = 0;
  for (const auto& worker : m_cell.workers) {
    services::Vm vm;
    vm.id = worker->id();
    vm.kind = services::VmKind::kWorker;
    vm.address = worker->id();
    vm.domain = "a";
    vm.rack = "r" + std::to_string(index++ / m_cell.options.workers_per_rack);
    vm.cpu_millis = m_cell.options.worker_cpu_millis;
    vm.leaving = m_cell.leaving_workers.contains(vm.id);
    vm.memory_mb = m_cell.options.worker_memory_mb;
    if (!m_cell.listed_removals.contains(vm.id)) {
      page->vms.push_back(std::move(vm));
    }
  }
  m_list = page;
  return page;
}

FakeCell::FakeCell(const FakeCellOptions& cell_options)
    : options(cell_options), random(cell_options.seed) {
  for (int i = 0; i < options.workers; ++i) {
    workers.push_back(std::make_unique<FakeWorker>(
        time, "w" + std::to_string(i), options.report_lag_ms));
    workers_by_id[workers.back()->id()] = workers.back().get();
  }
  for (int i = 0; i < options.entry_vms; ++i) {
    vms.push_back(
        std::make_unique<FakeVm>(*this, "e" + std::to_string(i), "a"));
  }
  for (const auto& vm : vms) {
    vm->Boot();
  }
}

FakeCell::~FakeCell() {
  for (const auto& vm : vms) {
    vm->Kill();
  }
}

void FakeCell::Run(int64_t duration_ms) {
  constexpr int64_t kStepMillis = 5;
  for (int64_t passed = 0; passed < duration_ms; passed += kStepMillis) {
    time.Advance(kStepMillis);
    for (const auto& worker : workers) {
      worker->Step();
    }
    for (const auto& vm : vms) {
      vm->Step();
    }
  }
}

void FakeCell::Submit(FakeVm& vm, const TaskSpec& spec) {
  submitted[spec.id] = spec;
  vm.service->Submit(spec, [this, spec](base::Outcome<TaskFate> result) {
    if (base::Ok(result)) {
      accepted[base::Value(result).id] = spec;
    } else {
      refused[spec.id] = base::GetError(result).message;
    }
  });
}

// Null if the worker does not run.
FakeWorker* FakeCell::FindWorker(const std::string& id) {
  const auto found = workers_by_id.find(id);
  const bool runs =
      found != workers_by_id.end() && !removed_workers.contains(id);
  return runs ? found->second : nullptr;
}

void FakeCell::RemoveWorker(const std::string& id) {
  workers_by_id.at(id)->Restart();
  removed_workers.insert(id);
  listed_removals.insert(id);
  ++list_version;
}

void FakeCell::ReturnWorker(const std::string& id) {
  removed_workers.erase(id);
  listed_removals.erase(id);
  ++list_version;
}

FakeVm* FakeCell::FirstAlive() {
  for (const auto& vm : vms) {
    if (vm->alive && vm->paused_until_ms <= time.NowMillis()) {
      return vm.get();
    }
  }
  return nullptr;
}

FakeVm* FakeCell::Owner() {
  FakeVm* owner = nullptr;
  size_t most = 0;
  for (const auto& vm : vms) {
    const size_t owned = vm->alive ? vm->service->OwnedWorkers() : 0;
    if (owned > most) {
      most = owned;
      owner = vm.get();
    }
  }
  return owner;
}

size_t FakeCell::OwnedWorkers() {
  size_t owned = 0;
  for (const auto& vm : vms) {
    owned += vm->alive ? vm->service->OwnedWorkers() : 0;
  }
  return owned;
}

}  // namespace azurespur::control
