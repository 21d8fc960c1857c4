// The unit in which settings state the rate of a link.

#ifndef BASE_LINK_RATE_H_
#define BASE_LINK_RATE_H_

namespace azurespur::base {

// What a link of 1 Mbit/s carries in a millisecond.
inline constexpr double kBytesPerMillisPerMbps = 125;

}  // namespace azurespur::base

#endif  // BASE_LINK_RATE_H_
