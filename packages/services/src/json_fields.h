// Reads typed fields of JSON answers.

#ifndef SERVICES_SRC_JSON_FIELDS_H_
#define SERVICES_SRC_JSON_FIELDS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/outcome.h"

namespace azurespur::services {

// Errors: kUnknown if `body` is not a JSON object; `source` names the answer.
base::Outcome<nlohmann::json> ParseObject(std::string_view body,
                                          std::string_view source);

// The field's value, or `fallback` if it is absent or of another type.
std::string StringField(const nlohmann::json& object,
                        const char* name,
                        std::string_view fallback = "");
int64_t IntField(const nlohmann::json& object,
                 const char* name,
                 int64_t fallback = 0);
bool BoolField(const nlohmann::json& object,
               const char* name,
               bool fallback = false);

}  // namespace azurespur::services

#endif  // SERVICES_SRC_JSON_FIELDS_H_
