#include "control/task_ledger.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "control/task_records.h"
#include "wire/codec.h"

namespace azurespur::control {

namespace {

using wire::EntryKind;

// Appends to a stream that any number of ledgers read.
class Stream {
 public:
  template <typename Record>
  void Append(EntryKind kind, const Record& record, int64_t time_ms) {
    const uint64_t offset = m_positions.size();
    m_positions.push_back({offset, 0, time_ms});
    m_entries.push_back({"e" + std::to_string(offset),
                         static_cast<uint16_t>(kind), wire::Encode(record)});
  }

  // Feeds everything from `from` on that `ledger` was not given yet.
  void ReadInto(TaskLedger& ledger, size_t from = 0) const {
    for (size_t i = from; i < m_entries.size(); ++i) {
      ledger.OnEntry(m_positions[i], m_entries[i]);
    }
  }

 private:
  std::vector<LogPosition> m_positions;
  std::vector<wire::LogEntry> m_entries;
};

TaskAccept Accept(const std::string& id, int64_t made_ms) {
  TaskAccept accept;
  accept.spec.id = id;
  accept.spec.plan = "plan";
  accept.domain = "a";
  accept.made_ms = made_ms;
  return accept;
}

TaskBind Bind(uint64_t version, const std::string& worker) {
  TaskBind bind;
  bind.id = "t";
  bind.version = version;
  bind.domain = "a";
  bind.places = {{worker, "marker", "boot", 0}};
  return bind;
}

}  // namespace

TEST_CASE("the first of two bindings wins, and a repeat changes nothing") {
  Stream stream;
  stream.Append(EntryKind::kTaskAccept, Accept("t", 0), 10);
  stream.Append(EntryKind::kTaskBind, Bind(1, "w1"), 20);
  stream.Append(EntryKind::kTaskBind, Bind(1, "w2"), 21);
  stream.Append(EntryKind::kTaskGiveBack, TaskGiveBack{"t", 2, true, {}, {}},
                30);
  stream.Append(EntryKind::kTaskBind, Bind(1, "w1"), 40);
  TaskLedger ledger;
  stream.ReadInto(ledger);
  const auto task = ledger.Find("t");
  REQUIRE(task);
  CHECK(task->phase == TaskPhase::kAccepted);
  CHECK(task->attempt == 1);
  CHECK(ledger.BoundTo("w1").empty());
}

TEST_CASE("an end of a former attempt does not end its successor") {
  Stream stream;
  stream.Append(EntryKind::kTaskAccept, Accept("t", 0), 10);
  stream.Append(EntryKind::kTaskBind, Bind(1, "w1"), 20);
  stream.Append(EntryKind::kTaskGiveBack, TaskGiveBack{"t", 2, true, {}, {}},
                30);
  stream.Append(EntryKind::kTaskBind, Bind(3, "w2"), 40);
  stream.Append(EntryKind::kTaskEnd,
                TaskEnd{"t", 1, TaskPhase::kFinished, {}, {}}, 50);
  TaskLedger ledger;
  stream.ReadInto(ledger);
  CHECK(ledger.Find("t")->phase == TaskPhase::kBound);
}

// Guards against holding a task without a place for ever: two VMs judge a lost
// member, one proves that it has not run and the other can't tell.
TEST_CASE("a late may-have-run does not hold a task that was given back") {
  Stream stream;
  stream.Append(EntryKind::kTaskAccept, Accept("t", 0), 10);
  stream.Append(EntryKind::kTaskBind, Bind(1, "w1"), 20);
  stream.Append(EntryKind::kTaskGiveBack, TaskGiveBack{"t", 2, true, {}, {}},
                30);
  stream.Append(EntryKind::kTaskEnd,
                TaskEnd{"t", 1, TaskPhase::kMayHaveRun, {}, {}}, 40);
  TaskLedger ledger;
  stream.ReadInto(ledger);
  CHECK(ledger.Find("t")->phase == TaskPhase::kAccepted);
}

TEST_CASE("a wave of cancellations ends unbound tasks and marks bound ones") {
  Stream stream;
  stream.Append(EntryKind::kTaskAccept, Accept("t", 0), 10);
  stream.Append(EntryKind::kTaskAccept, Accept("u", 0), 10);
  stream.Append(EntryKind::kTaskBind, Bind(1, "w1"), 20);
  stream.Append(EntryKind::kTaskCancel, TaskCancel{{"t", "u"}, "wave"}, 30);
  TaskLedger ledger;
  stream.ReadInto(ledger);
  CHECK(ledger.Find("t")->phase == TaskPhase::kBound);
  CHECK(ledger.Find("t")->cancel_requested);
  CHECK(ledger.Find("u")->phase == TaskPhase::kCancelled);
}

TEST_CASE("a late refresh reverts nothing and revives nothing") {
  TaskLedgerOptions options;
  options.fate_retention_ms = 1000;
  options.record_validity_ms = 500;
  TaskLedger ledger(options);
  Stream stream;
  stream.Append(EntryKind::kTaskAccept, Accept("t", 0), 10);
  stream.ReadInto(ledger);
  const std::vector<RefreshEntry> refresh = ledger.Refresh(11);
  REQUIRE(refresh.size() == 1);
  const auto record =
      base::Value(wire::Decode<TaskRefresh>(refresh.front().payload));
  stream.Append(EntryKind::kTaskBind, Bind(1, "w1"), 20);
  stream.Append(EntryKind::kTaskRefresh, record, 30);
  stream.ReadInto(ledger, 1);
  CHECK(ledger.Find("t")->phase == TaskPhase::kBound);

  stream.Append(EntryKind::kTaskEnd,
                TaskEnd{"t", 1, TaskPhase::kFinished, {}, {}}, 40);
  stream.Append(EntryKind::kTaskAccept, Accept("u", 2000), 2000);
  stream.Append(EntryKind::kTaskRefresh, record, 2001);
  stream.Append(EntryKind::kTaskAccept, Accept("t", 0), 2002);
  stream.ReadInto(ledger, 3);
  CHECK_FALSE(ledger.Find("t"));
  CHECK(ledger.Find("u"));
}

TEST_CASE("a reader that missed the first records agrees after a refresh") {
  TaskLedger old_reader;
  Stream stream;
  stream.Append(EntryKind::kTaskAccept, Accept("t", 0), 10);
  stream.ReadInto(old_reader);
  const auto record = base::Value(
      wire::Decode<TaskRefresh>(old_reader.Refresh(11).front().payload));
  stream.Append(EntryKind::kTaskBind, Bind(1, "w1"), 20);
  stream.Append(EntryKind::kTaskBind, Bind(1, "w2"), 21);
  stream.Append(EntryKind::kTaskRefresh, record, 30);
  stream.Append(EntryKind::kTaskStarted, TaskStarted{"t", 1}, 40);
  stream.ReadInto(old_reader, 1);
  TaskLedger fresh_reader;
  stream.ReadInto(fresh_reader, 1);
  for (const TaskLedger* ledger : {&old_reader, &fresh_reader}) {
    const auto task = ledger->Find("t");
    REQUIRE(task);
    CHECK(task->phase == TaskPhase::kRunning);
    CHECK(task->places.front().worker == "w1");
    CHECK(task->version == 3);
  }
}

TEST_CASE("saved state continues where it was taken") {
  Stream stream;
  stream.Append(EntryKind::kTaskAccept, Accept("t", 0), 10);
  stream.Append(EntryKind::kTaskBind, Bind(1, "w1"), 20);
  TaskLedger first;
  stream.ReadInto(first);
  TaskLedger second;
  REQUIRE(base::Ok(second.LoadState(first.SaveState())));
  stream.Append(EntryKind::kTaskGiveBack, TaskGiveBack{"t", 2, true, {}, {}},
                30);
  stream.ReadInto(second);  // The whole stream again.
  CHECK(second.Find("t")->version == 3);
  CHECK(second.Unbound("a").size() == 1);
  CHECK_FALSE(base::Ok(second.LoadState("garbage")));
}

}  // namespace azurespur::control
