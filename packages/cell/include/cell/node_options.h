// Settings of a cell node.

#ifndef CELL_NODE_OPTIONS_H_
#define CELL_NODE_OPTIONS_H_

#include <string>

#include "base/clock.h"
#include "cell/vm_resources.h"
#include "jobs/scheduler_options.h"

namespace azurespur::cell {

struct NodeOptions {
  std::string vm;
  std::string peer_address;  // "IP:PORT" that receives the peers' datagrams.
  VmResources resources;
  jobs::SchedulerOptions scheduler;

  // A leader that stores no records is considered failed after
  // `leader_timeout`, or after `unreachable_leader_timeout` if its datagrams
  // have stopped too.
  base::Millis leader_timeout{1500};
  base::Millis unreachable_leader_timeout{400};
  base::Millis leader_heartbeat_interval{100};
  // How often a heartbeat names the peers and says how suited they are.
  base::Millis full_leader_heartbeat_interval{1000};
  // How often the leader sends heartbeats while it announces records.
  base::Millis busy_leader_heartbeat_interval{500};
  // The leader appends at least this often, if need be only a heartbeat record.
  base::Millis max_append_interval{150};
  // How often a follower reads both streams.
  base::Millis poll_interval{1000};
  // How often it reads the work stream while no new records arrive there.
  base::Millis suspect_poll_interval{100};
  // How often the leader reads the intake stream.
  base::Millis leader_poll_interval{400};
  base::Millis follower_heartbeat_interval{500};
  // The leader forgets a follower that it has not heard for this long.
  base::Millis peer_timeout{1300};
  // How often the leader reads the worker directory.
  base::Millis directory_poll_interval{250};
  // How often a follower does, so that it can take over without a read.
  base::Millis follower_directory_poll_interval{1000};
  // Minimum; the timeout grows while the log is slow.
  base::Millis append_timeout{500};
  // A VM is ready only if the log answered within this time.
  base::Millis log_contact_timeout{1500};
  // How long the states of finished jobs are kept.
  base::Millis finished_job_retention{180000};
  // A count of pending jobs may be this old.
  base::Millis max_pending_count_age{2000};
  // A state that may still change may be this old, unless the log can't be
  // read.
  base::Millis max_job_state_age{3000};
  // How long a question may wait for this VM to catch up with the streams.
  base::Millis max_catch_up_wait{1000};
  // Minimum time between two scheduling passes.
  base::Millis min_scheduling_interval{15};
};

}  // namespace azurespur::cell

#endif  // CELL_NODE_OPTIONS_H_
