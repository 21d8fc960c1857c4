// Settings of a VM of the cell.

#ifndef CELL_NODE_OPTIONS_H_
#define CELL_NODE_OPTIONS_H_

#include <string>

#include "base/clock.h"
#include "jobs/scheduler_options.h"

namespace azurespur::cell {

struct NodeOptions {
  std::string vm;
  std::string peer_address;  // "IP:PORT", where datagrams of peers arrive.
  jobs::SchedulerOptions scheduler;

  // A leader without new records counts as gone after `leader_silence`, and
  // after `quiet_leader_silence` if its datagrams stopped too.
  base::Millis leader_silence{1500};
  base::Millis quiet_leader_silence{400};
  base::Millis alive_interval{100};       // Of the leader's datagrams.
  base::Millis mark_interval{150};        // A leader appends at least so often.
  base::Millis poll_interval{1000};       // Of both streams, by a follower.
  base::Millis alert_poll_interval{100};  // While the leader is silent.
  base::Millis leader_poll_interval{400};  // Of the intake, by the leader.
  base::Millis hello_interval{500};
  base::Millis peer_silence{1300};  // Then a follower is not asked to help.
  base::Millis directory_interval{250};            // By the leader.
  base::Millis follower_directory_interval{1000};  // So that it can take over.
  base::Millis append_timeout{500};
  base::Millis ready_contact{1500};  // Ready: the log answered so lately.
  base::Millis keep_final{180000};   // States of finished jobs.
  base::Millis plan_interval{15};    // Shortest time between two plans.
};

}  // namespace azurespur::cell

#endif  // CELL_NODE_OPTIONS_H_
