#include "open_job_queries.h"

#include <algorithm>

namespace azurespur::cell {

namespace {

// A round trip and the time that a small VM takes to reach its mail. A caller
// waits this long for its refusal if a VM is silent.
constexpr base::Millis kMaxReplyTime{200};
constexpr base::Millis kRetryDelay{80};
// Limits what a burst of refusals sends, which grows with the number of VMs.
// Reached at 160 refusals a second beside a silent VM; further ones are
// answered without a query.
constexpr size_t kMaxQueries = 32;

}  // namespace

void OpenJobQueries::Start(jobs::JobId job,
                           const std::vector<std::string>& peers,
                           base::MonoTime deadline,
                           base::MonoTime now,
                           Done done) {
  if (peers.empty() || now >= deadline || m_queries.size() >= kMaxQueries) {
    done(false);
    return;
  }
  const uint64_t id = m_next_id++;
  Query& query = m_queries[id];
  query.job = job;
  query.unanswered.insert(peers.begin(), peers.end());
  query.next_send = now + kRetryDelay;
  query.deadline = std::min(deadline, now + kMaxReplyTime);
  query.done = std::move(done);
  SendToUnanswered(id, query);
}

void OpenJobQueries::OnReply(uint64_t id,
                             const std::string& address,
                             bool may_be_stored) {
  const auto found = m_queries.find(id);
  if (found == m_queries.end()) {
    return;
  }
  found->second.unanswered.erase(address);
  if (may_be_stored || found->second.unanswered.empty()) {
    Finish(id, may_be_stored);
  }
}

void OpenJobQueries::Tick(base::MonoTime now) {
  std::vector<uint64_t> expired;
  for (auto& [id, query] : m_queries) {
    if (now >= query.deadline) {
      expired.push_back(id);
    } else if (now >= query.next_send) {
      query.next_send = now + kRetryDelay;
      SendToUnanswered(id, query);
    }
  }
  for (uint64_t id : expired) {
    Finish(id, false);
  }
}

void OpenJobQueries::SendToUnanswered(uint64_t id, const Query& query) const {
  for (const std::string& address : query.unanswered) {
    m_send(address, id, query.job);
  }
}

void OpenJobQueries::Finish(uint64_t id, bool may_be_stored) {
  const auto node = m_queries.extract(id);
  node.mapped().done(may_be_stored);
}

}  // namespace azurespur::cell
