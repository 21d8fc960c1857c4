#include "control/state_transfer.h"

#include <future>
#include <memory>
#include <utility>

#include "base/event_log.h"
#include "control/log_channel.h"
#include "control/log_observer.h"
#include "control/peer_bus.h"
#include "wire/codec.h"
#include "wire/stream_state.h"

namespace azurespur::control {

namespace {

base::Outcome<std::string> SaveStream(const StateSource& source) {
  const LogChannelStatus status = source.channel->Status();
  if (!status.caught_up) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "stream \"" + source.stream + "\" is not read yet"};
  }
  // The offset is taken first: entries applied in between are read again,
  // which observers treat as repeats.
  wire::StreamState state;
  state.next_offset = status.next_offset;
  state.state = source.observer->SaveState();
  return wire::Encode(state);
}

base::Outcome<std::string> AskPeer(PeerBus& peers,
                                   const std::string& vm,
                                   const std::string& stream,
                                   base::Millis timeout) {
  auto promise = std::make_shared<std::promise<base::Outcome<std::string>>>();
  std::future<base::Outcome<std::string>> future = promise->get_future();
  const bool sent =
      peers.Request(vm, wire::Topic::kState, stream, timeout,
                    [promise](base::Outcome<std::string> outcome) {
                      promise->set_value(std::move(outcome));
                    });
  if (!sent) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "VM \"" + vm + "\" can't be asked"};
  }
  return future.get();
}

}  // namespace

StateTransfer::StateTransfer(std::string domain,
                             std::vector<StateSource> sources,
                             PeerBus& peers)
    : m_domain(std::move(domain)),
      m_sources(std::move(sources)),
      m_peers(peers) {
  peers.SetAnswerer(
      wire::Topic::kState, [this](const wire::PeerMessage& message) {
        const StateSource* source = Find(message.payload);
        if (source == nullptr) {
          return base::Outcome<std::string>(
              base::Error{base::ErrorCode::kNotFound,
                          "stream \"" + message.payload + "\" is unknown"});
        }
        return SaveStream(*source);
      });
}

std::optional<uint64_t> StateTransfer::LoadFromPeers(const std::string& stream,
                                                     base::Millis timeout) {
  const StateSource* source = Find(stream);
  if (source == nullptr) {
    return std::nullopt;
  }
  for (const Peer& peer : m_peers.Peers()) {
    if (peer.domain != m_domain || peer.suspected) {
      continue;
    }
    const base::Outcome<std::string> answer =
        AskPeer(m_peers, peer.id, stream, timeout);
    if (!base::Ok(answer)) {
      continue;
    }
    const auto state = wire::Decode<wire::StreamState>(base::Value(answer));
    if (!base::Ok(state) ||
        !base::Ok(source->observer->LoadState(base::Value(state).state))) {
      continue;
    }
    base::LogEvent(
        base::Severity::kInfo, "AZ6002", "state loaded from a peer",
        {{"stream", stream},
         {"peer", peer.id},
         {"offset", std::to_string(base::Value(state).next_offset)}});
    return base::Value(state).next_offset;
  }
  return std::nullopt;
}

const StateSource* StateTransfer::Find(const std::string& stream) const {
  for (const StateSource& source : m_sources) {
    if (source.stream == stream) {
      return &source;
    }
  }
  return nullptr;
}

}  // namespace azurespur::control
