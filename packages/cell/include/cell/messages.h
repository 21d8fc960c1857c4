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

#include "jobs/orders.h"

namespace azurespur::cell {

enum class Stream : uint8_t { kIntake, kWork };

// Records that were just appended. Without records: only that there are some.
struct RecordsNotice {
  Stream stream = Stream::kIntake;
  int64_t offset = 0;
  std::vector<std::string> records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(stream, offset, records);
  }
};

// The leader lives; sent when it has no records to tell of.
struct Alive {
  uint64_t epoch = 0;
  bool log_ok = false;             // Its appends are answered.
  std::vector<std::string> peers;  // "IP:PORT" of each VM that it hears.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, log_ok, peers);
  }
};

// A follower lives and can ask for advice.
struct Hello {
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

using Message =
    std::variant<RecordsNotice, Alive, Hello, AdviceRequest, AdviceReply>;

}  // namespace azurespur::cell

#endif  // CELL_MESSAGES_H_
