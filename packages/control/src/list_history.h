// The latest accepted versions of one list.

#ifndef CONTROL_LIST_HISTORY_H_
#define CONTROL_LIST_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "control/list_version.h"

namespace azurespur::control {

class ListHistory {
 public:
  // Ignored unless newer than Latest().
  void Add(ListVersion version);

  // Version 0 if none was added.
  const ListVersion& Latest() const;

  // Empty if never seen here or no longer kept.
  std::optional<ListVersion> Find(uint64_t version) const;

  // Oldest first.
  const std::vector<ListVersion>& versions() const { return m_versions; }

 private:
  std::vector<ListVersion> m_versions;
};

}  // namespace azurespur::control

#endif  // CONTROL_LIST_HISTORY_H_
