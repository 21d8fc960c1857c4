// Reads the fields of one JSON object and collects every fault found.

#ifndef CONTROL_ROW_READER_H_
#define CONTROL_ROW_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "control/list_error.h"

namespace azurespur::control {

enum class Presence { kRequired, kOptional };

// Reading methods leave `value` unchanged if the field is absent or wrong.
// `row` and `errors` must outlive the reader.
class RowReader {
 public:
  RowReader(const nlohmann::json& row,
            std::string path,
            std::vector<ListError>& errors);

  // A name of 1 to 64 letters, digits, '.', '_' or '-'.
  void Name(std::string_view field, Presence presence, std::string& value);
  void Names(std::string_view field, std::vector<std::string>& value);
  void Text(std::string_view field, size_t max_bytes, std::string& value);
  void Integer(std::string_view field,
               int64_t min,
               int64_t max,
               int64_t& value);
  void Number(std::string_view field, double min, double max, double& value);
  void Flag(std::string_view field, bool& value);

  // Index of the field's value in `choices`; -1 if absent or wrong.
  int Choice(std::string_view field,
             const std::vector<std::string_view>& choices);

  // Reports the fields that no method has read.
  void Finish();

 private:
  const nlohmann::json* Find(std::string_view field, Presence presence);
  void Fail(std::string_view field, std::string text);

  const nlohmann::json& m_row;
  const std::string m_path;
  std::vector<ListError>& m_errors;
  std::set<std::string, std::less<>> m_known;
};

}  // namespace azurespur::control

#endif  // CONTROL_ROW_READER_H_
