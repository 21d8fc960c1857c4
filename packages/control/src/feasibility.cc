#include "control/feasibility.h"

#include <algorithm>
#include <map>
#include <set>

#include "placement/resources.h"

namespace azurespur::control {

namespace {

placement::Resources SizeOf(const TaskSpec& spec) {
  return {spec.cpu_millis, spec.memory_mb, spec.accelerators};
}

}  // namespace

bool FitsDomain(const TaskSpec& spec,
                const services::VmListPage& list,
                std::string_view domain) {
  std::map<std::string_view, int64_t> by_rack;
  for (const services::Vm& vm : list.vms) {
    if (vm.kind != services::VmKind::kWorker || vm.domain != domain) {
      continue;
    }
    const placement::Resources capacity{vm.cpu_millis, vm.memory_mb,
                                        vm.accelerators};
    by_rack[vm.rack] +=
        placement::CountFitting(SizeOf(spec), capacity, spec.members);
  }
  int64_t members = 0;
  for (const auto& [rack, count] : by_rack) {
    members += spec.rack_limit > 0 ? std::min(count, spec.rack_limit) : count;
  }
  return members >= spec.members;
}

std::string WhyNeverFits(const TaskSpec& spec,
                         const services::VmListPage& list) {
  if (list.version == 0) {
    return {};
  }
  std::set<std::string_view> domains;
  for (const services::Vm& vm : list.vms) {
    if (vm.kind == services::VmKind::kWorker) {
      domains.insert(vm.domain);
    }
  }
  const bool fits = std::ranges::any_of(domains, [&](std::string_view domain) {
    return FitsDomain(spec, list, domain);
  });
  if (fits || domains.empty()) {
    return {};
  }
  return std::to_string(spec.members) + " members of " +
         placement::ToString(SizeOf(spec)) +
         " with rack_limit=" + std::to_string(spec.rack_limit) +
         " fit into no failure domain, even when it is empty";
}

}  // namespace azurespur::control
