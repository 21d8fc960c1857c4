// `azurespur approve`: approves a proposal by an edit of the allowances.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "answers.h"
#include "commands.h"
#include "list_arguments.h"
#include "list_publisher.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

constexpr int kMaxTries = 5;

struct ApproveOptions {
  std::string id;
  std::string author;
};

// The row with `id` in an array of objects; null if absent.
json FindRow(const json& rows, const std::string& id) {
  for (const json& row : rows) {
    if (FieldText(row, "id") == id) {
      return row;
    }
  }
  return nullptr;
}

// Finds the allowance that has to approve the proposal.
ExitCode FindAllowance(Context& context,
                       const std::string& proposal_id,
                       std::string& allowance) {
  ExitCode exit_code = ExitCode::kOk;
  json answer;
  if (!Fetch(context, "/v1/proposals", answer, exit_code)) {
    return exit_code;
  }
  const json proposal =
      FindRow(answer.value("proposals", json::array()), proposal_id);
  if (proposal.is_null()) {
    PrintError(context, "proposal \"" + proposal_id +
                            "\" does not exist or has expired");
    return ExitCode::kFailed;
  }
  if (!Fetch(context, "/v1/lists/plans", answer, exit_code)) {
    return exit_code;
  }
  const std::string plan_id = FieldText(proposal, "plan");
  const json plan = FindRow(answer["content"]["plans"], plan_id);
  if (plan.is_null()) {
    PrintError(context, "plan \"" + plan_id + "\" of proposal \"" +
                            proposal_id + "\" is not in the list \"plans\"");
    return ExitCode::kFailed;
  }
  allowance = FieldText(plan, "allowance");
  return ExitCode::kOk;
}

// Adds the id to the allowance in `content`. Returns false if it stands there.
bool AddApproval(json& content,
                 const std::string& allowance,
                 const std::string& proposal_id) {
  for (json& row : content["allowances"]) {
    if (FieldText(row, "id") != allowance) {
      continue;
    }
    json& approved = row["approved"];
    if (std::find(approved.begin(), approved.end(), proposal_id) !=
        approved.end()) {
      return false;
    }
    approved.push_back(proposal_id);
  }
  return true;
}

ExitCode Approve(Context& context, const ApproveOptions& options) {
  std::string allowance;
  ExitCode exit_code = FindAllowance(context, options.id, allowance);
  if (exit_code != ExitCode::kOk) {
    return exit_code;
  }
  ListEditSpec edit;
  edit.list = "allowances";
  edit.author = options.author;
  PublishReport report;
  for (int i = 0; i < kMaxTries; ++i) {
    json shown;
    if (!Fetch(context, "/v1/lists/allowances", shown, exit_code)) {
      return exit_code;
    }
    if (!AddApproval(shown["content"], allowance, options.id)) {
      context.streams.err << "proposal " << options.id
                          << " is approved already\n";
      return ExitCode::kOk;
    }
    edit.base_version = shown.value("version", uint64_t{0});
    edit.content = shown["content"].dump();
    report = PublishEdit(context, edit);
    if (report.exit_code != ExitCode::kConflict) {
      break;
    }
  }
  PrintPublishReport(context, edit, report);
  return report.exit_code;
}

}  // namespace

void AddApproveCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand(
      "approve", "Approve a proposal: adds its id to the plan's allowance");
  const auto options = std::make_shared<ApproveOptions>();
  command->add_option("ID", options->id, "Proposal id")->required();
  AddAuthor(*command, options->author);
  command->callback([&chosen, options] {
    chosen = [options](Context& context) { return Approve(context, *options); };
  });
}

}  // namespace azurespur::cli
