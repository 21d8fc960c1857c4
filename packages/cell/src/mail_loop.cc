#include "mail_loop.h"

#include <utility>

namespace azurespur::cell {

size_t HandleMail(std::optional<base::Mail> first,
                  base::Mailbox& mailbox,
                  const base::Clock& /*clock*/) {
  size_t handled = 0;
  std::optional<base::Mail> mail = std::move(first);
  while (mail) {
    (*mail)();
    ++handled;
    mail = mailbox.Pop();
  }
  return handled;
}

}  // namespace azurespur::cell
