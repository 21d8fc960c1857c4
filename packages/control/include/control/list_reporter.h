// Tells the other daemons which lists are in force here, and gathers the same
// from them.

#ifndef CONTROL_LIST_REPORTER_H_
#define CONTROL_LIST_REPORTER_H_

#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "base/clock.h"
#include "base/wakeup.h"
#include "control/lists_confirmation.h"
#include "control/lists_report.h"

namespace azurespur::wire {
struct PeerMessage;
}

namespace azurespur::control {

class ListLedger;
class PeerBus;
class VmDirectory;

struct ListReporterOptions {
  std::string vm;
  std::string domain;
  base::Millis check_interval{100};    // A change is reported within this.
  base::Millis report_interval{1000};  // Repeats without a change.
  base::Millis silent_after{3000};     // A VM is then "not reached".
};

// Thread-safe. All arguments must outlive the reporter; the bus must be
// stopped before it is destroyed.
class ListReporter {
 public:
  // Subscribes to the bus: make the reporter before the bus starts.
  ListReporter(ListReporterOptions options,
               PeerBus& bus,
               const VmDirectory& directory,
               const ListLedger& ledger,
               const base::Clock& clock);
  ListReporter(const ListReporter&) = delete;
  ListReporter& operator=(const ListReporter&) = delete;
  ~ListReporter();

  // Starts the thread that reports. Without it, call ReportIfDue.
  void Start();
  void Stop();

  // Sends a report to all peers if the lists changed since the last one or
  // `report_interval` has passed.
  void ReportIfDue(base::MonoTime now);

  ListsConfirmation Confirm() const;

 private:
  struct Heard {
    ListsReport report;
    base::MonoTime at;
  };

  void OnReport(const wire::PeerMessage& message);
  ListsReport OwnReport() const;
  VmLists Describe(const std::string& vm,
                   const std::string& domain,
                   base::MonoTime now) const;

  const ListReporterOptions m_options;
  PeerBus& m_bus;
  const VmDirectory& m_directory;
  const ListLedger& m_ledger;
  const base::Clock& m_clock;

  // Of the reporting thread.
  std::string m_last_payload;
  base::MonoTime m_last_sent{};

  mutable std::mutex m_mutex;
  std::map<std::string, Heard> m_heard;

  base::Wakeup m_stop;
  std::thread m_thread;
};

}  // namespace azurespur::control

#endif  // CONTROL_LIST_REPORTER_H_
