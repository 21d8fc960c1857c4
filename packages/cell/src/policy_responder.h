// Answers the requests of VMs that can't read the policy. Does no I/O and reads
// no clock.

#ifndef CELL_SRC_POLICY_RESPONDER_H_
#define CELL_SRC_POLICY_RESPONDER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "cell/messages.h"
#include "jobs/queue_policy.h"

namespace azurespur::cell {

// Of the encoded policy in one PolicySegment. Together with the other fields
// within kMaxNoticeRecordBytes.
inline constexpr size_t kPolicySegmentBytes = 11 << 10;

uint64_t DigestOfPolicy(std::string_view encoded);

class PolicyResponder {
 public:
  using Policy = std::shared_ptr<const jobs::CellPolicy>;

  // The response, a PolicySegment. If too many were made of late, or the link
  // is full, it names another VM that has the policy by a PolicyOffer, or there
  // is none. `policy` may be null. It was known to be the newest at `as_of`.
  std::optional<Message> Answer(const PolicyRequest& request,
                                const Policy& policy,
                                std::optional<base::MonoTime> as_of,
                                bool link_full,
                                base::MonoTime now);

 private:
  // At most 100 of its events pass in any second.
  class SecondLimit {
   public:
    bool Allows(base::MonoTime now);

   private:
    std::array<std::optional<base::MonoTime>, 100> m_passed;  // A ring.
    size_t m_oldest = 0;
  };

  void Encode(const Policy& policy);
  std::optional<Message> Refer(const PolicyRequest& request,
                               base::MonoTime now);
  // False for a new requester while others are being served.
  bool MayServe(const PolicyRequest& request, base::MonoTime now);

  Policy m_policy;        // The encoded one.
  std::string m_encoded;  // Empty if there is none.
  uint64_t m_digest = 0;
  SecondLimit m_segments;
  SecondLimit m_small_answers;  // Without bytes.
  // When each requester was sent its last segment.
  std::map<std::string, base::MonoTime> m_served;
  std::vector<std::string> m_holders;  // Were sent the last segment.
  size_t m_next_holder = 0;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_POLICY_RESPONDER_H_
