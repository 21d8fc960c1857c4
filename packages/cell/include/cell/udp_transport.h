// DatagramTransport over a UDP socket, with its own thread for receiving.

#ifndef CELL_UDP_TRANSPORT_H_
#define CELL_UDP_TRANSPORT_H_

#include <memory>
#include <string_view>

#include "base/outcome.h"
#include "cell/node_dependencies.h"

namespace azurespur::cell {

// `address` is "IP:PORT". Errors: kUnavailable if it can't be bound.
base::Outcome<std::unique_ptr<DatagramTransport>> OpenUdpTransport(
    std::string_view address);

}  // namespace azurespur::cell

#endif  // CELL_UDP_TRANSPORT_H_
