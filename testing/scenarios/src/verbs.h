// The verbs that scenario files call.

#ifndef SCENARIO_VERBS_H_
#define SCENARIO_VERBS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/outcome.h"
#include "world.h"

namespace azurespur::scenario {

// Arguments and result of a verb are JSON values.
using Arguments = std::vector<nlohmann::json>;
using VerbResult = base::Outcome<nlohmann::json>;

struct Verb {
  std::string_view name;
  VerbResult (*run)(World& world, const Arguments& arguments);
};

const std::vector<Verb>& Verbs();

}  // namespace azurespur::scenario

#endif  // SCENARIO_VERBS_H_
