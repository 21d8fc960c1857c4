#include "policy_responder.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

#include "wire/codec.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

// 200 KB to each take 3 s on 2 Mbit/s. More requesters at a time would all
// exceed the time for a transfer.
constexpr size_t kMaxRequesters = 4;
constexpr size_t kMaxHolders = 64;
// A requester sends its next request sooner, also where one is lost.
constexpr Millis kRequesterTimeout{500};

}  // namespace

uint64_t DigestOfPolicy(std::string_view encoded) {
  return XXH3_64bits(encoded.data(), encoded.size());
}

bool PolicyResponder::SecondLimit::Allows(MonoTime now) {
  std::optional<MonoTime>& oldest = m_passed[m_oldest];
  if (oldest && now < *oldest + Millis{1000}) {
    return false;
  }
  oldest = now;
  m_oldest = (m_oldest + 1) % m_passed.size();
  return true;
}

std::optional<Message> PolicyResponder::Answer(const PolicyRequest& request,
                                               const Policy& policy,
                                               std::optional<MonoTime> as_of,
                                               bool link_full,
                                               MonoTime now) {
  PolicySegment segment;
  segment.id = request.id;
  if (policy != nullptr) {
    segment.version = policy->version;
    segment.age_ms = as_of ? base::MillisBetween(*as_of, now) : -1;
  }
  if (segment.version <= request.known_version) {
    return m_small_answers.Allows(now) ? std::optional<Message>(segment)
                                       : std::nullopt;
  }
  Encode(policy);
  if (link_full || !MayServe(request, now) || !m_segments.Allows(now)) {
    return Refer(request, now);
  }
  m_served[request.reply_to] = now;
  const size_t count =
      (m_encoded.size() + kPolicySegmentBytes - 1) / kPolicySegmentBytes;
  segment.digest = m_digest;
  segment.count = static_cast<uint32_t>(count);
  // A requester that began with another version begins again.
  segment.index = request.segment < count ? request.segment : 0;
  segment.bytes = m_encoded.substr(segment.index * kPolicySegmentBytes,
                                   kPolicySegmentBytes);
  if (segment.index + 1 == count && m_holders.size() < kMaxHolders &&
      std::ranges::count(m_holders, request.reply_to) == 0) {
    m_holders.push_back(request.reply_to);
  }
  return segment;
}

// Without it, requesters would find the VMs that have the policy by chance.
std::optional<Message> PolicyResponder::Refer(const PolicyRequest& request,
                                              MonoTime now) {
  for (size_t i = 0; i < m_holders.size(); ++i) {
    const std::string& holder = m_holders[m_next_holder++ % m_holders.size()];
    if (holder != request.reply_to) {
      return m_small_answers.Allows(now) ? std::optional<Message>(PolicyOffer{
                                               m_policy->version, holder})
                                         : std::nullopt;
    }
  }
  return std::nullopt;
}

bool PolicyResponder::MayServe(const PolicyRequest& request, MonoTime now) {
  std::erase_if(m_served, [now](const auto& entry) {
    return entry.second + kRequesterTimeout < now;
  });
  return m_served.contains(request.reply_to) ||
         m_served.size() < kMaxRequesters;
}

void PolicyResponder::Encode(const Policy& policy) {
  if (policy != m_policy) {
    m_policy = policy;
    m_encoded = wire::Encode(*policy);
    m_digest = DigestOfPolicy(m_encoded);
    m_holders.clear();
  }
}

}  // namespace azurespur::cell
