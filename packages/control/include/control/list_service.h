// Edits of the lists on behalf of operators.

#ifndef CONTROL_LIST_SERVICE_H_
#define CONTROL_LIST_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "control/edit_verdict.h"
#include "control/list_diff.h"
#include "control/list_name.h"
#include "control/list_version.h"
#include "control/publish_result.h"

namespace azurespur::control {

class ListLedger;
class LogChannel;

struct PublishRequest {
  ListName list = ListName::kPlans;
  uint64_t base_version = 0;
  std::string author;
  std::string content;
  // Chosen by the caller so that it can repeat the edit through another VM or
  // look it up; empty: this VM chooses.
  std::string edit_id;
};

struct ListServiceOptions {
  std::string writer;  // VM id and incarnation; prefix of edit ids.
  base::Millis publish_timeout{5000};
};

// Thread-safe. `log`, `ledger` and `clock` must outlive the service, and `log`
// must be stopped before the service is destroyed.
class ListService {
 public:
  using Done = std::function<void(PublishResult)>;

  ListService(ListServiceOptions options,
              LogChannel& log,
              const ListLedger& ledger,
              const base::Clock& clock);

  // `done` runs on the caller's thread or on a thread of the log channel.
  void Publish(PublishRequest request, Done done);

  // Version 0 means the one in force. Errors: kNotFound if it isn't kept here.
  base::Outcome<ListVersion> Show(ListName list, uint64_t version) const;

  // Errors: kNotFound if one of both isn't kept here.
  base::Outcome<std::vector<RowChange>> Diff(ListName list,
                                             uint64_t from,
                                             uint64_t to) const;

 private:
  PublishResult Conflict(ListName list, uint64_t base_version) const;
  PublishResult ResultOf(const PublishRequest& request) const;

  const ListServiceOptions m_options;
  LogChannel& m_log;
  const ListLedger& m_ledger;
  const base::Clock& m_clock;
  std::atomic<uint64_t> m_sequence{0};
};

}  // namespace azurespur::control

#endif  // CONTROL_LIST_SERVICE_H_
