#include "control/list_service.h"

#include <memory>
#include <utility>

#include "control/list_edit.h"
#include "control/list_ledger.h"
#include "control/list_schema.h"
#include "control/log_channel.h"
#include "wire/codec.h"

namespace azurespur::control {

namespace {

constexpr size_t kMaxAuthorBytes = 64;
constexpr size_t kMaxEditIdBytes = 100;

std::vector<ListError> CheckFrame(const PublishRequest& request) {
  std::vector<ListError> errors;
  if (request.author.empty() || request.author.size() > kMaxAuthorBytes) {
    errors.push_back(
        {"author", "\"" + request.author + "\" is no text of 1 to " +
                       std::to_string(kMaxAuthorBytes) + " bytes"});
  }
  if (request.edit_id.size() > kMaxEditIdBytes) {
    errors.push_back(
        {"edit_id",
         "has more than " + std::to_string(kMaxEditIdBytes) + " bytes"});
  }
  return errors;
}

}  // namespace

ListService::ListService(ListServiceOptions options,
                         LogChannel& log,
                         const ListLedger& ledger,
                         const base::Clock& clock)
    : m_options(std::move(options)),
      m_log(log),
      m_ledger(ledger),
      m_clock(clock) {}

void ListService::Publish(PublishRequest request, Done done) {
  if (std::vector<ListError> errors = CheckFrame(request); !errors.empty()) {
    done(PublishInvalid{std::move(errors)});
    return;
  }
  if (!m_ledger.Complete()) {
    done(PublishRefused{"this VM has not read the lists whole yet"});
    return;
  }
  if (request.edit_id.empty()) {
    request.edit_id =
        m_options.writer + "/" + std::to_string(m_sequence.fetch_add(1));
  }
  if (m_ledger.Verdict(request.edit_id)) {
    done(ResultOf(request));
    return;
  }
  // Versions only go up, so an older base can't become right. A newer one can:
  // this VM may lag.
  if (request.base_version < m_ledger.Latest(request.list).version) {
    done(Conflict(request.list, request.base_version));
    return;
  }
  CheckedList checked =
      CheckList(request.list, request.content, *m_ledger.Current());
  if (!checked.errors.empty() && !checked.only_references) {
    done(PublishInvalid{std::move(checked.errors)});
    return;
  }
  ListEdit edit;
  edit.edit_id = request.edit_id;
  edit.list = request.list;
  edit.base_version = request.base_version;
  edit.author = request.author;
  edit.wall_ms = m_clock.WallMillis();
  edit.content = checked.canonical;
  const auto shared_done = std::make_shared<Done>(std::move(done));
  const bool queued = m_log.Append(
      wire::EntryKind::kListEdit, wire::Encode(edit),
      m_clock.Now() + m_options.publish_timeout,
      [this, request, shared_done](base::Outcome<LogPosition> appended) {
        if (base::Ok(appended)) {
          (*shared_done)(ResultOf(request));
          return;
        }
        const base::Error& error = base::GetError(appended);
        if (error.code == base::ErrorCode::kUnknown) {
          (*shared_done)(PublishUnknown{request.edit_id, error.message});
          return;
        }
        (*shared_done)(PublishRefused{error.message});
      });
  if (!queued) {
    (*shared_done)(PublishRefused{"the queue to the log is full"});
  }
}

PublishResult ListService::ResultOf(const PublishRequest& request) const {
  const std::optional<EditVerdict> verdict = m_ledger.Verdict(request.edit_id);
  if (!verdict) {
    return PublishUnknown{request.edit_id,
                          "the edit is in the log and not judged yet"};
  }
  switch (verdict->outcome) {
    case EditOutcome::kAccepted:
      return PublishAccepted{request.edit_id, verdict->version};
    case EditOutcome::kConflict:
      return Conflict(verdict->list, request.base_version);
    case EditOutcome::kInvalid:
      return PublishInvalid{verdict->errors};
  }
  return PublishUnknown{request.edit_id, ""};
}

PublishResult ListService::Conflict(ListName list,
                                    uint64_t base_version) const {
  PublishConflict conflict;
  conflict.current = m_ledger.Latest(list);
  base::Outcome<std::vector<RowChange>> diff =
      Diff(list, base_version, conflict.current.version);
  conflict.diff_known = base::Ok(diff);
  if (conflict.diff_known) {
    conflict.diff = base::Value(std::move(diff));
  }
  return conflict;
}

base::Outcome<ListVersion> ListService::Show(ListName list,
                                             uint64_t version) const {
  if (version == 0) {
    return m_ledger.Latest(list);
  }
  std::optional<ListVersion> found = m_ledger.Find(list, version);
  if (!found) {
    return base::Error{base::ErrorCode::kNotFound,
                       "list \"" + std::string(ListNameText(list)) +
                           "\": version " + std::to_string(version) +
                           " is not kept on this VM; in force is " +
                           std::to_string(m_ledger.Latest(list).version)};
  }
  return *std::move(found);
}

base::Outcome<std::vector<RowChange>> ListService::Diff(ListName list,
                                                        uint64_t from,
                                                        uint64_t to) const {
  std::string contents[2];
  const uint64_t versions[2] = {from, to};
  for (int i = 0; i < 2; ++i) {
    if (versions[i] == 0) {
      continue;
    }
    base::Outcome<ListVersion> found = Show(list, versions[i]);
    if (!base::Ok(found)) {
      return base::GetError(found);
    }
    contents[i] = base::Value(found).content;
  }
  return DiffLists(list, contents[0], contents[1]);
}

}  // namespace azurespur::control
