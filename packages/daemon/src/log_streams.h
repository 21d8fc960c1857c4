// The log streams of a daemon, each with its channel and observer.

#ifndef DAEMON_SRC_LOG_STREAMS_H_
#define DAEMON_SRC_LOG_STREAMS_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "control/log_channel.h"
#include "control/state_transfer.h"

namespace azurespur::base {
class Clock;
class Metrics;
}  // namespace azurespur::base
namespace azurespur::control {
class LogObserver;
class PeerBus;
}  // namespace azurespur::control
namespace azurespur::services {
class LogService;
}

namespace azurespur::daemon {

class LogStreams {
 public:
  LogStreams(services::LogService& log,
             const base::Clock& clock,
             base::Metrics& metrics);

  // Adds a stream; call before Start().
  control::LogChannel& Add(const control::LogChannelOptions& options,
                           control::LogObserver& observer);

  // Lets peers ask for the state of all streams; call before the bus starts.
  void ServePeers(const std::string& domain, control::PeerBus& peers);

  // Starts the streams: from the log, or from a peer's state while the log is
  // away. Returns false as long as neither answers; call again then.
  bool TryStart();

  // Whether every stream was read to its end, or loaded from a peer.
  bool Ready() const;

  void Stop();

  nlohmann::json Dump() const;

 private:
  struct Stream {
    std::string name;
    std::unique_ptr<control::LogChannel> channel;
    control::LogObserver* observer = nullptr;
    bool started = false;
    bool loaded_from_peer = false;
  };

  bool TryStartOne(Stream& stream);

  services::LogService& m_log;
  const base::Clock& m_clock;
  base::Metrics& m_metrics;
  std::vector<Stream> m_streams;
  std::unique_ptr<control::StateTransfer> m_transfer;
};

}  // namespace azurespur::daemon

#endif  // DAEMON_SRC_LOG_STREAMS_H_
