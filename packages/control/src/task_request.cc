#include "control/task_request.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace azurespur::control {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxPayloadBytes = 64 << 10;
constexpr int64_t kMaxMembers = 4096;
constexpr int64_t kMaxAmount = int64_t{1} << 40;

constexpr std::array<std::string_view, 13> kFields = {
    "key",        "plan",        "name",         "kind",       "members",
    "cpu_millis", "memory_mb",   "accelerators", "rack_limit", "non_idempotent",
    "urgent",     "expected_ms", "payload"};

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

// Reads fields one after the other and keeps the first error.
class FieldReader {
 public:
  explicit FieldReader(const Json& json) : m_json(json) {}

  std::string Text(const char* field, size_t max_bytes) {
    const Json* value = Find(field);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_string() ||
        value->get_ref<const std::string&>().size() > max_bytes) {
      Fail(
          field, *value,
          "is not a string of at most " + std::to_string(max_bytes) + " bytes");
      return {};
    }
    return value->get<std::string>();
  }

  std::string Name(const char* field) {
    std::string text = Text(field, kMaxNameBytes);
    if (!std::ranges::all_of(text, IsNameCharacter)) {
      Fail(field, text, "has characters other than A-Z a-z 0-9 . _ -");
    }
    return text;
  }

  int64_t Number(const char* field, int64_t low, int64_t high, int64_t absent) {
    const Json* value = Find(field);
    if (value == nullptr) {
      return absent;
    }
    const bool fits =
        value->is_number_integer() && *value >= low && *value <= high;
    if (!fits) {
      Fail(field, *value,
           "is not a whole number from " + std::to_string(low) + " to " +
               std::to_string(high));
      return absent;
    }
    return value->get<int64_t>();
  }

  bool Flag(const char* field) {
    const Json* value = Find(field);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_boolean()) {
      Fail(field, *value, "is not true or false");
      return false;
    }
    return value->get<bool>();
  }

  TaskKind Kind(const char* field) {
    const std::string kind = Text(field, kMaxNameBytes);
    if (kind == "service") {
      return TaskKind::kService;
    }
    if (kind == "gang") {
      return TaskKind::kGang;
    }
    if (!kind.empty() && kind != "batch") {
      Fail(field, kind, "is not batch, service or gang");
    }
    return TaskKind::kBatch;
  }

  void Fail(std::string_view field,
            const Json& value,
            const std::string& reason) {
    if (!m_error) {
      m_error =
          base::Error{base::ErrorCode::kInvalid,
                      "field \"" + std::string(field) + "\": value " +
                          value.dump().substr(0, kMaxNameBytes) + " " + reason};
    }
  }

  const std::optional<base::Error>& error() const { return m_error; }

 private:
  const Json* Find(const char* field) const {
    const auto found = m_json.find(field);
    return found == m_json.end() ? nullptr : &*found;
  }

  const Json& m_json;
  std::optional<base::Error> m_error;
};

}  // namespace

base::Outcome<TaskSpec> ParseTaskRequest(std::string_view body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return base::Error{base::ErrorCode::kInvalid,
                       "the body is not a JSON object"};
  }
  FieldReader reader(json);
  for (const auto& [field, value] : json.items()) {
    if (std::ranges::find(kFields, field) == kFields.end()) {
      reader.Fail(field, value, "belongs to no known field");
    }
  }
  const std::string key = reader.Name("key");
  TaskSpec spec;
  spec.plan = reader.Name("plan");
  spec.name = reader.Name("name");
  spec.kind = reader.Kind("kind");
  spec.members = reader.Number("members", 1, kMaxMembers, 1);
  spec.cpu_millis = reader.Number("cpu_millis", 0, kMaxAmount, 0);
  spec.memory_mb = reader.Number("memory_mb", 0, kMaxAmount, 0);
  spec.accelerators = reader.Number("accelerators", 0, kMaxAmount, 0);
  spec.rack_limit = reader.Number("rack_limit", 0, kMaxMembers, 0);
  spec.non_idempotent = reader.Flag("non_idempotent");
  spec.urgent = reader.Flag("urgent");
  spec.expected_ms = reader.Number("expected_ms", 0, kMaxAmount, 0);
  spec.payload = reader.Text("payload", kMaxPayloadBytes);
  if (spec.plan.empty()) {
    reader.Fail("plan", json.value("plan", Json()), "names no plan");
  }
  if (spec.kind != TaskKind::kGang && spec.members != 1) {
    reader.Fail("members", spec.members, "needs kind \"gang\"");
  }
  if (spec.cpu_millis + spec.memory_mb + spec.accelerators == 0) {
    reader.Fail("cpu_millis", spec.cpu_millis,
                "and no memory_mb and accelerators leave the task no size");
  }
  if (reader.error()) {
    return *reader.error();
  }
  if (!key.empty()) {
    spec.id = "k." + spec.plan + "." + key;
  }
  return spec;
}

}  // namespace azurespur::control
