// A VM that starts must come to the same view from a snapshot and the records
// after it as from all records. The streams of a day are too long for a VM with
// a narrow link, and a log removes its oldest records.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "job_table_snapshot.h"
#include "jobs/job_table.h"
#include "wire/codec.h"

namespace azurespur::jobs {

namespace {

using base::Millis;
using base::MonoTime;

constexpr MonoTime kNow{Millis{100000}};
constexpr int kJobs = 4;
constexpr int32_t kTasks = 3;

using AnyRecord = std::variant<IntakeRecord, WorkRecord>;

JobSpec MakeJob(JobId id) {
  JobSpec spec;
  spec.id = id;
  spec.queue = id % 2 == 0 ? "even" : "odd";
  spec.payload = "payload " + std::to_string(id);
  StepSpec single;
  single.count = kTasks;
  StepSpec gang;
  gang.count = kTasks;
  gang.gang = true;
  gang.after = {0};
  spec.steps = {single, gang};
  return spec;
}

Submission MakeSubmission(JobId id) {
  Submission submission;
  submission.spec = MakeJob(id);
  submission.terms.service = id % 2 == 0 ? "even" : "odd";
  submission.terms.max_attempts = 3;
  submission.terms.advice = AdvicePolicy{1.5, 0.5, 2000};
  return submission;
}

AnyRecord RandomRecord(int64_t intake_end) {
  const auto pick = [](int end) { return *rc::gen::inRange(0, end); };
  const auto job = static_cast<JobId>(pick(kJobs));
  const TaskRef task{job, pick(2), pick(kTasks)};
  const int32_t run = pick(4) + 1;
  switch (pick(12)) {
    case 0:
      return IntakeRecord(MakeJob(job));
    case 1:
      return IntakeRecord(MakeSubmission(job));
    case 2:
      return IntakeRecord(CancelRecord{job});
    case 3:
    case 4:
      return WorkRecord(BindRecord{task,
                                   run,
                                   {"w" + std::to_string(pick(3)), 7},
                                   pick(2) == 0 ? "addr" : ""});
    case 5:
      return WorkRecord(EndRecord{task, run, static_cast<EndKind>(pick(3)),
                                  pick(2) == 0 ? "" : "checkpoint"});
    case 6:
      return WorkRecord(JobStartedRecord{job});
    case 7:
      return WorkRecord(HeartbeatRecord{
          1, intake_end,
          pick(2) == 0 ? std::nullopt
                       : std::optional(static_cast<uint64_t>(pick(4)))});
    case 8:
      return IntakeRecord(MissingJobRecord{job});
    case 10:
      return WorkRecord(OpenStartRecord{task, "w" + std::to_string(pick(3))});
    case 9:
      return IntakeRecord(ReceivedSubmission{
          MakeSubmission(job), pick(static_cast<int>(intake_end) + 1)});
    default:
      if (pick(4) == 0) {
        return WorkRecord(JobFailedRecord{job});
      }
      return pick(2) == 0 ? WorkRecord(YieldRecord{1})
                          : WorkRecord(LeaderRecord{1, "vm", "address"});
  }
}

// Applies records and counts those of the intake stream.
struct Replica {
  JobTable table;
  int64_t intake_next = 0;

  void Apply(const AnyRecord& record, MonoTime now) {
    if (const auto* intake = std::get_if<IntakeRecord>(&record)) {
      table.Apply(*intake, intake_next++, now);
    } else {
      table.Apply(std::get<WorkRecord>(record), now);
    }
  }
};

void CheckSameTask(const TaskProgress& a, const TaskProgress& b) {
  RC_ASSERT(a.phase == b.phase);
  RC_ASSERT(a.run == b.run);
  RC_ASSERT(a.failures == b.failures);
  RC_ASSERT(a.worker == b.worker);
  RC_ASSERT(a.checkpoint == b.checkpoint);
}

void CheckSameJob(const Job& a, const Job& b) {
  RC_ASSERT(EncodeIntake(a.spec) == EncodeIntake(b.spec));
  RC_ASSERT(a.state == b.state);
  RC_ASSERT(a.accepted_at == b.accepted_at);
  RC_ASSERT(a.state_since == b.state_since);
  RC_ASSERT(a.steps.size() == b.steps.size());
  for (size_t s = 0; s < a.steps.size(); ++s) {
    RC_ASSERT(a.steps[s].done == b.steps[s].done);
    RC_ASSERT(a.steps[s].bound == b.steps[s].bound);
    RC_ASSERT(a.steps[s].failed_runs == b.steps[s].failed_runs);
    RC_ASSERT(a.steps[s].last_failed_run == b.steps[s].last_failed_run);
    RC_ASSERT(a.steps[s].gang_checkpoint == b.steps[s].gang_checkpoint);
    RC_ASSERT(a.steps[s].tasks.size() == b.steps[s].tasks.size());
    for (size_t i = 0; i < a.steps[s].tasks.size(); ++i) {
      CheckSameTask(a.steps[s].tasks[i], b.steps[s].tasks[i]);
    }
  }
}

void CheckSameTable(const JobTable& a, const JobTable& b) {
  RC_ASSERT(a.epoch() == b.epoch());
  RC_ASSERT(a.leader().vm == b.leader().vm);
  RC_ASSERT(a.leader().address == b.leader().address);
  RC_ASSERT(a.leader_yielded() == b.leader_yielded());
  RC_ASSERT(a.jobs().size() == b.jobs().size());
  for (const auto& [id, job] : a.jobs()) {
    const Job* other = b.Find(id);
    RC_ASSERT(other != nullptr);
    CheckSameJob(job, *other);
  }
  for (JobId id = 0; id < kJobs; ++id) {
    RC_ASSERT(a.StateOf(id) == b.StateOf(id));
  }
  RC_ASSERT(a.open_starts().size() == b.open_starts().size());
  for (const auto& [task, start] : a.open_starts()) {
    const auto other = b.open_starts().find(task);
    RC_ASSERT(other != b.open_starts().end());
    RC_ASSERT(start.worker == other->second.worker);
    RC_ASSERT(start.since == other->second.since);
  }
  RC_ASSERT(a.workers().size() == b.workers().size());
  for (const auto& [id, worker] : a.workers()) {
    RC_ASSERT(b.AddressOf(worker.boot) == worker.address);
    RC_ASSERT(b.workers().at(id).known_since == worker.known_since);
  }
  RC_ASSERT(a.CountPending("even") == b.CountPending("even"));
  RC_ASSERT(a.CountPending("odd") == b.CountPending("odd"));
}

JobTable TableWithBoundTask() {
  JobTable table;
  table.Submit(MakeJob(1), kNow);
  table.Apply(WorkRecord(LeaderRecord{3, "vm", "address"}), kNow);
  table.Apply(WorkRecord(BindRecord{{1, 0, 2}, 1, {"w1", 7}, "addr"}), kNow);
  return table;
}

}  // namespace

// Guards against a job that a restarted VM doesn't know, or knows otherwise
// than the other VMs.
TEST_CASE("a snapshot and the records after it give the same table as all") {
  ::setenv("RC_PARAMS", "seed=20261205 max_success=300", /*overwrite=*/0);
  const bool ok = rc::check("snapshot at any place", [] {
    Replica whole;
    Replica restored;
    const int records = *rc::gen::inRange(1, 120);
    const int snapshot_at = *rc::gen::inRange(0, records);
    for (int i = 0; i < records; ++i) {
      const MonoTime now = kNow + Millis{i};
      if (i == snapshot_at) {
        auto table = DecodeJobTable(EncodeJobTable(whole.table, now), now);
        RC_ASSERT(base::Ok(table));
        restored.table = std::move(base::Value(table));
        restored.intake_next = whole.intake_next;
        CheckSameTable(whole.table, restored.table);
      }
      const AnyRecord record = RandomRecord(whole.intake_next);
      whole.Apply(record, now);
      if (i >= snapshot_at) {
        restored.Apply(record, now);
        CheckSameTable(whole.table, restored.table);
      }
    }
    const MonoTime late = kNow + Millis{records + 50};
    whole.table.RemoveExpired(late, Millis{100});
    restored.table.RemoveExpired(late, Millis{100});
    CheckSameTable(whole.table, restored.table);
  });
  CHECK(ok);
}

TEST_CASE("the ages in a snapshot count on the clock of the VM that reads it") {
  JobTable table;
  table.Submit(MakeJob(1), kNow);
  table.Apply(WorkRecord(JobFailedRecord{1}), kNow);
  const std::string bytes = EncodeJobTable(table, kNow + Millis{400});
  const MonoTime other_clock{Millis{5}};
  auto restored = DecodeJobTable(bytes, other_clock);
  REQUIRE(base::Ok(restored));
  JobTable& read = base::Value(restored);
  read.RemoveExpired(other_clock + Millis{500}, Millis{1000});
  CHECK(read.StateOf(1) == JobState::kFailed);
  read.RemoveExpired(other_clock + Millis{700}, Millis{1000});
  CHECK_FALSE(read.StateOf(1).has_value());
}

TEST_CASE("a truncated snapshot is an error at every length") {
  const std::string bytes = EncodeJobTable(TableWithBoundTask(), kNow);
  for (size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(base::Ok(DecodeJobTable(bytes.substr(0, length), kNow)));
  }
}

TEST_CASE("a snapshot with a damaged byte is an error or a whole table") {
  const std::string bytes = EncodeJobTable(TableWithBoundTask(), kNow);
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string damaged = bytes;
    damaged[i] = static_cast<char>(~damaged[i]);
    auto table = DecodeJobTable(damaged, kNow);
    if (!base::Ok(table)) {
      continue;
    }
    for (const auto& [id, job] : base::Value(table).jobs()) {
      CHECK(job.steps.size() == job.spec.steps.size());
    }
  }
}

// 24 of 31 VMs have 10 Mbit/s, which carry 1.25 MB/s.
TEST_CASE("a snapshot of ten thousand finished jobs fits into a second") {
  JobTable table;
  for (JobId id = 1; id <= 10000; ++id) {
    table.Submit(MakeJob(id), kNow);
    table.Apply(WorkRecord(JobFailedRecord{id}), kNow);
  }
  CHECK(EncodeJobTable(table, kNow).size() < 1250000);
}

// Guards against accepted work that stops once its queue is removed, since the
// VM that leads went on from a snapshot.
TEST_CASE("a snapshot keeps the terms under which jobs were accepted") {
  JobTable table;
  table.Submit(MakeSubmission(1), kNow);
  table.Submit(MakeSubmission(2), kNow);
  table.Submit(MakeJob(3), kNow);
  const auto restored = DecodeJobTable(EncodeJobTable(table, kNow), kNow);
  REQUIRE(base::Ok(restored));
  const JobTable& other = base::Value(restored);
  REQUIRE(other.Find(1)->terms);
  REQUIRE(other.Find(2)->terms);
  CHECK(other.Find(1)->terms->service == "odd");
  CHECK(other.Find(1)->terms->advice->valid_ms == 2000);
  CHECK(other.Find(2)->terms->service == "even");
  CHECK_FALSE(other.Find(3)->terms);
}

// Guards against a job that runs although its caller was told that it doesn't
// exist, since the VM that leads went on from a snapshot.
TEST_CASE("a snapshot keeps the declarations of jobs that are missing") {
  JobTable table;
  table.DeclareMissing(5, 12, kNow);
  const auto restored = DecodeJobTable(EncodeJobTable(table, kNow), kNow);
  REQUIRE(base::Ok(restored));
  JobTable other = base::Value(restored);
  other.Apply(IntakeRecord(ReceivedSubmission{MakeSubmission(5), 12}), 20,
              kNow);
  CHECK_FALSE(other.StateOf(5));
  other.Apply(IntakeRecord(ReceivedSubmission{MakeSubmission(5), 13}), 21,
              kNow);
  CHECK(other.StateOf(5) == JobState::kQueued);
}

// Guards against an upgrade that loses the jobs of the former release.
TEST_CASE("a snapshot of the former release is read") {
  JobTableSnapshotV2 former;
  former.terms = {MakeSubmission(1).terms};
  former.job_terms = {0};
  JobSnapshot& job = former.jobs.emplace_back();
  job.spec = MakeJob(1);
  job.steps.resize(job.spec.steps.size());
  former.early_cancels = {{9, 0}};
  auto restored = DecodeJobTable(wire::Encode(former), kNow);
  REQUIRE(base::Ok(restored));
  JobTable& table = base::Value(restored);
  CHECK(table.StateOf(1) == JobState::kQueued);
  CHECK(table.Find(1)->terms->service == "odd");
  table.Submit(MakeJob(9), kNow);
  CHECK(table.StateOf(9) == JobState::kCancelled);
}

// Guards against a cancelled job that runs since the VM that leads went on from
// a snapshot.
TEST_CASE("a snapshot keeps the cancellations of jobs that are not known yet") {
  JobTable table;
  CHECK_FALSE(table.Cancel(5, 0, kNow));
  const auto restored = DecodeJobTable(EncodeJobTable(table, kNow), kNow);
  REQUIRE(base::Ok(restored));
  JobTable other = base::Value(restored);
  CHECK_FALSE(other.StateOf(5));
  other.Apply(IntakeRecord(MakeSubmission(5)), 1, kNow);
  CHECK(other.StateOf(5) == JobState::kCancelled);
  CHECK(other.CountPending("odd") == 0);
}

// Guards against a VM that becomes leader after a restart and runs a task
// elsewhere while a start of its predecessor may still be carried out.
TEST_CASE("a snapshot keeps the starts that may be under way") {
  JobTable table = TableWithBoundTask();
  table.Apply(WorkRecord(OpenStartRecord{{1, 0, 1}, "w2"}), kNow);
  table.Apply(WorkRecord(HeartbeatRecord{3, 0, uint64_t{0}}), kNow);
  const MonoTime other_clock{Millis{50000}};
  const auto restored =
      DecodeJobTable(EncodeJobTable(table, kNow + Millis{400}), other_clock);
  REQUIRE(base::Ok(restored));
  JobTable other = base::Value(restored);
  REQUIRE(other.open_starts().size() == 1);
  CHECK(other.open_starts().at({1, 0, 1}).worker == "w2");
  CHECK(other.open_starts().at({1, 0, 1}).since == other_clock - Millis{400});
  other.Apply(WorkRecord(BindRecord{{1, 0, 0}, 1, {"w3", 7}}), other_clock);
  SUBCASE("the former leader has settled its first binding") {
    other.Apply(WorkRecord(HeartbeatRecord{3, 0, uint64_t{1}}), other_clock);
    other.Apply(WorkRecord(LeaderRecord{4, "vm", "address"}), other_clock);
    CHECK(other.open_starts().size() == 2);
    CHECK(other.open_starts().at({1, 0, 0}).worker == "w3");
  }
  SUBCASE("it has settled none") {
    other.Apply(WorkRecord(LeaderRecord{4, "vm", "address"}), other_clock);
    CHECK(other.open_starts().size() == 3);
    CHECK(other.open_starts().at({1, 0, 2}).worker == "w1");
  }
  other.RemoveExpired(other_clock + Millis{60000}, Millis{1});
  CHECK(other.open_starts().empty());
}

TEST_CASE("a snapshot of an earlier release is decoded") {
  JobTableSnapshotV1 former;
  former.jobs.emplace_back().spec = MakeJob(1);
  former.jobs[0].steps.resize(2);
  const auto restored = DecodeJobTable(wire::Encode(former), kNow);
  REQUIRE(base::Ok(restored));
  REQUIRE(base::Value(restored).Find(1) != nullptr);
  CHECK_FALSE(base::Value(restored).Find(1)->terms);
}

}  // namespace azurespur::jobs
