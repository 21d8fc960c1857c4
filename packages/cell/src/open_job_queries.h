// Asks other VMs whether they know a job or have an append of it open. Does no
// I/O and reads no clock.

#ifndef CELL_SRC_OPEN_JOB_QUERIES_H_
#define CELL_SRC_OPEN_JOB_QUERIES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/job_id.h"

namespace azurespur::cell {

class OpenJobQueries {
 public:
  // `may_be_stored` is true if a VM said so. Silence counts as no.
  using Done = std::function<void(bool may_be_stored)>;
  // Sends the question. The message may be lost.
  using Send = std::function<
      void(const std::string& address, uint64_t id, jobs::JobId job)>;

  // Queries are numbered from `first_id` on. It must differ between the lives
  // of a VM, so that no reply to a former life is taken.
  OpenJobQueries(Send send, uint64_t first_id)
      : m_send(std::move(send)), m_next_id(first_id) {}

  // Asks all of `peers`. Ends with the first VM that says yes, once all have
  // said no, or when the time for replies is over.
  void Start(jobs::JobId job,
             const std::vector<std::string>& peers,
             base::MonoTime deadline,
             base::MonoTime now,
             Done done);

  void OnReply(uint64_t id, const std::string& address, bool may_be_stored);

  // Repeats questions without a reply and ends queries that are out of time.
  void Tick(base::MonoTime now);

  size_t size() const { return m_queries.size(); }

 private:
  struct Query {
    jobs::JobId job = 0;
    std::set<std::string> unanswered;  // Addresses.
    base::MonoTime next_send{};
    base::MonoTime deadline{};
    Done done;
  };

  void SendToUnanswered(uint64_t id, const Query& query) const;
  void Finish(uint64_t id, bool may_be_stored);

  const Send m_send;
  uint64_t m_next_id;
  std::map<uint64_t, Query> m_queries;  // By id.
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_OPEN_JOB_QUERIES_H_
