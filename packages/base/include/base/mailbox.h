// Work handed to the thread that owns some state.

#ifndef BASE_MAILBOX_H_
#define BASE_MAILBOX_H_

#include <functional>

#include "base/ring.h"

namespace azurespur::base {

using Mail = std::function<void()>;
using Mailbox = Ring<Mail>;

}  // namespace azurespur::base

#endif  // BASE_MAILBOX_H_
