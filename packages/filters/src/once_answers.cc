#include "once_answers.h"

#include <utility>

namespace azurespur::filters {

namespace {

// Bookkeeping overhead per claim.
constexpr size_t kClaimOverheadBytes = 200;

}  // namespace

size_t OnceAnswers::EntryBytes(const std::string& claim_id,
                               const OnceAnswer& answer) {
  return kClaimOverheadBytes + claim_id.size() + answer.executor.size() +
         answer.body.size();
}

void OnceAnswers::Begin(const std::string& claim_id) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_answers.try_emplace(claim_id);
}

void OnceAnswers::End(const std::string& claim_id, OnceAnswer answer) {
  std::lock_guard<std::mutex> lock(m_mutex);
  OnceAnswer& held = m_answers[claim_id];
  if (held.fate != Fate::kInFlight) {
    return;
  }
  held = std::move(answer);
  m_bytes += EntryBytes(claim_id, held);
  m_ended.push_back(claim_id);
  while (m_bytes > m_max_bytes && m_ended.size() > 1) {
    const auto oldest = m_answers.find(m_ended.front());
    m_bytes -= EntryBytes(oldest->first, oldest->second);
    m_answers.erase(oldest);
    m_ended.pop_front();
  }
}

std::optional<OnceAnswer> OnceAnswers::Find(const std::string& claim_id) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_answers.find(claim_id);
  if (it == m_answers.end()) {
    return std::nullopt;
  }
  return it->second;
}

}  // namespace azurespur::filters
