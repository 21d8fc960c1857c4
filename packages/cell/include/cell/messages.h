// Datagrams between the VMs of a cell. Each may be lost; the log has all that
// matters.

#ifndef CELL_MESSAGES_H_
#define CELL_MESSAGES_H_

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cell/store_outcome.h"
#include "jobs/orders.h"

namespace azurespur::cell {

enum class Stream : uint8_t { kIntake, kWork };

// Names the sender as the leader of a term. Epoch 0: the sender is none.
struct LeaderInfo {
  uint64_t epoch = 0;
  std::string address;  // "IP:PORT".

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, address);
  }
};

// Records that stand in a stream. Without records: only that there are some.
struct RecordsNotice {
  Stream stream = Stream::kIntake;
  int64_t offset = 0;
  std::vector<std::string> records;
  LeaderInfo leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(stream, offset, records, leader);
  }
};

// A VM that can't read the log asks the leader for records.
struct RecordsRequest {
  Stream stream = Stream::kIntake;
  int64_t from = 0;
  std::string reply_to;  // "IP:PORT".

  template <class Archive>
  void serialize(Archive& archive) {
    archive(stream, from, reply_to);
  }
};

// A VM that can't append asks the leader to append a record to the intake. A
// repeat is harmless: the first record for a job counts.
struct ForwardedIntake {
  uint64_t id = 0;
  std::string record;
  int64_t wait_ms = 0;   // The answer is of use for so long.
  std::string reply_to;  // "IP:PORT".

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, record, wait_ms, reply_to);
  }
};

struct ForwardedOutcome {
  uint64_t id = 0;
  StoreOutcome outcome = StoreOutcome::kUnknown;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, outcome);
  }
};

// The leader lives; sent when it has no records to tell of.
struct LeaderHeartbeat {
  LeaderInfo leader;
  bool log_ok = false;             // Its appends are answered.
  std::vector<std::string> peers;  // "IP:PORT" of each VM that it hears.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(leader, log_ok, peers);
  }
};

// A follower lives and can ask for advice.
struct FollowerHeartbeat {
  std::string vm;
  std::string address;
  double work_micros = 0;  // Of a fixed computation; 0: not known yet.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(vm, address, work_micros);
  }
};

// The leader wants advice asked for.
struct AdviceRequest {
  uint64_t epoch = 0;
  uint64_t query_id = 0;
  jobs::JobId job = 0;
  int32_t step = 0;
  std::vector<std::string> workers;
  int64_t timeout_ms = 0;
  std::string reply_to;  // "IP:PORT".

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, query_id, job, step, workers, timeout_ms, reply_to);
  }
};

struct AdviceReply {
  uint64_t epoch = 0;
  uint64_t query_id = 0;
  bool ok = false;
  std::vector<jobs::AdviceTicket> tickets;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, query_id, ok, tickets);
  }
};

using Message = std::variant<RecordsNotice,
                             LeaderHeartbeat,
                             FollowerHeartbeat,
                             AdviceRequest,
                             AdviceReply,
                             RecordsRequest,
                             ForwardedIntake,
                             ForwardedOutcome>;

}  // namespace azurespur::cell

#endif  // CELL_MESSAGES_H_
