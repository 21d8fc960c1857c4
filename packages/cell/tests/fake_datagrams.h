// A DatagramTransport that keeps what was sent.

#ifndef CELL_TESTS_FAKE_DATAGRAMS_H_
#define CELL_TESTS_FAKE_DATAGRAMS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cell/node_dependencies.h"

namespace azurespur::cell {

class FakeDatagrams : public DatagramTransport {
 public:
  bool Send(std::string_view address, std::string_view bytes) override {
    if (full) {
      return false;
    }
    ++count;
    total_bytes += bytes.size();
    sent[std::string(address)].emplace_back(bytes);
    return true;
  }

  void Receive(Handler) override {}

  bool full = false;
  size_t count = 0;
  size_t total_bytes = 0;
  std::map<std::string, std::vector<std::string>> sent;  // By address.
};

}  // namespace azurespur::cell

#endif  // CELL_TESTS_FAKE_DATAGRAMS_H_
