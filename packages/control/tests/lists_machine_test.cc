#include "lists_machine.h"

#include <doctest/doctest.h>

namespace azurespur::control {

namespace {

ListEdit AllowanceEdit(std::string id, uint64_t base_version) {
  ListEdit edit;
  edit.edit_id = std::move(id);
  edit.list = ListName::kAllowances;
  edit.base_version = base_version;
  edit.author = "ana";
  edit.content = R"({"allowances":[{"id":"gold"}]})";
  return edit;
}

}  // namespace

TEST_CASE("a state with an older list is not adopted") {
  ListsMachine machine;
  machine.Apply(AllowanceEdit("a1", 0), 0);
  const ListsState older = machine.Save();
  machine.Apply(AllowanceEdit("a2", 1), 1);
  const base::Outcome<base::Unit> adopted = machine.Adopt(older);
  REQUIRE(!base::Ok(adopted));
  CHECK(base::GetError(adopted).code == base::ErrorCode::kConflict);
  CHECK(machine.current()->allowances_version == 2);
}

TEST_CASE("sixteen versions are kept, the oldest go first") {
  ListsMachine machine;
  for (uint64_t i = 0; i < 20; ++i) {
    machine.Apply(AllowanceEdit("a" + std::to_string(i), i), i);
  }
  const ListHistory& history = machine.history(ListName::kAllowances);
  CHECK(history.Latest().version == 20);
  CHECK(history.Find(5));
  CHECK(!history.Find(4));
}

}  // namespace azurespur::control
