// What must hold after a run of a FakeCell, judged from the workers' journals.

#ifndef CONTROL_TESTS_FAKE_CHECKS_H_
#define CONTROL_TESTS_FAKE_CHECKS_H_

#include <string>
#include <vector>

#include "fake_cell.h"

namespace azurespur::control {

struct FakeVerdict {
  std::vector<std::string> violations;
  int finished = 0;
  int failed = 0;
  int may_have_run = 0;
};

// Every accepted task must have ended or be held as may-have-run.
FakeVerdict CheckCell(const FakeCell& cell);

}  // namespace azurespur::control

#endif  // CONTROL_TESTS_FAKE_CHECKS_H_
