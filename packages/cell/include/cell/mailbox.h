// Work handed to the thread that owns a VM's state.

#ifndef CELL_MAILBOX_H_
#define CELL_MAILBOX_H_

#include <functional>

#include "base/ring.h"

namespace azurespur::cell {

using Mail = std::function<void()>;
using Mailbox = base::Ring<Mail>;

}  // namespace azurespur::cell

#endif  // CELL_MAILBOX_H_
