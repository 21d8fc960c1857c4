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

  // A leader without new records counts as gone after `leader_timeout`, and
  // after `unreachable_leader_timeout` if its datagrams stopped too.
  base::Millis leader_timeout{1500};
  base::Millis unreachable_leader_timeout{400};
  base::Millis leader_heartbeat_interval{100};  // Of the leader's datagrams.
  base::Millis max_append_interval{150};  // A leader appends at least so often.
  base::Millis poll_interval{1000};       // Of both streams, by a follower.
  base::Millis suspect_poll_interval{100};  // While the leader is silent.
  base::Millis leader_poll_interval{400};   // Of the intake, by the leader.
  base::Millis follower_heartbeat_interval{500};
  base::Millis peer_timeout{1300};  // Then a follower is not asked to help.
  base::Millis directory_poll_interval{250};  // By the leader.
  base::Millis follower_directory_poll_interval{
      1000};  // So that it can take over.
  base::Millis append_timeout{500};
  base::Millis log_contact_timeout{1500};  // Ready: the log answered so lately.
  base::Millis finished_job_retention{180000};  // States of finished jobs.
  base::Millis min_scheduling_interval{15};  // Shortest time between two plans.
};

}  // namespace azurespur::cell

#endif  // CELL_NODE_OPTIONS_H_
