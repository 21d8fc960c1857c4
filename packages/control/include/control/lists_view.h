// Read access to the lists in force.

#ifndef CONTROL_LISTS_VIEW_H_
#define CONTROL_LISTS_VIEW_H_

#include <memory>

#include "control/lists_snapshot.h"

namespace azurespur::control {

class ListsView {
 public:
  virtual ~ListsView() = default;

  // Never null.
  virtual std::shared_ptr<const ListsSnapshot> Current() const = 0;
};

}  // namespace azurespur::control

#endif  // CONTROL_LISTS_VIEW_H_
