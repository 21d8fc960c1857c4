// All interleavings of what can happen to the intake of one job: two requests
// that submit it, appends that are carried out late and twice, a question that
// declares it missing, a cancellation, and a restart from a snapshot. Judged by
// what the callers were told: what was answered as missing or cancelled never
// runs, and what was accepted is known.

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job_table.h"

namespace azurespur::jobs {

namespace {

constexpr JobId kJob = 7;
constexpr base::MonoTime kNow{base::Millis{100000}};
constexpr int kMaxDepth = 9;
// An append may be carried out late, and once more for the sender's own repeat.
constexpr int kMaxCopies = 2;

enum class Event {
  kReceiveFirst,  // A VM that has read the whole stream gets a request.
  kReceiveSecond,
  kReceiveSecondBehind,  // By a VM that has read nothing of the stream.
  kStoreFirst,
  kStoreSecond,
  kDeclareMissing,
  kCancel,
  kRestoreSnapshot,
};

constexpr std::array kEvents = {
    Event::kReceiveFirst, Event::kReceiveSecond,   Event::kReceiveSecondBehind,
    Event::kStoreFirst,   Event::kStoreSecond,     Event::kDeclareMissing,
    Event::kCancel,       Event::kRestoreSnapshot,
};

// One request that submits the job.
struct Request {
  std::optional<int64_t> intake_next;  // Set once it is received.
  int copies = 0;                      // Of its append, carried out so far.
  bool withdrawn = false;  // Received before the job was answered as missing.
};

struct World {
  JobTable table;
  int64_t end = 0;  // Of the stream, which `table` has read.
  std::array<Request, 2> requests;
  bool cancelled = false;
  bool accepted = false;
  bool restored = false;
};

bool Receive(World& world, size_t request, int64_t intake_next) {
  if (world.requests[request].intake_next) {
    return false;
  }
  world.requests[request].intake_next = intake_next;
  return true;
}

void Append(World& world, const IntakeRecord& record) {
  world.table.Apply(record, world.end++, kNow);
}

// The VM that received the request reads the stream up to its own record before
// it answers: a void submission is refused.
bool Store(World& world, size_t number) {
  Request& request = world.requests[number];
  if (!request.intake_next || request.copies == kMaxCopies) {
    return false;
  }
  ++request.copies;
  ReceivedSubmission record;
  record.submission.spec.id = kJob;
  record.submission.spec.steps.resize(1);
  record.intake_next = *request.intake_next;
  Append(world, record);
  world.accepted =
      world.accepted || (!request.withdrawn && world.table.StateOf(kJob));
  return true;
}

bool DeclareMissing(World& world) {
  Append(world, MissingJobRecord{kJob});
  if (world.table.StateOf(kJob)) {
    return true;
  }
  // The caller hears "no such job". Its requests so far are over for it.
  for (Request& request : world.requests) {
    request.withdrawn = request.intake_next.has_value();
  }
  return true;
}

bool RestoreSnapshot(World& world) {
  if (world.restored) {
    return false;
  }
  world.restored = true;
  auto table = DecodeJobTable(EncodeJobTable(world.table, kNow), kNow);
  REQUIRE(base::Ok(table));
  world.table = std::move(base::Value(table));
  return true;
}

// Returns false if the event can't happen now.
bool Play(World& world, Event event) {
  switch (event) {
    case Event::kReceiveFirst:
      return Receive(world, 0, world.end);
    case Event::kReceiveSecond:
      return Receive(world, 1, world.end);
    case Event::kReceiveSecondBehind:
      return Receive(world, 1, 0);
    case Event::kStoreFirst:
      return Store(world, 0);
    case Event::kStoreSecond:
      return Store(world, 1);
    case Event::kDeclareMissing:
      return DeclareMissing(world);
    case Event::kCancel:
      if (world.cancelled) {
        return false;
      }
      world.cancelled = true;
      Append(world, CancelRecord{kJob});
      return true;
    case Event::kRestoreSnapshot:
      return RestoreSnapshot(world);
  }
  return false;
}

bool MayRun(const JobTable& table) {
  const auto state = table.StateOf(kJob);
  return state && !IsFinal(*state);
}

// Returns what is wrong; empty if nothing is.
std::string Judge(const World& world) {
  if (world.cancelled && MayRun(world.table)) {
    return "a cancelled job may run";
  }
  if (world.accepted && !world.table.StateOf(kJob)) {
    return "an accepted job is unknown";
  }
  if (!world.accepted && MayRun(world.table)) {
    return "a job may run that was answered as missing";
  }
  return "";
}

struct Search {
  int64_t states = 0;
  std::vector<Event> path;
  std::string fault;  // The first one.

  void Explore(const World& world) {
    ++states;
    fault = Judge(world);
    if (!fault.empty() || path.size() == kMaxDepth) {
      return;
    }
    for (Event event : kEvents) {
      World next = world;
      if (!Play(next, event)) {
        continue;
      }
      path.push_back(event);
      Explore(next);
      if (!fault.empty()) {
        return;
      }
      path.pop_back();
    }
  }
};

}  // namespace

// Guards against a job that runs after a caller was told that it doesn't exist
// or is cancelled, and against an accepted one that is lost.
TEST_CASE("no order of the intake's events makes an answer untrue") {
  Search search;
  search.Explore({});
  std::string events;
  for (Event event : search.path) {
    events += std::to_string(static_cast<int>(event)) + " ";
  }
  INFO("events: ", events);
  MESSAGE(search.states, " states");
  CHECK(search.fault == "");
  CHECK(search.states > 10000);
}

}  // namespace azurespur::jobs
