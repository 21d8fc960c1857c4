// Strict reading of the fields of a JSON object.

#ifndef STANDINS_JSON_READER_H_
#define STANDINS_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace azurespur::standins {

// Reads optional fields into variables that hold their defaults. The first
// wrong or unknown field is kept as the error.
class JsonReader {
 public:
  // An empty text counts as an empty object.
  explicit JsonReader(std::string_view text);

  JsonReader& Read(const std::string& name, int64_t& value);
  JsonReader& Read(const std::string& name, bool& value);
  JsonReader& Read(const std::string& name, double& value);
  JsonReader& Read(const std::string& name, std::string& value);
  JsonReader& Read(const std::string& name, std::vector<std::string>& value);

  // The field must be there.
  JsonReader& Require(const std::string& name);

  // The message of the first error, if any. Call after all reads.
  std::optional<std::string> Finish();

 private:
  const nlohmann::json* Find(const std::string& name);
  void Fail(const std::string& name,
            std::string_view wanted,
            const nlohmann::json& got);

  nlohmann::json m_object;
  std::set<std::string> m_known;
  std::optional<std::string> m_error;
};

}  // namespace azurespur::standins

#endif  // STANDINS_JSON_READER_H_
