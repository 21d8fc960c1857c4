// Overload control: the leader's estimates, and refusals by any VM.

#include <algorithm>
#include <span>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "jobs/admission_estimate.h"
#include "node.h"

namespace azurespur::cell {

using base::MonoTime;

namespace {

// The row with the longest wait of jobs within the rate; 0 if there is none.
jobs::AdmissionWait FindLongest(std::span<const jobs::AdmissionWait> rows) {
  jobs::AdmissionWait longest;
  for (const jobs::AdmissionWait& row : rows) {
    if (row.within_rate_ms > longest.within_rate_ms) {
      longest = row;
    }
  }
  return longest;
}

}  // namespace

void Node::PublishAdmission(MonoTime now) {
  if (!m_admission_publisher.IsDue(now)) {
    return;
  }
  // No loads where the policy names no accounts, and before the first plan.
  std::vector<jobs::AdmissionWait> waits =
      jobs::EstimateWaits(m_term->scheduler().account_loads());
  const AdmissionPublisher::Update update = m_admission_publisher.Publish(
      m_term->epoch(), jobs::FindLastingWaits(m_last_admission_waits, waits),
      m_peer_sender.LinkWait(), now);
  m_last_admission_waits = std::move(waits);
  m_admission_board.OnNotice(update.notice, now);
  const jobs::AdmissionWait longest = FindLongest(update.notice.rows);
  m_longest_admission_wait.Set(longest.within_rate_ms);
  if (update.log) {
    base::LogEvent(base::Severity::kInfo, "AZ9142",
                   "estimated waits of new jobs",
                   {{"epoch", std::to_string(m_term->epoch())},
                    {"rows", std::to_string(update.notice.rows.size())},
                    {"longest_account", longest.account},
                    {"longest_ms", std::to_string(longest.within_rate_ms)}});
  }
  if (update.send_to_peers) {
    m_peer_sender.SendToAll(PeerAddresses(), update.notice);
  }
}

void Node::OnMessage(const AdmissionNotice& notice) {
  if (notice.epoch >= KnownEpoch()) {
    m_admission_board.OnNotice(notice, m_clock.Now());
  }
}

uint64_t Node::KnownEpoch() const {
  return std::max(m_announced_leader.epoch, m_job_table.epoch());
}

std::optional<jobs::AdmissionRefusal> Node::FindOverload(
    const jobs::Submission& submission) const {
  const jobs::JobSpec& spec = submission.spec;
  // A known job is accepted already.
  if (m_job_table.StateOf(spec.id)) {
    return std::nullopt;
  }
  const jobs::AdmissionWait* wait = m_admission_board.Find(
      spec.account, submission.terms.priority, KnownEpoch(), m_clock.Now());
  if (wait == nullptr) {
    return std::nullopt;
  }
  const bool beyond_rate = m_job_table.WouldBeBeyondRate(
      spec.account, spec.account_rate, spec.submitted_unix_ms);
  return jobs::DecideAdmission(spec, submission.terms, beyond_rate, wait);
}

// The refusal says that the job never runs, so an earlier request that was
// stored, or may have been, has precedence.
void Node::RefuseOverload(const jobs::JobSpec& spec,
                          const jobs::Caller& caller,
                          const jobs::AdmissionRefusal& refusal,
                          MonoTime deadline,
                          std::function<void(SubmissionResult)> done) {
  SettleRefusal(
      spec.id, caller, deadline,
      [this, job = spec.id, account = spec.account, queue = spec.queue, refusal,
       done = std::move(done)](IntakeOutcome outcome) {
        if (outcome != IntakeOutcome::kNotAccepted) {
          done({outcome, std::nullopt});
          return;
        }
        const bool late =
            refusal.reason == jobs::AdmissionRefusalReason::kTooLate;
        (late ? m_refused_too_late : m_refused_beyond_rate).Add(1);
        base::LogEvent(
            base::Severity::kInfo, "AZ9141", "submission refused: overload",
            {{"job", jobs::FormatJobId(job)},
             {"account", account},
             {"queue", queue},
             {"reason",
              std::string(jobs::AdmissionRefusalReasonName(refusal.reason))},
             {"wait_ms", std::to_string(refusal.wait_ms)},
             {"bound_ms", std::to_string(refusal.bound_ms)},
             {"retry_after_s", std::to_string(refusal.retry_after_s)}});
        done({outcome, refusal});
      });
}

}  // namespace azurespur::cell
