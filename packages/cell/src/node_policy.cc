// The policy of this VM: reads it from the store or, while that fails, gets it
// from other VMs.

#include <algorithm>
#include <span>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "node.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

constexpr Millis kPolicyRetry{200};
// Half of the time after which a request is resent.
constexpr Millis kMaxLinkWaitForSegment{100};

}  // namespace

void Node::PollPolicy() {
  m_policy_retry = MonoTime::max();
  const MonoTime sent_at = m_clock.Now();
  m_policy_relay.OnReadStarted(sent_at);
  m_dependencies.policy.Poll(
      [this, sent_at](base::Outcome<PolicySource::Policy> outcome) {
        const bool answered = base::Ok(outcome);
        const bool ok = answered && base::Value(outcome) != nullptr;
        if (ok) {
          ApplyPolicy(base::Value(outcome), sent_at, "store");
        }
        base::PushCompletion(m_mailbox, [this, answered, ok] {
          if (m_stopping.load()) {
            return;
          }
          m_policy_relay.OnReadFinished(answered);
          if (ok && m_term) {
            m_term->scheduler().SetPolicy(*policy());
            m_scheduling_needed = true;
          }
          if (ok) {
            PollPolicy();
          } else {
            m_policy_retry = m_clock.Now() + kPolicyRetry;
          }
        });
      });
}

bool Node::ApplyPolicy(const PolicySource::Policy& latest,
                       std::optional<MonoTime> as_of,
                       const std::string& source) {
  std::lock_guard<std::mutex> lock(m_policy_mutex);
  m_policy_as_of = std::max(m_policy_as_of, as_of);
  if (m_policy && latest->version <= m_policy->version) {
    return false;
  }
  base::LogEvent(base::Severity::kInfo, "AZ9004", "new policy version applied",
                 {{"version", std::to_string(latest->version)},
                  {"queues", std::to_string(latest->queues.size())},
                  {"source", source}});
  m_policy = latest;
  m_policy_versions.known = latest->version;
  m_policy_versions.known_since = m_clock.Now();
  if (m_policy_versions.named > latest->version) {
    m_policy_outdated_since = m_policy_versions.named_at;
  } else {
    m_policy_outdated_since.reset();
  }
  return true;
}

std::shared_ptr<const jobs::CellPolicy> Node::policy() const {
  std::lock_guard<std::mutex> lock(m_policy_mutex);
  return m_policy;
}

std::optional<MonoTime> Node::policy_as_of() const {
  std::lock_guard<std::mutex> lock(m_policy_mutex);
  return m_policy_as_of;
}

std::optional<MonoTime> Node::policy_outdated_since() const {
  std::lock_guard<std::mutex> lock(m_policy_mutex);
  return m_policy_outdated_since;
}

PolicyView Node::ViewPolicy() const {
  std::lock_guard<std::mutex> lock(m_policy_mutex);
  return {m_policy ? m_policy->version : 0, m_policy_as_of,
          m_policy_outdated_since.has_value()};
}

void Node::WhenPolicyCurrent(const PolicyRequirement& requirement,
                             MonoTime deadline,
                             std::function<void(bool)> done) {
  const bool posted = Post([this, requirement, deadline, done] {
    const MonoTime now = m_clock.Now();
    if (MeetsRequirement(ViewPolicy(), requirement, now)) {
      done(true);
    } else if (now >= deadline ||
               !m_policy_waiters.Add(requirement, deadline, done)) {
      done(false);
    } else {
      m_policy_relay.RequestNow();
      RequestPolicyIfDue(now);
    }
  });
  if (!posted) {
    done(false);
  }
}

PolicyVersions Node::VersionsOfPolicy() const {
  std::lock_guard<std::mutex> lock(m_policy_mutex);
  return m_policy_versions;
}

void Node::LearnPolicyVersion(int64_t version, uint64_t epoch) {
  std::lock_guard<std::mutex> lock(m_policy_mutex);
  PolicyVersions& versions = m_policy_versions;
  if (version > versions.named) {
    versions.named = version;
    versions.named_at = m_clock.Now();
  }
  if (version <= versions.known || m_policy_outdated_since) {
    return;
  }
  m_policy_outdated_since = m_clock.Now();
  base::LogEvent(base::Severity::kInfo, "AZ9218",
                 "another VM knows a newer policy",
                 {{"version", std::to_string(version)},
                  {"known_version", std::to_string(versions.known)},
                  {"epoch", std::to_string(epoch)}});
}

void Node::OnMessage(const PolicyNotice& notice) {
  LearnPolicyVersion(notice.version, notice.epoch);
  const bool of_leader = notice.epoch >= m_job_table.epoch() &&
                         notice.epoch >= m_announced_leader.epoch;
  const MonoTime now = m_clock.Now();
  // A former leader that is cut off from the log may still name its version.
  if (of_leader && LeaderCanAppend(now)) {
    std::lock_guard<std::mutex> lock(m_policy_mutex);
    m_policy_versions.leader_named = true;
  }
  const std::string& leader = LeaderAddress();
  if (of_leader && !m_term && !leader.empty() &&
      leader != m_options.peer_address &&
      m_policy_relay.ShouldOffer(notice.version, VersionsOfPolicy(), now)) {
    SendTo(leader,
           PolicyOffer{VersionsOfPolicy().known, m_options.peer_address});
  }
  RequestPolicyIfDue(now);
}

void Node::OnMessage(const PolicyOffer& offer) {
  if (offer.version <= VersionsOfPolicy().known) {
    return;
  }
  LearnPolicyVersion(offer.version, m_job_table.epoch());
  m_policy_relay.OnOffer(offer.address);
  RequestPolicyIfDue(m_clock.Now());
}

void Node::RequestPolicyIfDue(MonoTime now) {
  const PolicyVersions versions = VersionsOfPolicy();
  if (!m_policy_relay.IsDue(versions, now)) {
    return;
  }
  const std::string peer = PolicyPeer();
  if (peer.empty() || peer == m_options.peer_address) {
    return;
  }
  PolicyRequest request = m_policy_relay.MakeRequest(peer, versions, now);
  request.reply_to = m_options.peer_address;
  SendTo(peer, request);
}

std::string Node::PolicyPeer() {
  if (!m_policy_relay.offerer().empty()) {
    return m_policy_relay.offerer();
  }
  if (m_term) {
    const std::vector<std::string> followers = PeerAddresses();
    return followers.empty() ? std::string()
                             : followers[m_next_peer++ % followers.size()];
  }
  const std::string& leader = LeaderAddress();
  return leader.empty() || leader == m_options.peer_address ||
                 m_policy_relay.avoids_leader()
             ? NextPeer()
             : leader;
}

void Node::OnMessage(const PolicyRequest& request) {
  const bool link_full = m_peer_sender.LinkWait() > kMaxLinkWaitForSegment;
  const auto answer = m_policy_responder.Answer(
      request, policy(), policy_as_of(), link_full, m_clock.Now());
  if (answer) {
    SendTo(request.reply_to, *answer);
  }
}

void Node::OnMessage(const PolicySegment& segment) {
  const MonoTime now = m_clock.Now();
  const auto relayed =
      m_policy_relay.OnSegment(segment, VersionsOfPolicy(), now);
  if (!relayed) {
    RequestPolicyIfDue(now);
    return;
  }
  if (relayed->policy == nullptr) {
    std::lock_guard<std::mutex> lock(m_policy_mutex);
    m_policy_as_of = std::max(m_policy_as_of, relayed->as_of);
    return;
  }
  if (!ApplyPolicy(relayed->policy, relayed->as_of, relayed->source)) {
    return;
  }
  m_relayed_policies.Add(1);
  if (m_term) {
    m_term->scheduler().SetPolicy(*policy());
    m_scheduling_needed = true;
    // Others that can't read it either need not wait for the next notice.
    SendPolicyNotice(PeerAddresses());
  }
}

void Node::SendPolicyNotice(std::span<const std::string> followers) {
  if (const auto current = policy()) {
    m_peer_sender.SendToAll(followers,
                            PolicyNotice{m_term->epoch(), current->version});
  }
}

}  // namespace azurespur::cell
