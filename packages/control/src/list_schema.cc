#include "control/list_schema.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "row_reader.h"

namespace azurespur::control {

namespace {

using nlohmann::json;

constexpr size_t kMaxCustomerBytes = 128;
constexpr double kMaxRequestsPerS = 1e6;
constexpr int64_t kMaxBurst = 1000000;
constexpr int64_t kMaxWaiting = 1000000;
constexpr int64_t kMaxWeight = 1000;
constexpr int64_t kMaxDeadlineMs = 3600000;
constexpr int64_t kMaxCpuMillis = 1000000000;
constexpr int64_t kMaxMemoryMb = int64_t{1} << 40;
constexpr int64_t kMaxAccelerators = 1000000;
constexpr int64_t kMaxTasks = 10000000;

const std::vector<std::string_view> kClassNames = {"preview", "interactive",
                                                   "bulk"};
const std::vector<std::string_view> kModeNames = {"automatic", "approve"};

std::string RowPath(ListName list, size_t row) {
  return "/" + std::string(ListNameText(list)) + "/" + std::to_string(row);
}

Plan ReadPlan(RowReader& reader) {
  Plan plan;
  reader.Name("id", Presence::kRequired, plan.id);
  reader.Text("customer", kMaxCustomerBytes, plan.customer);
  reader.Name("allowance", Presence::kRequired, plan.allowance);
  return plan;
}

Allowance ReadAllowance(RowReader& reader) {
  Allowance row;
  reader.Name("id", Presence::kRequired, row.id);
  if (const int choice = reader.Choice("request_class", kClassNames);
      choice >= 0) {
    row.request_class = static_cast<RequestClass>(choice);
  }
  reader.Number("requests_per_s", 0, kMaxRequestsPerS, row.requests_per_s);
  reader.Integer("burst", 0, kMaxBurst, row.burst);
  reader.Integer("max_waiting", 0, kMaxWaiting, row.max_waiting);
  reader.Integer("weight", 1, kMaxWeight, row.weight);
  reader.Integer("deadline_ms", 1, kMaxDeadlineMs, row.deadline_ms);
  reader.Integer("cpu_millis", 0, kMaxCpuMillis, row.cpu_millis);
  reader.Integer("memory_mb", 0, kMaxMemoryMb, row.memory_mb);
  reader.Integer("accelerators", 0, kMaxAccelerators, row.accelerators);
  reader.Integer("max_tasks", 0, kMaxTasks, row.max_tasks);
  reader.Flag("urgent", row.urgent);
  reader.Flag("preempt", row.preempt);
  if (const int choice = reader.Choice("actions", kModeNames); choice >= 0) {
    row.actions = static_cast<ActionMode>(choice);
  }
  reader.Names("approved", row.approved);
  std::sort(row.approved.begin(), row.approved.end());
  return row;
}

json ToJson(const Plan& plan) {
  return {{"id", plan.id},
          {"customer", plan.customer},
          {"allowance", plan.allowance}};
}

json ToJson(const Allowance& row) {
  return {
      {"id", row.id},
      {"request_class", kClassNames[static_cast<size_t>(row.request_class)]},
      {"requests_per_s", row.requests_per_s},
      {"burst", row.burst},
      {"max_waiting", row.max_waiting},
      {"weight", row.weight},
      {"deadline_ms", row.deadline_ms},
      {"cpu_millis", row.cpu_millis},
      {"memory_mb", row.memory_mb},
      {"accelerators", row.accelerators},
      {"max_tasks", row.max_tasks},
      {"urgent", row.urgent},
      {"preempt", row.preempt},
      {"actions", kModeNames[static_cast<size_t>(row.actions)]},
      {"approved", row.approved}};
}

// Reads every row that is an object; `places` gets the row index of each.
template <typename Row>
std::vector<Row> ReadRows(ListName list,
                          const json& rows,
                          Row (*read)(RowReader&),
                          std::vector<size_t>& places,
                          std::vector<ListError>& errors) {
  std::vector<Row> result;
  std::map<std::string, size_t> first_with_id;
  for (size_t i = 0; i < rows.size(); ++i) {
    const std::string path = RowPath(list, i);
    if (!rows[i].is_object()) {
      errors.push_back({path, "is no object"});
      continue;
    }
    RowReader reader(rows[i], path, errors);
    Row row = read(reader);
    reader.Finish();
    if (!row.id.empty()) {
      const auto [it, is_new] = first_with_id.emplace(row.id, i);
      if (!is_new) {
        errors.push_back({path + "/id", "\"" + row.id +
                                            "\" stands already at " +
                                            RowPath(list, it->second)});
      }
    }
    result.push_back(std::move(row));
    places.push_back(i);
  }
  return result;
}

void CheckPlanReferences(const std::vector<Plan>& plans,
                         const std::vector<size_t>& places,
                         const ListsSnapshot& current,
                         std::vector<ListError>& errors) {
  for (size_t i = 0; i < plans.size(); ++i) {
    const Plan& plan = plans[i];
    if (!plan.allowance.empty() && FindAllowance(current, plan) == nullptr) {
      errors.push_back({RowPath(ListName::kPlans, places[i]) + "/allowance",
                        "\"" + plan.allowance + "\" names no allowance"});
    }
  }
}

void CheckAllowancesInUse(const std::vector<Allowance>& allowances,
                          const ListsSnapshot& current,
                          std::vector<ListError>& errors) {
  std::set<std::string_view> kept;
  for (const Allowance& row : allowances) {
    kept.insert(row.id);
  }
  for (const Plan& plan : current.plans) {
    if (kept.count(plan.allowance) == 0) {
      errors.push_back({"/allowances", "\"" + plan.allowance +
                                           "\" is missing; plan \"" + plan.id +
                                           "\" uses it"});
    }
  }
}

template <typename Row>
std::string Canonical(ListName list, std::vector<Row>& rows) {
  std::sort(rows.begin(), rows.end(),
            [](const Row& a, const Row& b) { return a.id < b.id; });
  json array = json::array();
  for (const Row& row : rows) {
    array.push_back(ToJson(row));
  }
  json document;
  document[std::string(ListNameText(list))] = std::move(array);
  return document.dump();
}

// Returns the array of rows, or null after reporting what is wrong with the
// document's frame.
const json* FindRows(ListName list,
                     const json& document,
                     std::vector<ListError>& errors) {
  const std::string name(ListNameText(list));
  if (!document.is_object()) {
    errors.push_back({"", "is no object with the field \"" + name + "\""});
    return nullptr;
  }
  for (const auto& [field, value] : document.items()) {
    if (field != name) {
      errors.push_back({"/" + field, "field \"" + field + "\" is unknown"});
    }
  }
  const auto it = document.find(name);
  if (it == document.end()) {
    errors.push_back({"/" + name, "field \"" + name + "\" is missing"});
    return nullptr;
  }
  if (!it->is_array()) {
    errors.push_back({"/" + name, "is no array"});
    return nullptr;
  }
  return &*it;
}

void CheckSize(ListName list, CheckedList& result) {
  if (result.canonical.size() > kMaxListBytes) {
    result.errors.push_back(
        {"/" + std::string(ListNameText(list)),
         "has " + std::to_string(result.canonical.size()) + " bytes; at most " +
             std::to_string(kMaxListBytes) + " are allowed"});
  }
}

void CheckRows(ListName list,
               const json& rows,
               const ListsSnapshot& current,
               CheckedList& result) {
  std::vector<size_t> places;
  std::vector<ListError> reference_errors;
  if (list == ListName::kPlans) {
    result.plans = ReadRows(list, rows, &ReadPlan, places, result.errors);
    CheckPlanReferences(result.plans, places, current, reference_errors);
    result.canonical = Canonical(list, result.plans);
  } else {
    result.allowances =
        ReadRows(list, rows, &ReadAllowance, places, result.errors);
    CheckAllowancesInUse(result.allowances, current, reference_errors);
    result.canonical = Canonical(list, result.allowances);
  }
  CheckSize(list, result);
  result.only_references = result.errors.empty() && !reference_errors.empty();
  result.errors.insert(result.errors.end(), reference_errors.begin(),
                       reference_errors.end());
}

// Parses strictly: a field that stands twice in one object is an error, for
// the parser would silently keep the last one.
json ParseDocument(std::string_view content, std::vector<ListError>& errors) {
  std::vector<std::set<std::string>> open_objects;
  const auto on_event = [&](int /*depth*/, json::parse_event_t event,
                            json& value) {
    if (event == json::parse_event_t::object_start) {
      open_objects.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      open_objects.pop_back();
    } else if (event == json::parse_event_t::key &&
               !open_objects.back().insert(value.get<std::string>()).second) {
      errors.push_back(
          {"", "field " + value.dump() + " stands twice in one object"});
    }
    return true;
  };
  try {
    return json::parse(content, on_event);
  } catch (const json::parse_error& e) {
    errors.push_back({"", "is no JSON: byte " + std::to_string(e.byte) +
                              " is not expected"});
    return json(json::value_t::discarded);
  }
}

}  // namespace

CheckedList CheckList(ListName list,
                      std::string_view content,
                      const ListsSnapshot& current) {
  CheckedList result;
  const json document = ParseDocument(content, result.errors);
  const json* rows = document.is_discarded()
                         ? nullptr
                         : FindRows(list, document, result.errors);
  if (rows != nullptr) {
    CheckRows(list, *rows, current, result);
  }
  if (!result.errors.empty() && !result.only_references) {
    result.canonical.clear();
  }
  if (!result.errors.empty()) {
    result.plans.clear();
    result.allowances.clear();
  }
  if (result.errors.size() > kMaxListErrors) {
    result.errors.resize(kMaxListErrors);
  }
  return result;
}

std::string ListDigest(std::string_view canonical) {
  constexpr char kDigits[] = "0123456789abcdef";
  const XXH128_hash_t hash = XXH3_128bits(canonical.data(), canonical.size());
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, hash);
  std::string text;
  for (unsigned char byte : bytes.digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

}  // namespace azurespur::control
