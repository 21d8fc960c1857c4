// Processor time that a simulated leader spends.

#ifndef CELL_TESTS_SIMULATION_COSTS_H_
#define CELL_TESTS_SIMULATION_COSTS_H_

#include "base/clock.h"

namespace azurespur::cell {

// Processor time of each kind of work.
struct SimulationCosts {
  base::Micros plan{500};
  base::Micros per_job_in_plan{4};
  base::Micros per_bind{100};
  base::Micros per_stored_record{60};
  base::Micros per_order{100};     // On the node's thread.
  base::Micros per_answer{100};    // On the node's thread.
  base::Micros http_send{350};     // On the HTTP client's thread.
  base::Micros http_receive{150};  // On the HTTP client's thread.

  // Of a task that starts once, ends, and whose end answers one hold order: the
  // orders, their answers, and the records of the binding and the end.
  base::Micros PerTask() const {
    return per_bind + 2 * per_stored_record +
           2 * (per_order + per_answer + http_send + http_receive);
  }
};

// A tenth of the usual costs, so that processor time does not bind.
inline SimulationCosts FastProcessor() {
  SimulationCosts costs;
  costs.plan /= 10;
  costs.per_job_in_plan = base::Micros{0};
  costs.per_bind /= 10;
  costs.per_stored_record /= 10;
  costs.per_order /= 10;
  costs.per_answer /= 10;
  costs.http_send /= 10;
  costs.http_receive /= 10;
  return costs;
}

}  // namespace azurespur::cell

#endif  // CELL_TESTS_SIMULATION_COSTS_H_
