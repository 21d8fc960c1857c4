// Datagrams between the VMs of a cell. Any of them may be lost; the log alone
// is authoritative.

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
#include "cell/vm_resources.h"
#include "jobs/admission_estimate.h"
#include "jobs/orders.h"
#include "jobs/records.h"

namespace azurespur::cell {

enum class Stream : uint8_t { kIntake, kWork };

// The sender as the leader of a term. Epoch 0 if the sender does not lead.
struct LeaderInfo {
  uint64_t epoch = 0;
  std::string address;  // "IP:PORT".

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, address);
  }
};

// Consecutive records of a stream. If `records` is empty, it only tells the
// receiver that there is something to read at `offset`.
struct RecordsSegment {
  Stream stream = Stream::kIntake;
  int64_t offset = 0;
  int64_t end = 0;  // Offset after the last record.
  std::vector<std::string> records;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(stream, offset, end, records);
  }
};

// Announces records stored in the streams.
struct RecordsNotice {
  std::vector<RecordsSegment> segments;
  LeaderInfo leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(segments, leader);
  }
};

// Sent to the leader by a VM that can't read the log, to get records.
struct RecordsRequest {
  Stream stream = Stream::kIntake;
  int64_t from = 0;
  std::string reply_to;  // "IP:PORT".

  template <class Archive>
  void serialize(Archive& archive) {
    archive(stream, from, reply_to);
  }
};

// Sent by a VM that can't append, so that the leader appends the record to the
// intake stream. Retries are safe: only the first record for a job counts.
struct ForwardedIntake {
  uint64_t id = 0;
  std::string record;
  int64_t wait_ms = 0;   // How long the sender waits for the outcome.
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

// Sent by the leader at intervals, more often while it has no new records to
// announce.
struct LeaderHeartbeat {
  LeaderInfo leader;
  bool log_ok = false;             // The log answers the leader's appends.
  std::vector<std::string> peers;  // "IP:PORT" of each live follower.
  // Of the live followers that could lead; 0 if unknown.
  double best_suitability = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(leader, log_ok, peers, best_suitability);
  }
};

// Sent by each follower, so that the leader knows that it is alive and may send
// it advice requests.
struct FollowerHeartbeat {
  std::string vm;
  std::string address;
  double work_micros = 0;  // For a fixed computation; 0 if unknown.
  VmResources resources;
  bool ready = false;  // Could lead now.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(vm, address, work_micros, resources, ready);
  }
};

// Asks a follower to query the advice service on behalf of the leader.
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

// Sent by the leader at intervals, so that a VM that can't read the policy
// learns whether its own is out of date.
struct PolicyNotice {
  uint64_t epoch = 0;
  int64_t version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, version);
  }
};

// The end of a run as its worker reported it.
struct WorkerEnd {
  jobs::EndRecord end;
  std::string worker;  // Its id.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(end, worker);
  }
};

// Sent to the leader by a VM that led before and could not store these ends.
struct ForwardedEnds {
  std::vector<WorkerEnd> ends;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(ends);
  }
};

// Sent by a VM that can't read the policy, to get it from another VM.
struct PolicyRequest {
  uint64_t id = 0;            // The response repeats it.
  int64_t known_version = 0;  // 0: the sender has no policy.
  uint32_t segment = 0;       // Wanted segment of a newer policy.
  std::string reply_to;       // "IP:PORT".

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, known_version, segment, reply_to);
  }
};

// Part of the encoded policy of the responding VM. Without `bytes`, only its
// version and age: it is not newer than the requester's.
struct PolicySegment {
  uint64_t id = 0;      // Of the request.
  int64_t version = 0;  // 0: the responding VM has no policy.
  int64_t age_ms = -1;  // Since the policy was known to be the newest; -1:
                        // it never was.
  uint64_t digest = 0;  // Of the whole encoded policy.
  uint32_t index = 0;   // Of this segment.
  uint32_t count = 0;   // Of segments.
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, version, age_ms, digest, index, count, bytes);
  }
};

// Sent to a leader whose PolicyNotice names an older version, and to a VM whose
// PolicyRequest the sender can't serve now.
struct PolicyOffer {
  int64_t version = 0;
  std::string address;  // "IP:PORT" of a VM that has the version.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, address);
  }
};

// Sent by the leader while new jobs of some accounts would wait, so that any VM
// can refuse submissions. Empty rows end the overload.
struct AdmissionNotice {
  uint64_t epoch = 0;
  uint64_t sequence = 0;  // Of notices within the epoch.
  // The longest waits, if not all fit into a datagram.
  std::vector<jobs::AdmissionWait> rows;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, sequence, rows);
  }
};

// Sent by a VM that is about to refuse a request for the job and can't append,
// to learn whether an earlier request for it may be stored.
struct OpenJobRequest {
  uint64_t id = 0;
  jobs::JobId job = 0;
  std::string reply_to;  // "IP:PORT".

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, job, reply_to);
  }
};

struct OpenJobReply {
  uint64_t id = 0;
  std::string address;  // "IP:PORT" of the sender.
  // The sender knows the job or has an append of it open.
  bool may_be_stored = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, address, may_be_stored);
  }
};

using Message = std::variant<RecordsNotice,
                             LeaderHeartbeat,
                             FollowerHeartbeat,
                             AdviceRequest,
                             AdviceReply,
                             RecordsRequest,
                             ForwardedIntake,
                             ForwardedOutcome,
                             PolicyNotice,
                             ForwardedEnds,
                             PolicyRequest,
                             PolicySegment,
                             PolicyOffer,
                             AdmissionNotice,
                             OpenJobRequest,
                             OpenJobReply>;

}  // namespace azurespur::cell

#endif  // CELL_MESSAGES_H_
