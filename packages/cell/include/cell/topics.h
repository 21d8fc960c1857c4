// Names of the log streams of a cell.

#ifndef CELL_TOPICS_H_
#define CELL_TOPICS_H_

#include <string_view>

namespace azurespur::cell {

inline constexpr std::string_view kIntakeTopic = "azurespur.intake";
inline constexpr std::string_view kWorkTopic = "azurespur.work";

// Producer of all appends to the work stream. Its epoch fences former leaders.
inline constexpr std::string_view kLeaderProducer = "leader";

}  // namespace azurespur::cell

#endif  // CELL_TOPICS_H_
