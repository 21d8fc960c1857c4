// Gets the policy from other VMs while this VM's reads of it fail or are
// behind, or a call waits for a newer one. Does no I/O and reads no clock.

#ifndef CELL_SRC_POLICY_RELAY_H_
#define CELL_SRC_POLICY_RELAY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "cell/messages.h"
#include "jobs/queue_policy.h"
#include "policy_versions.h"

namespace azurespur::cell {

// What a response tells of the policy.
struct RelayedPolicy {
  // Null: the version that this VM has is confirmed.
  std::shared_ptr<const jobs::CellPolicy> policy;
  // When the policy was known to be the newest, if the responding VM ever knew.
  std::optional<base::MonoTime> as_of;
  std::string source;  // Address of the VM that responded last.
};

class PolicyRelay {
 public:
  // Requests are numbered from `first_id` on, so that responses to those of a
  // former process don't match.
  explicit PolicyRelay(uint64_t first_id) : m_next_id(first_id) {}

  // Reads of the store by this VM itself.
  void OnReadStarted(base::MonoTime now);
  void OnReadFinished(bool ok);

  // A caller needs to know whether there is a newer policy.
  void RequestNow() { m_requested = true; }

  // The VM at `address` has a version that this VM lacks. The sender of the
  // offer may be another one, which is too busy to respond itself.
  void OnOffer(const std::string& address);

  // True if a request is to be sent now.
  bool IsDue(const PolicyVersions& versions, base::MonoTime now);

  // Whom to ask: the VM that has offered a policy, if any; else the leader
  // unless it was of no use the last time; else any other VM.
  const std::string& offerer() const { return m_offerer; }
  bool avoids_leader() const { return m_avoids_leader; }

  // The request to send to `address`; its `reply_to` is empty.
  PolicyRequest MakeRequest(const std::string& address,
                            const PolicyVersions& versions,
                            base::MonoTime now);

  std::optional<RelayedPolicy> OnSegment(const PolicySegment& segment,
                                         const PolicyVersions& versions,
                                         base::MonoTime now);

  // True if the leader, whose notice names `leader_version`, is to be told that
  // this VM has a newer one. Then counts as done.
  bool ShouldOffer(int64_t leader_version,
                   const PolicyVersions& versions,
                   base::MonoTime now);

 private:
  struct PendingRequest {
    uint64_t id = 0;
    std::string address;
    base::MonoTime sent_at{};
  };

  struct Transfer {
    int64_t version = 0;
    uint64_t digest = 0;
    uint32_t count = 0;
    uint32_t next = 0;  // Index of the segment wanted.
    std::string bytes;
    std::optional<base::MonoTime> as_of;
    base::MonoTime began{};
  };

  bool ReadsFail(base::MonoTime now) const;
  void DropOverdue(const PolicyVersions& versions, base::MonoTime now);
  // The VM asked last gave no newer policy; the next request goes to another.
  void AskAnotherVm();
  // True if it begins one.
  bool BeginTransferIfOther(const PolicySegment& segment,
                            const std::string& source,
                            base::MonoTime now);
  std::optional<RelayedPolicy> Finish(const std::string& source,
                                      const PolicyVersions& versions,
                                      base::MonoTime now);

  uint64_t m_next_id;
  std::optional<PendingRequest> m_pending;
  std::optional<Transfer> m_transfer;
  std::string m_offerer;
  std::optional<base::MonoTime> m_read_started;  // Set while a read lasts.
  std::optional<base::MonoTime> m_last_request;
  base::MonoTime m_next_transfer_request{};  // Not before.
  std::optional<base::MonoTime> m_last_offer;
  int m_unanswered = 0;        // Requests in a row.
  bool m_read_failed = false;  // The last read that is over.
  bool m_requested = false;
  bool m_avoids_leader = false;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_POLICY_RELAY_H_
