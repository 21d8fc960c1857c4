// Refusals of submissions: "never runs" is said only of jobs of which no
// earlier request is stored or may be.

#include <string>
#include <utility>
#include <vector>

#include "jobs/access.h"
#include "jobs/records.h"
#include "node.h"

namespace azurespur::cell {

using base::MonoTime;

void Node::Refuse(jobs::JobId job,
                  const jobs::Caller& caller,
                  MonoTime deadline,
                  std::function<void(IntakeOutcome)> done) {
  const bool posted = Post([this, job, caller, deadline, done] {
    SettleRefusal(job, caller, deadline, done);
  });
  if (!posted) {
    done(IntakeOutcome::kUnknown);
  }
}

// Any VM, a former life of one, or a message that is late may have an append of
// the job open, or may have stored it without this VM knowing. No VM knows all
// others, so only the log can settle that: a stored declaration makes all of
// them void. Where none can be stored, the answer follows from what this VM and
// those that it can ask know.
void Node::SettleRefusal(jobs::JobId job,
                         const jobs::Caller& caller,
                         MonoTime deadline,
                         std::function<void(IntakeOutcome)> done) {
  const IntakeOutcome known = RefusalOf(job, caller);
  if (known != IntakeOutcome::kNotAccepted || m_clock.Now() >= deadline) {
    done(known);
    return;
  }
  StoreIntake(jobs::MissingJobRecord{job}, deadline,
              [this, job, caller, deadline,
               done = std::move(done)](StoreOutcome outcome) {
                if (outcome == StoreOutcome::kStored) {
                  AnswerDeclared(job, caller, deadline, done);
                } else {
                  AskBeforeRefusal(job, caller, deadline, done);
                }
              });
}

// A submission before the declaration counts, so the job is refused only once
// this VM has read as far.
void Node::AnswerDeclared(jobs::JobId job,
                          const jobs::Caller& caller,
                          MonoTime deadline,
                          std::function<void(IntakeOutcome)> done) {
  WhenKnownOrMissing(
      job, deadline, [this, job, caller, done = std::move(done)](bool certain) {
        const IntakeOutcome latest = RefusalOf(job, caller);
        const bool settled = certain || latest != IntakeOutcome::kNotAccepted;
        done(settled ? latest : IntakeOutcome::kUnknown);
      });
}

IntakeOutcome Node::AcceptedFor(jobs::JobId job,
                                const jobs::Caller& caller) const {
  return !m_job_table.StateOf(job) ||
                 jobs::MayAccess(caller, m_job_table.AccountOf(job))
             ? IntakeOutcome::kAccepted
             : IntakeOutcome::kOtherAccount;
}

IntakeOutcome Node::RefusalOf(jobs::JobId job,
                              const jobs::Caller& caller) const {
  if (m_job_table.StateOf(job)) {
    return AcceptedFor(job, caller);
  }
  return m_open_submissions.MayBeStored(job, m_clock.Now())
             ? IntakeOutcome::kUnknown
             : IntakeOutcome::kNotAccepted;
}

// Silence doesn't count as "may be stored": during an outage of the log in
// which a VM is lost or slow, no request could be refused with 503 any more,
// and callers of requests that aren't idempotent don't come back after a 504.
// For the same reason nothing is asked over a link that is full.
void Node::AskBeforeRefusal(jobs::JobId job,
                            const jobs::Caller& caller,
                            MonoTime deadline,
                            std::function<void(IntakeOutcome)> done) {
  const IntakeOutcome known = RefusalOf(job, caller);
  if (known != IntakeOutcome::kNotAccepted ||
      m_peer_sender.LinkWait() > kMaxLinkWaitForRequest) {
    done(known);
    return;
  }
  m_open_job_queries.Start(
      job, KnownPeers(), deadline, m_clock.Now(),
      [this, job, caller, done = std::move(done)](bool may_be_stored) {
        const IntakeOutcome latest = RefusalOf(job, caller);
        const bool refused = latest == IntakeOutcome::kNotAccepted;
        done(refused && may_be_stored ? IntakeOutcome::kUnknown : latest);
      });
}

void Node::OnMessage(const OpenJobRequest& request) {
  const bool may_be_stored =
      RefusalOf(request.job, {}) != IntakeOutcome::kNotAccepted;
  SendTo(request.reply_to,
         OpenJobReply{request.id, m_options.peer_address, may_be_stored});
}

void Node::OnMessage(const OpenJobReply& reply) {
  m_open_job_queries.OnReply(reply.id, reply.address, reply.may_be_stored);
}

std::vector<std::string> Node::KnownPeers() const {
  if (m_term) {
    return PeerAddresses();
  }
  std::vector<std::string> peers = m_leader_peers;
  peers.push_back(LeaderAddress());
  std::erase_if(peers, [this](const std::string& address) {
    return address.empty() || address == m_options.peer_address;
  });
  return peers;
}

}  // namespace azurespur::cell
