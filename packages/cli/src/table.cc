#include "table.h"

#include <algorithm>
#include <ostream>

namespace azurespur::cli {

namespace {

constexpr size_t kGap = 2;

void PrintRow(std::ostream& out,
              const TableRow& row,
              const std::vector<size_t>& widths) {
  std::string line;
  for (size_t i = 0; i < row.size(); ++i) {
    line += row[i];
    if (i + 1 < row.size()) {
      line.append(widths[i] + kGap - row[i].size(), ' ');
    }
  }
  out << line << '\n';
}

}  // namespace

void PrintTable(std::ostream& out,
                const TableRow& header,
                const std::vector<TableRow>& rows) {
  std::vector<size_t> widths;
  for (const std::string& cell : header) {
    widths.push_back(cell.size());
  }
  for (const TableRow& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  PrintRow(out, header, widths);
  for (const TableRow& row : rows) {
    PrintRow(out, row, widths);
  }
}

}  // namespace azurespur::cli
