// docs/EVENTS.md lists the event ids of the sources, each once and in order.

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace azurespur::cli {

namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// All first groups of `pattern` in `text`, in order.
std::vector<std::string> FindAll(const std::string& text,
                                 const std::regex& pattern) {
  std::vector<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end; ++it) {
    found.push_back((*it)[1]);
  }
  return found;
}

void AddIdsInSources(const fs::path& root,
                     std::string_view folder,
                     std::set<std::string>& ids) {
  static const std::regex id_pattern("\"(AZ[0-9]{4})\"");
  for (const auto& entry : fs::recursive_directory_iterator(root / folder)) {
    const std::string path = entry.path().string();
    const bool is_source = path.find("/src/") != std::string::npos ||
                           path.find("/programs/") != std::string::npos;
    if (entry.is_regular_file() && is_source) {
      for (std::string& id : FindAll(ReadFile(entry.path()), id_pattern)) {
        ids.insert(std::move(id));
      }
    }
  }
}

std::set<std::string> IdsInSources(const fs::path& root) {
  std::set<std::string> ids;
  AddIdsInSources(root, "packages", ids);
  AddIdsInSources(root, "platform", ids);
  return ids;
}

}  // namespace

TEST_CASE("docs/EVENTS.md lists exactly the event ids of the sources") {
  const fs::path root = AZURESPUR_SOURCE_DIR;
  static const std::regex row_pattern("\n\\| (AZ[0-9]{4}) \\|");
  const std::vector<std::string> rows =
      FindAll(ReadFile(root / "docs" / "EVENTS.md"), row_pattern);
  const std::set<std::string> documented(rows.begin(), rows.end());
  const std::set<std::string> used = IdsInSources(root);
  CHECK(documented.size() == rows.size());
  CHECK(std::is_sorted(rows.begin(), rows.end()));
  for (const std::string& id : used) {
    CHECK_MESSAGE(documented.count(id) == 1, id << " has no row in EVENTS.md");
  }
  for (const std::string& id : documented) {
    CHECK_MESSAGE(used.count(id) == 1, id << " stands in no source");
  }
}

}  // namespace azurespur::cli
