#include "mail_loop.h"

#include <utility>

namespace azurespur::cell {

size_t HandleMail(std::optional<base::Mail> first,
                  base::Mailbox& mailbox,
                  const base::Clock& clock,
                  base::Micros longest) {
  const base::MonoTime end = clock.Now() + longest;
  size_t handled = 0;
  std::optional<base::Mail> mail = std::move(first);
  while (mail) {
    (*mail)();
    ++handled;
    mail = clock.Now() < end ? mailbox.Pop() : std::nullopt;
  }
  return handled;
}

}  // namespace azurespur::cell
