// Finds the values of a map by worker id for ids that are asked for in
// ascending order, without a search for each.

#ifndef JOBS_SRC_ID_CURSOR_H_
#define JOBS_SRC_ID_CURSOR_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace azurespur::jobs {

template <class Value>
class IdCursor {
 public:
  using Map = std::map<std::string, Value, std::less<>>;

  // `map` may be null and must outlive the cursor unchanged.
  explicit IdCursor(const Map* map) {
    if (map != nullptr) {
      m_next = map->begin();
      m_end = map->end();
    }
  }

  // Returns null if the map has no such id. No id may be less than the one
  // before.
  const Value* Find(std::string_view id) {
    while (m_next != m_end) {
      const int order = id.compare(m_next->first);
      if (order <= 0) {
        return order == 0 ? &m_next->second : nullptr;
      }
      ++m_next;
    }
    return nullptr;
  }

 private:
  typename Map::const_iterator m_next{};
  typename Map::const_iterator m_end{};
};

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_ID_CURSOR_H_
