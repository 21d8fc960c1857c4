// Work handed to the thread that owns some state.

#ifndef BASE_MAILBOX_H_
#define BASE_MAILBOX_H_

#include <functional>
#include <utility>

#include "base/ring.h"

namespace azurespur::base {

using Mail = std::function<void()>;
using Mailbox = Ring<Mail>;

// Queues the completion of a call that the owning thread made, even if the
// mailbox is full: the owner waits for it and doesn't repeat the call before.
// Calls in flight are bounded, and each has one completion.
inline void PushCompletion(Mailbox& mailbox, Mail completion) {
  mailbox.PushUnbounded(std::move(completion));
}

}  // namespace azurespur::base

#endif  // BASE_MAILBOX_H_
