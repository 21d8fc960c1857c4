#include "leader_term.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "cell/topics.h"
#include "fake_log.h"
#include "jobs/records.h"

namespace azurespur::cell {

namespace {

using base::Millis;

constexpr uint64_t kEpoch = 9;

struct TermFixture {
  TermFixture() {
    // The append that began the term.
    AppendRequest request;
    request.topic = std::string(kWorkTopic);
    request.records = {jobs::EncodeWork(jobs::LeaderRecord{kEpoch, "a", "b"})};
    request.producer = Producer{std::string(kLeaderProducer), kEpoch, 0};
    log.Append(request, [](const AppendResult&) {});
    log.DeliverResponses();
  }

  void Add(jobs::JobId job) {
    jobs::AddRecord(term->output(), jobs::JobFailedRecord{job});
  }

  // Appends pending records and delivers all responses for `time`.
  void Run(Millis time) {
    for (Millis spent{0}; spent < time; spent += Millis{20}) {
      clock.now += Millis{20};
      term->AppendPending(clock.now, 0);
      log.DeliverResponses();
      while (auto mail = mailbox.Pop()) {
        (*mail)();
      }
    }
  }

  // Place of the first stored record of the kind in the stream; -1: none.
  template <class Predicate>
  int IndexOf(Predicate is_wanted) {
    const auto& stored = log.topics[std::string(kWorkTopic)].records;
    for (size_t i = 0; i < stored.size(); ++i) {
      const auto record = jobs::DecodeWork(stored[i]);
      REQUIRE(base::Ok(record));
      if (is_wanted(base::Value(record))) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  // Makes the scheduler bind the task of a new job.
  void BindTask() {
    jobs::CellPolicy policy;
    policy.queues["q"].service = "s";
    policy.queues["q"].max_attempts = 1;
    jobs::WorkerEntry worker;
    worker.boot = {"w", 1};
    worker.service = "s";
    worker.address = "addr";
    worker.capacity = {10, 10, 0};
    jobs::JobSpec job;
    job.id = 1;
    job.queue = "q";
    job.steps.resize(1);
    job.steps[0].count = 1;
    job.steps[0].demand = {1, 1, 0};
    table.Submit(job, clock.now);
    jobs::Scheduler& scheduler = term->scheduler();
    jobs::HoldOrder hold;
    hold.worker = worker.boot;
    jobs::WorkerReport report;
    report.boot_unix_ms = 1;
    scheduler.SetPolicy(policy);
    scheduler.SetWorkers({&worker, 1}, clock.now);
    hold.fence = scheduler.fleet().workers().at("w").fence;
    scheduler.OnReport(hold, report, clock.now, term->output());
    scheduler.Tick(clock.now, 0, clock.now, term->output());
  }

  // Returns the jobs of the stored records in order, with 0 for a yield.
  std::vector<jobs::JobId> Stored() {
    std::vector<jobs::JobId> stored;
    for (const std::string& bytes :
         log.topics[std::string(kWorkTopic)].records) {
      const auto record = jobs::DecodeWork(bytes);
      const jobs::WorkRecord& work = base::Value(record);
      if (const auto* failed = std::get_if<jobs::JobFailedRecord>(&work)) {
        stored.push_back(failed->job);
      } else if (std::holds_alternative<jobs::YieldRecord>(work)) {
        stored.push_back(0);
      }
    }
    return stored;
  }

  NodeOptions options;
  FakeLog log;
  base::Mailbox mailbox{64};
  FakeClock clock;
  jobs::JobTable table;
  LogTiming timing{Millis{500}};
  std::shared_ptr<LeaderTerm> term = std::make_shared<LeaderTerm>(
      options,
      log,
      mailbox,
      clock,
      table,
      timing,
      kEpoch,
      0,
      [](int64_t, const std::vector<std::string>&) {});
};

}  // namespace

// The log loses responses of appends that took effect and of others that
// didn't.
TEST_CASE("a record is stored once, whichever responses are lost") {
  TermFixture f;
  f.log.InjectFault(AppendFault::kLoseResponse);
  f.log.InjectFault(AppendFault::kLoseRequest);
  f.log.InjectFault(AppendFault::kRefuse);
  f.Add(1);
  f.Run(Millis{400});
  f.Add(2);
  f.Run(Millis{400});
  CHECK(f.Stored() == std::vector<jobs::JobId>{1, 2});
  CHECK_FALSE(f.term->lost());
}

// Guards against a leader that appends nothing more, and so is replaced, since
// the result of one append found the mailbox full.
TEST_CASE("the result of a leader's append is not lost in a full mailbox") {
  TermFixture f;
  f.Add(1);
  f.term->AppendPending(f.clock.now, 0);
  while (f.mailbox.Push([] {})) {
  }
  f.log.DeliverResponses();
  f.Add(2);
  f.Run(Millis{400});
  CHECK(f.Stored() == std::vector<jobs::JobId>{1, 2});
}

// Guards against an append that a narrow link can't carry within its timeout
// and that is repeated for ever.
TEST_CASE("an append of a leader is limited in bytes") {
  TermFixture f;
  jobs::EndRecord end;
  end.checkpoint = std::string(4000, 'c');
  for (int i = 0; i < 100; ++i) {
    jobs::AddRecord(f.term->output(), end);
  }
  f.Run(Millis{400});
  CHECK(f.log.topics[std::string(kWorkTopic)].records.size() >= 101);
  CHECK(f.log.largest_append <= (64 << 10) + 5000);
}

TEST_CASE("a yield is stored after all pending records") {
  TermFixture f;
  f.Add(1);
  f.Add(2);
  f.term->Yield();
  CHECK(f.term->yielding());
  f.Run(Millis{200});
  CHECK(f.term->yielded());
  CHECK(f.Stored() == std::vector<jobs::JobId>{1, 2, 0});
}

// Guards against a successor that takes a start for answered whose leader heard
// nothing, and runs its task elsewhere (review/7).
TEST_CASE("an open start is stored before its binding counts as settled") {
  TermFixture f;
  f.BindTask();
  f.Run(Millis{200});
  REQUIRE(f.term->output().starts.size() == 1);
  const jobs::StartOrder start = f.term->output().starts[0];
  f.Run(Millis{2000});
  CHECK(f.IndexOf([](const jobs::WorkRecord& record) {
    const auto* mark = std::get_if<jobs::HeartbeatRecord>(&record);
    return mark != nullptr && mark->settled_binds.value_or(0) > 0;
  }) < 0);
  f.term->scheduler().OnStarted(start, {}, f.clock.now, f.term->output());
  f.Run(Millis{2000});
  const int open = f.IndexOf([](const jobs::WorkRecord& record) {
    return std::holds_alternative<jobs::OpenStartRecord>(record);
  });
  const int settled = f.IndexOf([](const jobs::WorkRecord& record) {
    const auto* mark = std::get_if<jobs::HeartbeatRecord>(&record);
    return mark != nullptr && mark->settled_binds.value_or(0) == 1;
  });
  CHECK(open > 0);
  CHECK(settled > open);
}

// Guards against starts, and with them leases, of a leader that was suspended
// after it appended the binding: its successor counts the leases from then.
TEST_CASE("a binding is started only if its append was sent of late") {
  for (const auto& [suspended, starts] :
       {std::pair(Millis{3000}, 1U), std::pair(Millis{8000}, 0U)}) {
    TermFixture f;
    f.BindTask();
    f.term->AppendPending(f.clock.now, 0);
    f.clock.now += suspended;
    f.log.DeliverResponses();
    while (auto mail = f.mailbox.Pop()) {
      (*mail)();
    }
    CHECK(f.term->output().starts.size() == starts);
  }
}

TEST_CASE("a fenced leader stores no more records") {
  TermFixture f;
  AppendRequest later;
  later.topic = std::string(kWorkTopic);
  later.records = {jobs::EncodeWork(jobs::LeaderRecord{kEpoch + 1, "c", "d"})};
  later.producer = Producer{std::string(kLeaderProducer), kEpoch + 1, 0};
  f.log.Append(later, [](const AppendResult&) {});
  f.Add(1);
  f.Run(Millis{200});
  CHECK(f.term->lost());
  CHECK(f.Stored().empty());
}

TEST_CASE("an idle leader appends heartbeats at the configured interval") {
  TermFixture f;
  const size_t before = f.log.topics[std::string(kWorkTopic)].records.size();
  f.Run(Millis{1000});
  const size_t after = f.log.topics[std::string(kWorkTopic)].records.size();
  const auto expected =
      static_cast<size_t>(Millis{1000} / f.options.max_append_interval);
  CHECK(after - before >= expected - 1);
  CHECK(after - before <= expected + 1);
}

// The log doesn't serve the leader's VM but serves the others.
TEST_CASE(
    "a leader reports its log as failing after two failed appends in a row") {
  TermFixture f;
  f.log.InjectFault(AppendFault::kLoseResponse);
  f.Run(Millis{700});
  CHECK(f.term->log_ok());
  for (int i = 0; i < 20; ++i) {
    f.log.InjectFault(AppendFault::kRefuse);
  }
  f.Run(Millis{300});
  CHECK_FALSE(f.term->log_ok());
  f.Run(Millis{3000});
  CHECK(f.term->log_ok());
}

}  // namespace azurespur::cell
