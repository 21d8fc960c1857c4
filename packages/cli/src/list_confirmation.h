// Confirmation that all entry VMs run the same lists.

#ifndef CLI_LIST_CONFIRMATION_H_
#define CLI_LIST_CONFIRMATION_H_

#include "base/clock.h"
#include "context.h"

namespace azurespur::cli {

// Asks one server until all VMs agree or `limit` has passed, then prints what
// each runs. Exit codes: kOk all agree, kFailed otherwise.
ExitCode ConfirmLists(Context& context, base::Millis limit);

}  // namespace azurespur::cli

#endif  // CLI_LIST_CONFIRMATION_H_
