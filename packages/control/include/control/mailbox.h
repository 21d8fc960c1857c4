// Work handed to the controllers' thread.

#ifndef CONTROL_MAILBOX_H_
#define CONTROL_MAILBOX_H_

#include <functional>

#include "base/ring.h"

namespace azurespur::control {

using Mail = std::function<void()>;
using Mailbox = base::Ring<Mail>;

}  // namespace azurespur::control

#endif  // CONTROL_MAILBOX_H_
