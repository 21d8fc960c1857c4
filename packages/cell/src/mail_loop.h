// Handling of mail on the node's thread, between two ticks.

#ifndef CELL_SRC_MAIL_LOOP_H_
#define CELL_SRC_MAIL_LOOP_H_

#include <cstddef>
#include <optional>

#include "base/clock.h"
#include "base/mailbox.h"

namespace azurespur::cell {

// Handles `first`, if any, and the mail that waits after it. Begins no further
// mail after `longest`. Returns the number of mails handled.
size_t HandleMail(std::optional<base::Mail> first,
                  base::Mailbox& mailbox,
                  const base::Clock& clock,
                  base::Micros longest);

}  // namespace azurespur::cell

#endif  // CELL_SRC_MAIL_LOOP_H_
