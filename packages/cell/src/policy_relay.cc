#include "policy_relay.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "policy_responder.h"
#include "wire/codec.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

constexpr Millis kRequestInterval{500};
// While a newer version is known to exist.
constexpr Millis kUrgentRequestInterval{200};
constexpr Millis kResendInterval{200};
constexpr Millis kTransferTimeout{5000};
// Two unanswered requests are a sign that the VM is gone or overloaded; a
// single one may be a lost datagram.
constexpr int kMaxUnanswered = 2;
// A read waits up to 900 ms for a newer version.
constexpr Millis kMaxReadTime{1500};
// How long this VM's own read of a version may come after another VM's.
constexpr Millis kOwnReadTime{300};
// An older confirmation doesn't make the policy current.
constexpr Millis kMaxUsefulAge{2000};
// A VM without a policy, to which no leader has named a version, takes only one
// that was confirmed within this time. A policy has to be in force within
// 3,000 ms, so no key is accepted that was revoked before that.
constexpr Millis kMaxUnconfirmedAge{3000};
// About 2.8 MB, where 200 KB are planned for.
constexpr uint32_t kMaxSegments = 256;
constexpr int64_t kMaxAgeMillis = int64_t{1000} * 1000 * 1000;

std::optional<MonoTime> AsOf(const PolicySegment& segment, MonoTime sent_at) {
  if (segment.age_ms < 0) {
    return std::nullopt;
  }
  return sent_at - Millis{std::min(segment.age_ms, kMaxAgeMillis)};
}

bool IsValid(const PolicySegment& segment) {
  return segment.count <= kMaxSegments && segment.index < segment.count &&
         !segment.bytes.empty() && segment.bytes.size() <= kPolicySegmentBytes;
}

void LogUnusable(int64_t version,
                 const std::string& source,
                 const std::string& reason) {
  base::LogEvent(base::Severity::kWarning, "AZ9422",
                 "policy from another VM can't be used",
                 {{"version", std::to_string(version)},
                  {"source", source},
                  {"reason", reason}});
}

}  // namespace

void PolicyRelay::OnReadStarted(MonoTime now) {
  m_read_started = now;
}

void PolicyRelay::OnReadFinished(bool ok) {
  m_read_started.reset();
  m_read_failed = !ok;
  m_requested = m_requested && !ok;
}

bool PolicyRelay::ReadsFail(MonoTime now) const {
  return m_read_failed ||
         (m_read_started && now > *m_read_started + kMaxReadTime);
}

void PolicyRelay::OnOffer(const std::string& address) {
  m_offerer = address;
  m_unanswered = 0;
  if (!m_transfer) {
    m_pending.reset();
  }
}

bool PolicyRelay::IsDue(const PolicyVersions& versions, MonoTime now) {
  DropOverdue(versions, now);
  if (m_pending) {
    return false;
  }
  if (m_transfer) {
    return now >= m_next_transfer_request;
  }
  const bool failing = ReadsFail(now);
  const bool behind = versions.known < versions.named;
  const auto passed = [this, now](Millis interval) {
    return !m_last_request || now >= *m_last_request + interval;
  };
  // A lost request is repeated now, as it was sent long enough ago.
  if (m_unanswered > 0 && (failing || behind || m_requested)) {
    return true;
  }
  if (m_requested || (failing && !behind)) {
    return passed(m_requested ? kUrgentRequestInterval : kRequestInterval);
  }
  if (!behind || (!failing && now < versions.named_at + kOwnReadTime)) {
    return false;
  }
  return !m_last_request || *m_last_request < versions.named_at ||
         passed(kUrgentRequestInterval);
}

void PolicyRelay::DropOverdue(const PolicyVersions& versions, MonoTime now) {
  if (versions.known >= versions.named) {
    m_offerer.clear();
  }
  if (m_transfer && m_transfer->version <= versions.known) {
    m_transfer.reset();
  }
  if (m_transfer && now >= m_transfer->began + kTransferTimeout) {
    base::LogEvent(base::Severity::kWarning, "AZ9423",
                   "transfer of the policy took too long; beginning again",
                   {{"version", std::to_string(m_transfer->version)},
                    {"segments", std::to_string(m_transfer->next)},
                    {"of", std::to_string(m_transfer->count)}});
    m_transfer.reset();
    AskAnotherVm();
  }
  if (m_pending && now >= m_pending->sent_at + kResendInterval) {
    m_pending.reset();
    if (++m_unanswered >= kMaxUnanswered) {
      AskAnotherVm();
    }
  }
}

void PolicyRelay::AskAnotherVm() {
  m_unanswered = 0;
  // VMs that all lack the rest of a transfer answer at once.
  if (m_last_request) {
    m_next_transfer_request = *m_last_request + kUrgentRequestInterval;
  }
  m_avoids_leader = m_offerer.empty() && !m_avoids_leader;
  m_offerer.clear();
}

PolicyRequest PolicyRelay::MakeRequest(const std::string& address,
                                       const PolicyVersions& versions,
                                       MonoTime now) {
  PolicyRequest request;
  request.id = m_next_id++;
  request.known_version = versions.known;
  request.segment = m_transfer ? m_transfer->next : 0;
  m_pending = PendingRequest{request.id, address, now};
  m_last_request = now;
  return request;
}

std::optional<RelayedPolicy> PolicyRelay::OnSegment(
    const PolicySegment& segment,
    const PolicyVersions& versions,
    MonoTime now) {
  // A late response: its age would be counted from a later request.
  if (!m_pending || segment.id != m_pending->id) {
    return std::nullopt;
  }
  const PendingRequest request = *std::exchange(m_pending, std::nullopt);
  const std::optional<MonoTime> as_of = AsOf(segment, request.sent_at);
  m_unanswered = 0;
  m_requested = false;
  if (segment.version <= versions.known) {
    if (m_transfer || versions.known < versions.named || !as_of ||
        *as_of + kMaxUsefulAge < now) {
      AskAnotherVm();
    } else {
      m_avoids_leader = false;
    }
    const bool confirms =
        versions.known > 0 && segment.version == versions.known && as_of;
    return confirms
               ? std::optional(RelayedPolicy{nullptr, as_of, request.address})
               : std::nullopt;
  }
  const bool older_than_needed =
      segment.version < versions.named ||
      (m_transfer && segment.version < m_transfer->version);
  if (older_than_needed || !IsValid(segment)) {
    AskAnotherVm();
    return std::nullopt;
  }
  const bool began = BeginTransferIfOther(segment, request.address, now);
  if (segment.index != m_transfer->next) {
    if (!began) {
      AskAnotherVm();
    }
    return std::nullopt;
  }
  m_transfer->bytes += segment.bytes;
  m_transfer->as_of = std::max(m_transfer->as_of, as_of);
  return ++m_transfer->next < m_transfer->count
             ? std::nullopt
             : Finish(request.address, versions, now);
}

// VMs encode a policy alike, so its segments may come from several of them.
bool PolicyRelay::BeginTransferIfOther(const PolicySegment& segment,
                                       const std::string& source,
                                       MonoTime now) {
  if (m_transfer && m_transfer->version == segment.version &&
      m_transfer->digest == segment.digest &&
      m_transfer->count == segment.count) {
    return false;
  }
  m_transfer = Transfer{};
  m_transfer->version = segment.version;
  m_transfer->digest = segment.digest;
  m_transfer->count = segment.count;
  m_transfer->began = now;
  base::LogEvent(base::Severity::kInfo, "AZ9421",
                 "getting the policy from another VM",
                 {{"version", std::to_string(segment.version)},
                  {"segments", std::to_string(segment.count)},
                  {"source", source}});
  return true;
}

std::optional<RelayedPolicy> PolicyRelay::Finish(const std::string& source,
                                                 const PolicyVersions& versions,
                                                 MonoTime now) {
  const Transfer transfer = *std::exchange(m_transfer, std::nullopt);
  const auto refuse = [&](const std::string& reason) {
    LogUnusable(transfer.version, source, reason);
    AskAnotherVm();
    return std::nullopt;
  };
  if (DigestOfPolicy(transfer.bytes) != transfer.digest) {
    return refuse("digest does not match");
  }
  auto decoded = wire::Decode<jobs::CellPolicy>(transfer.bytes);
  if (!base::Ok(decoded)) {
    return refuse(base::GetError(decoded).message);
  }
  if (base::Value(decoded).version != transfer.version) {
    return refuse("version is " + std::to_string(base::Value(decoded).version));
  }
  // After a restart this VM may have had a newer policy before.
  const bool recent =
      transfer.as_of && now <= *transfer.as_of + kMaxUnconfirmedAge;
  if (versions.known == 0 && !versions.leader_named && !recent) {
    return refuse("no leader has named it, and it is not known to be recent");
  }
  m_avoids_leader = false;
  return RelayedPolicy{
      std::make_shared<const jobs::CellPolicy>(base::Value(std::move(decoded))),
      transfer.as_of, source};
}

bool PolicyRelay::ShouldOffer(int64_t leader_version,
                              const PolicyVersions& versions,
                              MonoTime now) {
  // The leader has read most versions itself by then.
  if (leader_version >= versions.known ||
      now < versions.known_since + kOwnReadTime ||
      (m_last_offer && now < *m_last_offer + kRequestInterval)) {
    return false;
  }
  m_last_offer = now;
  base::LogEvent(base::Severity::kInfo, "AZ9424",
                 "telling the leader of a newer policy",
                 {{"version", std::to_string(versions.known)},
                  {"leader_version", std::to_string(leader_version)}});
  return true;
}

}  // namespace azurespur::cell
