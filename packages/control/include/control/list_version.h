// One accepted version of a list.

#ifndef CONTROL_LIST_VERSION_H_
#define CONTROL_LIST_VERSION_H_

#include <cstdint>
#include <string>

namespace azurespur::control {

struct ListVersion {
  uint64_t version = 0;  // 0: none accepted yet.
  std::string digest;
  std::string content;  // Canonical JSON.
  std::string author;
  std::string edit_id;
  int64_t wall_ms = 0;  // The publishing daemon's clock.
  uint64_t offset = 0;  // Of the record that made it.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, digest, content, author, edit_id, wall_ms, offset);
  }
};

}  // namespace azurespur::control

#endif  // CONTROL_LIST_VERSION_H_
