#include "list_json.h"

#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>

namespace azurespur::control {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

json ValueJson(const std::string& text) {
  return text.empty() ? json(nullptr) : json::parse(text, nullptr, false);
}

std::string_view OutcomeText(EditOutcome outcome) {
  switch (outcome) {
    case EditOutcome::kAccepted:
      return "accepted";
    case EditOutcome::kConflict:
      return "conflict";
    case EditOutcome::kInvalid:
      return "invalid";
  }
  return "invalid";
}

json AnswerBody(const PublishAccepted& result) {
  return {{"outcome", "accepted"},
          {"version", result.version},
          {"edit_id", result.edit_id}};
}

json AnswerBody(const PublishConflict& result) {
  json body = {{"outcome", "conflict"},
               {"current",
                {{"version", result.current.version},
                 {"author", result.current.author},
                 {"wall_ms", result.current.wall_ms},
                 {"edit_id", result.current.edit_id},
                 {"digest", result.current.digest}}}};
  body["diff"] = result.diff_known ? DiffJson(result.diff) : json(nullptr);
  return body;
}

json AnswerBody(const PublishInvalid& result) {
  return {{"outcome", "invalid"}, {"errors", ErrorsJson(result.errors)}};
}

json AnswerBody(const PublishRefused& result) {
  return {{"outcome", "refused"}, {"reason", result.reason}};
}

json AnswerBody(const PublishUnknown& result) {
  return {{"outcome", "unknown"},
          {"reason", result.reason},
          {"edit_id", result.edit_id}};
}

int AnswerStatus(const PublishResult& result) {
  constexpr int kByIndex[] = {kOk, kConflict, kUnprocessable, kUnavailable,
                              kTimeout};
  static_assert(std::variant_size_v<PublishResult> == std::size(kByIndex));
  return kByIndex[result.index()];
}

json VmJson(const VmLists& vm) {
  json row = {{"vm", vm.vm},
              {"domain", vm.domain},
              {"reached", vm.reached},
              {"silent_ms", vm.silent_ms}};
  if (vm.silent_ms < 0) {
    return row;
  }
  row["complete"] = vm.report.complete;
  row["plans"] = {{"version", vm.report.plans_version},
                  {"digest", vm.report.plans_digest},
                  {"since_ms", vm.report.plans_since_ms}};
  row["allowances"] = {{"version", vm.report.allowances_version},
                       {"digest", vm.report.allowances_digest},
                       {"since_ms", vm.report.allowances_since_ms}};
  return row;
}

}  // namespace

json VersionJson(ListName list, const ListVersion& version) {
  const std::string name(ListNameText(list));
  json content;
  if (version.version == 0) {
    content[name] = json::array();
  } else {
    content = json::parse(version.content, nullptr, false);
  }
  return {{"list", name},
          {"version", version.version},
          {"digest", version.digest},
          {"author", version.author},
          {"wall_ms", version.wall_ms},
          {"edit_id", version.edit_id},
          {"offset", version.offset},
          {"content", std::move(content)}};
}

json ErrorsJson(const std::vector<ListError>& errors) {
  json array = json::array();
  for (const ListError& error : errors) {
    array.push_back({{"path", error.path}, {"error", error.text}});
  }
  return array;
}

json DiffJson(const std::vector<RowChange>& changes) {
  json array = json::array();
  for (const RowChange& change : changes) {
    json fields = json::array();
    for (const FieldChange& field : change.fields) {
      fields.push_back({{"field", field.field},
                        {"from", ValueJson(field.from)},
                        {"to", ValueJson(field.to)}});
    }
    array.push_back({{"id", change.id},
                     {"change", RowChangeKindText(change.kind)},
                     {"fields", std::move(fields)}});
  }
  return array;
}

json VerdictJson(const EditVerdict& verdict) {
  return {{"edit_id", verdict.edit_id},
          {"list", ListNameText(verdict.list)},
          {"outcome", OutcomeText(verdict.outcome)},
          {"version", verdict.version},
          {"errors", ErrorsJson(verdict.errors)}};
}

json ConfirmationJson(const ListsConfirmation& confirmation) {
  json vms = json::array();
  for (const VmLists& vm : confirmation.vms) {
    vms.push_back(VmJson(vm));
  }
  return {{"seen_from", confirmation.seen_from},
          {"all_reached", confirmation.all_reached},
          {"all_agree", confirmation.all_agree},
          {"vms", std::move(vms)}};
}

json ProposalJson(const Proposal& proposal, bool approved) {
  return {{"id", proposal.id},
          {"plan", proposal.plan},
          {"action", proposal.action},
          {"subject", proposal.subject},
          {"reason", proposal.reason},
          {"proposed_ms", proposal.proposed_ms},
          {"expires_ms", proposal.proposed_ms + proposal.ttl_ms},
          {"approved", approved}};
}

PublishAnswer PublishAnswerOf(const PublishResult& result) {
  PublishAnswer answer;
  answer.status = AnswerStatus(result);
  answer.body =
      std::visit([](const auto& value) { return AnswerBody(value); }, result)
          .dump();
  return answer;
}

}  // namespace azurespur::control
