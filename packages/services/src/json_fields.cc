#include "json_fields.h"

namespace azurespur::services {

base::Outcome<nlohmann::json> ParseObject(std::string_view body,
                                          std::string_view source) {
  nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return base::Error{base::ErrorCode::kUnknown,
                       std::string(source) + ": answer is no JSON object"};
  }
  return parsed;
}

std::string StringField(const nlohmann::json& object,
                        const char* name,
                        std::string_view fallback) {
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>()
                                               : std::string(fallback);
}

int64_t IntField(const nlohmann::json& object,
                 const char* name,
                 int64_t fallback) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number() ? it->get<int64_t>() : fallback;
}

bool BoolField(const nlohmann::json& object, const char* name, bool fallback) {
  const auto it = object.find(name);
  return it != object.end() && it->is_boolean() ? it->get<bool>() : fallback;
}

}  // namespace azurespur::services
