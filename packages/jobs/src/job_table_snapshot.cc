#include "job_table_snapshot.h"

#include <algorithm>
#include <map>
#include <utility>

#include "jobs/job_table.h"
#include "wire/codec.h"

namespace azurespur::jobs {

namespace {

base::Error Malformed(const std::string& what) {
  return {base::ErrorCode::kInvalid, "job table snapshot: " + what};
}

bool IsTouched(const TaskProgress& task) {
  return task.phase != TaskPhase::kWaiting || task.run > 0;
}

// Numbers workers in the order in which they are first asked for.
class WorkerNumbers {
 public:
  int32_t NumberOf(const WorkerBoot& worker) {
    if (worker.id.empty()) {
      return -1;
    }
    const auto [entry, added] =
        m_numbers.emplace(worker, static_cast<int32_t>(m_numbers.size()));
    if (added) {
      m_workers.push_back(worker);
    }
    return entry->second;
  }

  std::vector<WorkerBoot> TakeAll() { return std::move(m_workers); }

 private:
  std::map<WorkerBoot, int32_t> m_numbers;
  std::vector<WorkerBoot> m_workers;
};

StepSnapshot SaveStep(const StepProgress& step, WorkerNumbers& workers) {
  StepSnapshot saved;
  saved.failed_runs = step.failed_runs;
  saved.last_failed_run = step.last_failed_run;
  saved.gang_checkpoint = step.gang_checkpoint;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskProgress& task = step.tasks[i];
    if (IsTouched(task)) {
      saved.tasks.push_back(
          {static_cast<int32_t>(i), static_cast<uint8_t>(task.phase), task.run,
           task.failures, workers.NumberOf(task.worker), task.checkpoint});
    }
  }
  return saved;
}

// Numbers different terms in the order in which they are first asked for.
class TermsNumbers {
 public:
  int32_t NumberOf(const std::optional<QueueTerms>& terms) {
    if (!terms) {
      return -1;
    }
    const auto [entry, added] = m_numbers.emplace(
        wire::Encode(*terms), static_cast<int32_t>(m_terms.size()));
    if (added) {
      m_terms.push_back(*terms);
    }
    return entry->second;
  }

  std::vector<QueueTerms> TakeAll() { return std::move(m_terms); }

 private:
  std::map<std::string, int32_t> m_numbers;  // By encoded terms.
  std::vector<QueueTerms> m_terms;
};

// Reads the form of this release, else that of an earlier one.
// Sets `rest` to the bytes after it.
base::Outcome<JobTableSnapshot> DecodeSnapshot(std::string_view bytes,
                                               std::string_view& rest) {
  const auto decoded = wire::Decode<uint64_t>(bytes);
  const uint64_t format = base::Ok(decoded) ? base::Value(decoded) : 0;
  if (format == kSnapshotFormat) {
    return wire::DecodePrefix<JobTableSnapshot>(bytes, rest);
  }
  JobTableSnapshot snapshot;
  if (format == kSnapshotFormatV2) {
    auto former = wire::Decode<JobTableSnapshotV2>(bytes);
    if (!base::Ok(former)) {
      return base::GetError(former);
    }
    static_cast<JobTableSnapshotV2&>(snapshot) = base::Value(std::move(former));
    return snapshot;
  }
  auto first = wire::Decode<JobTableSnapshotV1>(bytes);
  if (!base::Ok(first)) {
    return base::GetError(first);
  }
  static_cast<JobTableSnapshotV1&>(snapshot) = base::Value(std::move(first));
  snapshot.job_terms.assign(snapshot.jobs.size(), -1);
  return snapshot;
}

// Numbers accounts in the order in which they are first asked for.
class AccountNumbers {
 public:
  int32_t NumberOf(const std::string& account) {
    if (account.empty()) {
      return -1;
    }
    const auto [entry, added] =
        m_numbers.emplace(account, static_cast<int32_t>(m_accounts.size()));
    if (added) {
      m_accounts.push_back(account);
    }
    return entry->second;
  }

  std::vector<std::string> TakeAll() { return std::move(m_accounts); }

 private:
  std::map<std::string, int32_t, std::less<>> m_numbers;
  std::vector<std::string> m_accounts;
};

// The accounts of `saved`, which has no more and no fewer entries than stated.
// Without accounts, none for each entry.
// Sets `rest` to the bytes after them.
base::Outcome<AccountsSnapshot> DecodeAccounts(std::string_view bytes,
                                               const JobTableSnapshot& saved,
                                               std::string_view& rest) {
  AccountsSnapshot accounts;
  if (bytes.empty()) {
    accounts.job_accounts.assign(saved.jobs.size(), -1);
    accounts.final_accounts.assign(saved.final_jobs.size(), -1);
    accounts.beyond_rate.assign(saved.jobs.size(), 0);
    return accounts;
  }
  auto decoded = wire::DecodePrefix<AccountsSnapshot>(bytes, rest);
  if (!base::Ok(decoded)) {
    return decoded;
  }
  accounts = base::Value(std::move(decoded));
  const auto known = [&accounts](int32_t number) {
    return number < static_cast<int32_t>(accounts.accounts.size());
  };
  const bool fits = accounts.job_accounts.size() == saved.jobs.size() &&
                    accounts.final_accounts.size() == saved.final_jobs.size() &&
                    accounts.beyond_rate.size() == saved.jobs.size() &&
                    std::all_of(accounts.job_accounts.begin(),
                                accounts.job_accounts.end(), known) &&
                    std::all_of(accounts.final_accounts.begin(),
                                accounts.final_accounts.end(), known);
  if (!fits) {
    return Malformed("accounts of the jobs");
  }
  return accounts;
}

std::string AccountAt(const AccountsSnapshot& accounts, int32_t number) {
  return number < 0 ? std::string()
                    : accounts.accounts[static_cast<size_t>(number)];
}

bool HasPart(const JobTableSnapshot& saved, TrailingPart part) {
  int32_t used = 0;
  for (const int32_t number : saved.job_terms) {
    used = std::max(used, number + 1);
  }
  return used + static_cast<int32_t>(part) <=
         static_cast<int32_t>(saved.terms.size());
}

// Sets `rest` to the bytes after the part.
template <typename Part>
base::Outcome<Part> DecodePart(std::string_view bytes,
                               const JobTableSnapshot& saved,
                               TrailingPart part,
                               std::string_view& rest) {
  return HasPart(saved, part) ? wire::DecodePrefix<Part>(bytes, rest)
                              : base::Outcome<Part>(Part{});
}

bool HasValidTerms(const JobTableSnapshot& saved) {
  return saved.job_terms.size() == saved.jobs.size() &&
         std::all_of(saved.job_terms.begin(), saved.job_terms.end(),
                     [&saved](int32_t number) {
                       return number < static_cast<int32_t>(saved.terms.size());
                     });
}

bool IsKnownState(uint8_t state) {
  return state <= static_cast<uint8_t>(JobState::kCancelled);
}

// Returns false if the snapshot contradicts itself.
bool RestoreTask(const TaskSnapshot& saved,
                 const std::vector<WorkerBoot>& workers,
                 StepProgress& step) {
  if (saved.index < 0 ||
      static_cast<size_t>(saved.index) >= step.tasks.size() ||
      saved.phase > static_cast<uint8_t>(TaskPhase::kDone) ||
      saved.worker >= static_cast<int32_t>(workers.size())) {
    return false;
  }
  TaskProgress& task = step.tasks[static_cast<size_t>(saved.index)];
  task.phase = static_cast<TaskPhase>(saved.phase);
  task.run = saved.run;
  task.failures = saved.failures;
  task.checkpoint = saved.checkpoint;
  if (saved.worker >= 0) {
    task.worker = workers[static_cast<size_t>(saved.worker)];
  }
  step.bound += task.phase == TaskPhase::kBound ? 1 : 0;
  step.done += task.phase == TaskPhase::kDone ? 1 : 0;
  return true;
}

bool RestoreStep(const StepSnapshot& saved,
                 const std::vector<WorkerBoot>& workers,
                 StepProgress& step) {
  step.failed_runs = saved.failed_runs;
  step.last_failed_run = saved.last_failed_run;
  step.gang_checkpoint = saved.gang_checkpoint;
  for (const TaskSnapshot& task : saved.tasks) {
    if (!RestoreTask(task, workers, step)) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string EncodeJobTable(const JobTable& table, base::MonoTime now) {
  JobTableSnapshot saved;
  saved.leader = table.m_leader;
  saved.yielded = table.m_yielded;
  WorkerNumbers workers;
  TermsNumbers terms;
  AccountNumbers numbers;
  AccountsSnapshot accounts;
  saved.jobs.reserve(table.m_jobs.size());
  for (const auto& [id, job] : table.m_jobs) {
    JobSnapshot& entry = saved.jobs.emplace_back();
    entry.spec = job.spec;
    saved.job_terms.push_back(terms.NumberOf(job.terms));
    accounts.job_accounts.push_back(numbers.NumberOf(job.spec.account));
    accounts.beyond_rate.push_back(job.beyond_rate ? 1 : 0);
    for (const StepProgress& step : job.steps) {
      entry.steps.push_back(SaveStep(step, workers));
    }
    entry.state = static_cast<uint8_t>(job.state);
    entry.accepted_age_ms = base::MillisBetween(job.accepted_at, now);
    entry.state_age_ms = base::MillisBetween(job.state_since, now);
    const auto cancelled = table.m_cancel_offsets.find(id);
    if (cancelled != table.m_cancel_offsets.end()) {
      entry.cancel_offset = cancelled->second;
    }
  }
  saved.final_jobs.reserve(table.m_final.size());
  for (const auto& [id, final] : table.m_final) {
    saved.final_jobs.push_back({id, static_cast<uint8_t>(final.state),
                                base::MillisBetween(final.since, now)});
    accounts.final_accounts.push_back(numbers.NumberOf(final.account));
  }
  for (const auto& [id, since] : table.m_early_cancels) {
    saved.early_cancels.push_back({id, base::MillisBetween(since, now)});
  }
  for (const auto& [id, declared] : table.m_missing) {
    saved.missing_jobs.push_back(
        {id, declared.offset, base::MillisBetween(declared.since, now)});
  }
  saved.workers = workers.TakeAll();
  saved.terms = terms.TakeAll();
  accounts.accounts = numbers.TakeAll();
  StartsSnapshot starts;
  for (const auto& [task, start] : table.m_open_starts) {
    starts.open.push_back(
        {task, start.worker, base::MillisBetween(start.since, now)});
  }
  for (const auto& [number, bind] : table.m_unsettled) {
    starts.unsettled.push_back({number, bind.task, bind.worker});
  }
  starts.term_binds = table.m_term_binds;
  starts.settles = table.m_settles;
  const bool has_parts = !starts.open.empty() || starts.term_binds > 0 ||
                         starts.settles || !table.m_workers.empty();
  std::vector<WorkerSnapshot> bound;
  for (const auto& [id, worker] : table.m_workers) {
    bound.push_back({worker.boot, worker.address,
                     base::MillisBetween(worker.known_since, now)});
  }
  if (has_parts) {
    saved.terms.resize(saved.terms.size() +
                       static_cast<size_t>(TrailingPart::kWorkers));
  }
  std::string bytes = wire::Encode(saved);
  if (!accounts.accounts.empty() || has_parts) {
    accounts.rates = table.m_rates.buckets();
    bytes += wire::Encode(accounts);
  }
  return has_parts ? bytes + wire::Encode(starts) + wire::Encode(bound) : bytes;
}

base::Outcome<JobTable> DecodeJobTable(std::string_view bytes,
                                       base::MonoTime now) {
  std::string_view rest;
  auto decoded = DecodeSnapshot(bytes, rest);
  if (!base::Ok(decoded)) {
    return base::GetError(decoded);
  }
  JobTableSnapshot& saved = base::Value(decoded);
  if (!HasValidTerms(saved)) {
    return Malformed("terms of the jobs");
  }
  std::string_view starts_bytes;
  const auto decoded_accounts = DecodeAccounts(rest, saved, starts_bytes);
  if (!base::Ok(decoded_accounts)) {
    return base::GetError(decoded_accounts);
  }
  std::string_view workers_bytes;
  const auto starts = DecodePart<StartsSnapshot>(
      starts_bytes, saved, TrailingPart::kStarts, workers_bytes);
  if (!base::Ok(starts)) {
    return base::GetError(starts);
  }
  const auto workers = DecodePart<std::vector<WorkerSnapshot>>(
      workers_bytes, saved, TrailingPart::kWorkers, rest);
  if (!base::Ok(workers)) {
    return base::GetError(workers);
  }
  const AccountsSnapshot& accounts = base::Value(decoded_accounts);
  JobTable table;
  table.m_leader = saved.leader;
  table.m_yielded = saved.yielded;
  for (size_t i = 0; i < saved.jobs.size(); ++i) {
    const JobSnapshot& entry = saved.jobs[i];
    const JobId id = entry.spec.id;
    if (!IsKnownState(entry.state) || !IsValid(entry.spec) ||
        entry.steps.size() != entry.spec.steps.size() ||
        !table.Submit(entry.spec, now - base::Millis{entry.accepted_age_ms})) {
      return Malformed("job " + FormatJobId(id));
    }
    Job& job = table.m_jobs.at(id);
    job.spec.account = AccountAt(accounts, accounts.job_accounts[i]);
    job.beyond_rate = accounts.beyond_rate[i] != 0;
    if (saved.job_terms[i] >= 0) {
      job.terms = saved.terms[static_cast<size_t>(saved.job_terms[i])];
    }
    for (size_t s = 0; s < entry.steps.size(); ++s) {
      if (!RestoreStep(entry.steps[s], saved.workers, job.steps[s])) {
        return Malformed("step " + std::to_string(s) + " of job " +
                         FormatJobId(id));
      }
    }
    const auto state = static_cast<JobState>(entry.state);
    if (state != JobState::kQueued) {
      table.SetState(job, state, now - base::Millis{entry.state_age_ms});
    }
    if (entry.cancel_offset >= 0) {
      table.m_cancel_offsets.emplace(id, entry.cancel_offset);
    }
  }
  for (size_t i = 0; i < saved.final_jobs.size(); ++i) {
    const FinalJobSnapshot& entry = saved.final_jobs[i];
    const auto state = static_cast<JobState>(entry.state);
    if (!IsKnownState(entry.state) || !IsFinal(state)) {
      return Malformed("final state of job " + FormatJobId(entry.id));
    }
    table.m_final[entry.id] = {state, now - base::Millis{entry.age_ms},
                               AccountAt(accounts, accounts.final_accounts[i])};
  }
  for (const EarlyCancelSnapshot& entry : saved.early_cancels) {
    table.m_early_cancels[entry.id] = now - base::Millis{entry.age_ms};
  }
  for (const MissingJobSnapshot& entry : saved.missing_jobs) {
    table.m_missing[entry.id] = {entry.offset,
                                 now - base::Millis{entry.age_ms}};
  }
  table.m_rates.Restore(accounts.rates);
  const StartsSnapshot& saved_starts = base::Value(starts);
  for (const OpenStartSnapshot& entry : saved_starts.open) {
    table.m_open_starts[entry.task] = {entry.worker,
                                       now - base::Millis{entry.age_ms}};
  }
  for (const UnsettledBindSnapshot& entry : saved_starts.unsettled) {
    table.m_unsettled[entry.number] = {entry.task, entry.worker};
  }
  for (const WorkerSnapshot& entry : base::Value(workers)) {
    table.m_workers[entry.boot.id] = {entry.boot, entry.address,
                                      now - base::Millis{entry.age_ms}};
  }
  table.m_term_binds = saved_starts.term_binds;
  table.m_settles = saved_starts.settles;
  return table;
}

}  // namespace azurespur::jobs
