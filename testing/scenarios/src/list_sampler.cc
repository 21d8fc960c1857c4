#include "scenario/list_sampler.h"

#include <string>

namespace azurespur::scenario {

namespace {

constexpr base::Millis kPeriod{200};

}  // namespace

ListSampler::ListSampler(Cell& cell, Callers& callers, CallerJournal& journal)
    : m_cell(cell),
      m_callers(callers),
      m_journal(journal),
      m_thread([this] { Run(); }) {}

ListSampler::~ListSampler() {
  m_stopping.store(true);
  m_thread.join();
}

void ListSampler::Run() {
  while (!m_stopping.load()) {
    for (const std::string& entry : m_cell.EntryNames()) {
      Sample(entry);
    }
    std::this_thread::sleep_for(kPeriod);
  }
}

// A VM that is not ready has not read the lists yet and serves nobody.
void ListSampler::Sample(const std::string& entry) {
  if (!m_cell.EntryAddress(entry)) {
    return;
  }
  const nlohmann::json answer = m_callers.Call(entry, "GET", "/dump", "");
  if (answer["status"] != 200 || !answer["body"].is_object() ||
      answer["body"].value("ready", false) == false) {
    return;
  }
  const nlohmann::json& lists = answer["body"]["lists"];
  for (const std::string list : {"plans", "allowances"}) {
    const int64_t version = lists.value(list + "_version", int64_t{0});
    m_journal.Add({{"event", "list"},
                   {"vm", entry},
                   {"list", list},
                   {"version", version},
                   {"digest", lists.value(list + "_digest", "")}});
  }
}

}  // namespace azurespur::scenario
