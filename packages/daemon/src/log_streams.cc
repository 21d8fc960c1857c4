#include "log_streams.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "services/log_service.h"

namespace azurespur::daemon {

namespace {

constexpr base::Millis kPeerStateTimeout{5000};

}  // namespace

LogStreams::LogStreams(services::LogService& log,
                       const base::Clock& clock,
                       base::Metrics& metrics)
    : m_log(log), m_clock(clock), m_metrics(metrics) {}

control::LogChannel& LogStreams::Add(const control::LogChannelOptions& options,
                                     control::LogObserver& observer) {
  Stream stream;
  stream.name = options.stream;
  stream.observer = &observer;
  stream.channel =
      control::MakeLogChannel(options, m_log, observer, m_clock, m_metrics);
  m_streams.push_back(std::move(stream));
  return *m_streams.back().channel;
}

void LogStreams::ServePeers(const std::string& domain,
                            control::PeerBus& peers) {
  std::vector<control::StateSource> sources;
  for (const Stream& stream : m_streams) {
    sources.push_back({stream.name, stream.channel.get(), stream.observer});
  }
  m_transfer = std::make_unique<control::StateTransfer>(
      domain, std::move(sources), peers);
}

bool LogStreams::TryStart() {
  bool all = true;
  for (Stream& stream : m_streams) {
    all = (stream.started || TryStartOne(stream)) && all;
  }
  return all;
}

bool LogStreams::TryStartOne(Stream& stream) {
  std::optional<uint64_t> from;
  if (base::Ok(m_log.Read(stream.name, 0, 1, base::Millis{0}))) {
    from = 0;
  } else if (m_transfer != nullptr) {
    from = m_transfer->LoadFromPeers(stream.name, kPeerStateTimeout);
    stream.loaded_from_peer = from.has_value();
  }
  if (!from) {
    return false;
  }
  stream.channel->Start(*from);
  stream.started = true;
  return true;
}

bool LogStreams::Ready() const {
  return std::all_of(
      m_streams.begin(), m_streams.end(), [](const Stream& stream) {
        return stream.started &&
               (stream.loaded_from_peer || stream.channel->Status().caught_up);
      });
}

void LogStreams::Stop() {
  for (Stream& stream : m_streams) {
    stream.channel->Stop();
  }
}

nlohmann::json LogStreams::Dump() const {
  nlohmann::json dump = nlohmann::json::object();
  for (const Stream& stream : m_streams) {
    const control::LogChannelStatus status = stream.channel->Status();
    dump[stream.name] = {
        {"next_offset", status.next_offset}, {"caught_up", status.caught_up},
        {"reachable", status.reachable},     {"silent_ms", status.silent_ms},
        {"appends", status.appends},         {"entries", status.entries},
        {"retries", status.retries}};
  }
  return dump;
}

}  // namespace azurespur::daemon
