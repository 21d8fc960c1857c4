#include "list_file.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "input.h"

namespace azurespur::cli {

base::Outcome<ListFile> ReadListFile(const Streams& streams,
                                     const std::string& file) {
  base::Outcome<std::string> text = ReadInput(streams, file);
  if (!base::Ok(text)) {
    return base::GetError(text);
  }
  ListFile result;
  result.content = base::Value(std::move(text));
  const auto document = nlohmann::json::parse(result.content, nullptr, false);
  const bool is_shown = document.is_object() && document.contains("content") &&
                        document.contains("version") &&
                        document["version"].is_number_unsigned();
  if (is_shown) {
    result.base_version = document["version"].get<uint64_t>();
    result.content = document["content"].dump();
  }
  return result;
}

}  // namespace azurespur::cli
