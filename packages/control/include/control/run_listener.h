// Receives what the runs on owned workers mean for placement. Runs on the
// controllers' thread.

#ifndef CONTROL_RUN_LISTENER_H_
#define CONTROL_RUN_LISTENER_H_

#include <string>

#include "control/task_run.h"

namespace azurespur::control {

class RunListener {
 public:
  virtual ~RunListener() = default;

  // What the worker carries has changed, or it was owned or lost.
  virtual void OnWorkerChanged(const std::string& worker) = 0;
  // The run holds its workers from here to OnRunEnded().
  virtual void OnRunCreated(const TaskRun& run) = 0;
  virtual void OnRunEnded(const std::string& id) = 0;
  // The worker failed a start or the task itself.
  virtual void OnMemberFailed(const TaskRun& run, const MemberRun& member) = 0;
  virtual void OnMemberFinished(const TaskRun& run,
                                const MemberRun& member) = 0;
};

}  // namespace azurespur::control

#endif  // CONTROL_RUN_LISTENER_H_
