#include "control/list_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "control/list_ledger.h"
#include "control/list_reporter.h"
#include "control/list_schema.h"
#include "control/list_service.h"
#include "http/http_message.h"
#include "http/http_server.h"
#include "list_json.h"

namespace azurespur::control {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

constexpr std::string_view kListsPrefix = "/v1/lists/";
constexpr std::string_view kEditsPrefix = "edits/";

void Send(http::HttpReply& reply, int status, const json& body) {
  http::HttpResponse response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  reply.Send(std::move(response));
}

void SendError(http::HttpReply& reply, int status, const std::string& text) {
  Send(reply, status, {{"error", text}});
}

// The number in the query's `field`; `absent` if it is not given; empty, after
// an answer was sent, if it is no number.
std::optional<uint64_t> QueryVersion(const http::HttpRequest& request,
                                     std::string_view field,
                                     uint64_t absent,
                                     http::HttpReply& reply) {
  const std::string_view text = http::FindField(request.query, field);
  if (text.empty()) {
    return absent;
  }
  uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    SendError(reply, kBadRequest,
              "query " + std::string(field) + ": \"" + std::string(text) +
                  "\" is no version");
    return std::nullopt;
  }
  return value;
}

// A list's content in a request: a JSON object, or the same as a string, which
// lets the daemon see fields that stand twice.
std::string ContentText(const json& content) {
  return content.is_string() ? content.get<std::string>() : content.dump();
}

std::string CheckEditBody(const json& body) {
  if (!body.is_object()) {
    return "body is no JSON object";
  }
  if (!body.contains("base_version") ||
      !body["base_version"].is_number_unsigned()) {
    return "field \"base_version\" is missing or no version";
  }
  for (const char* field : {"author", "edit_id"}) {
    if (body.contains(field) && !body[field].is_string()) {
      return "field \"" + std::string(field) + "\" is no text";
    }
  }
  if (!body.contains("content")) {
    return "field \"content\" is missing";
  }
  return "";
}

}  // namespace

ListApi::ListApi(ListService& service,
                 const ListLedger& ledger,
                 const ListReporter& reporter)
    : m_service(service), m_ledger(ledger), m_reporter(reporter) {}

bool ListApi::Handle(const http::HttpRequest& request,
                     const std::shared_ptr<http::HttpReply>& reply) {
  const std::string_view path = request.path;
  const bool is_proposals = path == "/v1/proposals";
  if (!is_proposals && !path.starts_with(kListsPrefix)) {
    return false;
  }
  const std::string_view rest =
      is_proposals ? path : path.substr(kListsPrefix.size());
  if (is_proposals || rest == "confirm") {
    if (request.method != "GET") {
      SendError(*reply, kMethodNotAllowed, "only GET is allowed");
    } else if (is_proposals) {
      Proposals(*reply);
    } else {
      Confirm(*reply);
    }
    return true;
  }
  const size_t slash = std::min(rest.find('/'), rest.size());
  const std::optional<ListName> list = ParseListName(rest.substr(0, slash));
  if (!list) {
    SendError(*reply, kNotFound,
              "\"" + std::string(rest.substr(0, slash)) +
                  "\" is no list; lists are \"plans\" and \"allowances\"");
    return true;
  }
  const size_t tail = std::min(slash + 1, rest.size());
  HandleList(*list, rest.substr(tail), request, reply);
  return true;
}

void ListApi::HandleList(ListName list,
                         std::string_view rest,
                         const http::HttpRequest& request,
                         const std::shared_ptr<http::HttpReply>& reply) {
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (rest.empty() && is_get) {
    Show(list, request, *reply);
  } else if (rest.empty() && is_post) {
    Publish(list, request, reply);
  } else if (rest == "diff" && is_get) {
    Diff(list, request, *reply);
  } else if (rest == "check" && is_post) {
    Check(list, request, *reply);
  } else if (rest.starts_with(kEditsPrefix) && is_get) {
    Edit(list, rest.substr(kEditsPrefix.size()), *reply);
  } else {
    SendError(*reply, kNotFound,
              request.method + " " + request.path + " does not exist");
  }
}

void ListApi::Show(ListName list,
                   const http::HttpRequest& request,
                   http::HttpReply& reply) const {
  const std::optional<uint64_t> version =
      QueryVersion(request, "version", 0, reply);
  if (!version) {
    return;
  }
  const base::Outcome<ListVersion> found = m_service.Show(list, *version);
  if (!base::Ok(found)) {
    SendError(reply, kNotFound, base::GetError(found).message);
    return;
  }
  json body = VersionJson(list, base::Value(found));
  body["complete"] = m_ledger.Complete();
  Send(reply, kOk, body);
}

void ListApi::Diff(ListName list,
                   const http::HttpRequest& request,
                   http::HttpReply& reply) const {
  const std::optional<uint64_t> from = QueryVersion(request, "from", 0, reply);
  if (!from) {
    return;
  }
  const std::optional<uint64_t> to =
      QueryVersion(request, "to", m_ledger.Latest(list).version, reply);
  if (!to) {
    return;
  }
  const base::Outcome<std::vector<RowChange>> diff =
      m_service.Diff(list, *from, *to);
  if (!base::Ok(diff)) {
    SendError(reply, kNotFound, base::GetError(diff).message);
    return;
  }
  Send(reply, kOk,
       {{"list", ListNameText(list)},
        {"from", *from},
        {"to", *to},
        {"diff", DiffJson(base::Value(diff))}});
}

void ListApi::Check(ListName list,
                    const http::HttpRequest& request,
                    http::HttpReply& reply) const {
  const CheckedList checked =
      CheckList(list, request.body, *m_ledger.Current());
  const ListVersion in_force = m_ledger.Latest(list);
  json body = {{"valid", checked.errors.empty()},
               {"version", in_force.version},
               {"errors", ErrorsJson(checked.errors)}};
  if (checked.errors.empty()) {
    body["diff"] =
        DiffJson(DiffLists(list, in_force.content, checked.canonical));
  }
  Send(reply, kOk, body);
}

void ListApi::Edit(ListName list,
                   std::string_view id,
                   http::HttpReply& reply) const {
  const std::string edit_id = http::UrlUnescape(id);
  const std::optional<EditVerdict> verdict = m_ledger.Verdict(edit_id);
  if (!verdict || verdict->list != list) {
    SendError(reply, kNotFound,
              "edit \"" + edit_id + "\" of list \"" +
                  std::string(ListNameText(list)) +
                  "\" was not read on this VM, or long ago");
    return;
  }
  Send(reply, kOk, VerdictJson(*verdict));
}

void ListApi::Publish(ListName list,
                      const http::HttpRequest& request,
                      const std::shared_ptr<http::HttpReply>& reply) {
  const json body = json::parse(request.body, nullptr, false);
  if (const std::string error = CheckEditBody(body); !error.empty()) {
    SendError(*reply, kBadRequest, error);
    return;
  }
  PublishRequest publish;
  publish.list = list;
  publish.base_version = body["base_version"].get<uint64_t>();
  publish.author = body.value("author", "");
  publish.edit_id = body.value("edit_id", "");
  publish.content = ContentText(body["content"]);
  m_service.Publish(std::move(publish), [reply](const PublishResult& result) {
    PublishAnswer answer = PublishAnswerOf(result);
    http::HttpResponse response;
    response.status = answer.status;
    response.body = std::move(answer.body);
    reply->Send(std::move(response));
  });
}

void ListApi::Confirm(http::HttpReply& reply) const {
  Send(reply, kOk, ConfirmationJson(m_reporter.Confirm()));
}

void ListApi::Proposals(http::HttpReply& reply) const {
  const std::shared_ptr<const ListsSnapshot> lists = m_ledger.Current();
  json array = json::array();
  for (const Proposal& proposal : m_ledger.Proposals()) {
    const bool approved =
        std::any_of(lists->allowances.begin(), lists->allowances.end(),
                    [&](const Allowance& row) {
                      return std::find(row.approved.begin(), row.approved.end(),
                                       proposal.id) != row.approved.end();
                    });
    array.push_back(ProposalJson(proposal, approved));
  }
  Send(reply, kOk, {{"proposals", std::move(array)}});
}

}  // namespace azurespur::control
