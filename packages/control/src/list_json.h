// JSON form of the lists' values, as the HTTP API gives them.

#ifndef CONTROL_LIST_JSON_H_
#define CONTROL_LIST_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "control/edit_verdict.h"
#include "control/list_diff.h"
#include "control/list_error.h"
#include "control/list_name.h"
#include "control/list_version.h"
#include "control/lists_confirmation.h"
#include "control/proposal.h"
#include "control/publish_result.h"

namespace azurespur::control {

// With the content; version 0 has an empty list.
nlohmann::json VersionJson(ListName list, const ListVersion& version);
nlohmann::json ErrorsJson(const std::vector<ListError>& errors);
nlohmann::json DiffJson(const std::vector<RowChange>& changes);
nlohmann::json VerdictJson(const EditVerdict& verdict);
nlohmann::json ConfirmationJson(const ListsConfirmation& confirmation);
nlohmann::json ProposalJson(const Proposal& proposal, bool approved);

// The answer to an edit: HTTP status and body.
struct PublishAnswer {
  int status = 200;
  std::string body;
};
PublishAnswer PublishAnswerOf(const PublishResult& result);

}  // namespace azurespur::control

#endif  // CONTROL_LIST_JSON_H_
