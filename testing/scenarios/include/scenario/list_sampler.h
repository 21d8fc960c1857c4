// Writes down which list versions the entry VMs say are in force.

#ifndef SCENARIO_LIST_SAMPLER_H_
#define SCENARIO_LIST_SAMPLER_H_

#include <atomic>
#include <thread>

#include "scenario/caller_journal.h"
#include "scenario/callers.h"
#include "scenario/cell.h"

namespace azurespur::scenario {

class ListSampler {
 public:
  ListSampler(Cell& cell, Callers& callers, CallerJournal& journal);
  ListSampler(const ListSampler&) = delete;
  ListSampler& operator=(const ListSampler&) = delete;
  ~ListSampler();

 private:
  void Run();
  void Sample(const std::string& entry);

  Cell& m_cell;
  Callers& m_callers;
  CallerJournal& m_journal;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace azurespur::scenario

#endif  // SCENARIO_LIST_SAMPLER_H_
