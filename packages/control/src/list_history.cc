#include "list_history.h"

#include <utility>

namespace azurespur::control {

namespace {

constexpr size_t kKeptVersions = 16;

}  // namespace

void ListHistory::Add(ListVersion version) {
  if (version.version <= Latest().version) {
    return;
  }
  if (m_versions.size() == kKeptVersions) {
    m_versions.erase(m_versions.begin());
  }
  m_versions.push_back(std::move(version));
}

const ListVersion& ListHistory::Latest() const {
  static const ListVersion none;
  return m_versions.empty() ? none : m_versions.back();
}

std::optional<ListVersion> ListHistory::Find(uint64_t version) const {
  for (const ListVersion& kept : m_versions) {
    if (kept.version == version) {
      return kept;
    }
  }
  return std::nullopt;
}

}  // namespace azurespur::control
