// Reads journals of JSON lines into a History.

#ifndef HISTORY_HISTORY_READER_H_
#define HISTORY_HISTORY_READER_H_

#include <istream>
#include <string_view>

#include "base/outcome.h"
#include "history/history.h"

namespace azurespur::history {

// Adds all lines of a journal of workers, executors or callers; a line says by
// its fields which it is. Errors name `source`, the line and what is wrong.
base::Outcome<base::Unit> ReadJournal(std::string_view source,
                                      std::istream& in,
                                      History& history);

// Puts the events into the order of their times. Call after all reads.
void SortByTime(History& history);

}  // namespace azurespur::history

#endif  // HISTORY_HISTORY_READER_H_
