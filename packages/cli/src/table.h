// Plain text tables with aligned columns.

#ifndef CLI_TABLE_H_
#define CLI_TABLE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace azurespur::cli {

using TableRow = std::vector<std::string>;

// Prints `header` and `rows`; every row has as many cells as the header.
void PrintTable(std::ostream& out,
                const TableRow& header,
                const std::vector<TableRow>& rows);

}  // namespace azurespur::cli

#endif  // CLI_TABLE_H_
