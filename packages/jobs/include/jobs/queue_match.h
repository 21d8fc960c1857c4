// Maps the host and path of a request to a queue.

#ifndef JOBS_QUEUE_MATCH_H_
#define JOBS_QUEUE_MATCH_H_

#include <string_view>

#include "jobs/queue_policy.h"

namespace azurespur::jobs {

// Returns the queue of `host` with the longest prefix of `path`, or null if
// there is none.
const QueuePolicy* MatchQueue(const CellPolicy& policy,
                              std::string_view host,
                              std::string_view path);

}  // namespace azurespur::jobs

#endif  // JOBS_QUEUE_MATCH_H_
