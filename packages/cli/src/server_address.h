// Check of a server's address.

#ifndef CLI_SERVER_ADDRESS_H_
#define CLI_SERVER_ADDRESS_H_

#include <string>

namespace azurespur::cli {

// Empty if `address` is IPv4:PORT, otherwise what is wrong.
std::string CheckServerAddress(const std::string& address);

}  // namespace azurespur::cli

#endif  // CLI_SERVER_ADDRESS_H_
