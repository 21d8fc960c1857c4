// One row of the list "plans".

#ifndef CONTROL_PLAN_H_
#define CONTROL_PLAN_H_

#include <string>

namespace azurespur::control {

struct Plan {
  std::string id;
  std::string customer;
  std::string allowance;  // Id of a row of the list "allowances".
};

}  // namespace azurespur::control

#endif  // CONTROL_PLAN_H_
