#include "jobs/queue_match.h"

namespace azurespur::jobs {

const QueuePolicy* MatchQueue(const CellPolicy& policy,
                              std::string_view host,
                              std::string_view path) {
  const QueuePolicy* best = nullptr;
  for (const auto& [name, queue] : policy.queues) {
    const bool matches =
        queue.host == host && path.substr(0, queue.path_prefix.size()) ==
                                  std::string_view(queue.path_prefix);
    if (matches && (best == nullptr ||
                    queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

}  // namespace azurespur::jobs
