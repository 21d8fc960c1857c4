#include "control/peer_service.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <glog/logging.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "base/event_log.h"
#include "base/metrics.h"
#include "base/ring.h"
#include "control/vm_directory.h"
#include "datagram_port.h"
#include "frame_acceptor.h"
#include "frame_connection.h"
#include "peer_calls.h"
#include "peer_table.h"
#include "wire/heartbeat.h"
#include "wire/peer_answer.h"

namespace azurespur::control {

namespace {

using base::MonoTime;

// Sizes the reactor's table; by default it has a row for each file that the
// process may open.
constexpr size_t kMaxHandles = 4096;
constexpr int kFreePortTries = 64;
constexpr base::Millis kReactorWait{50};
constexpr size_t kMaxDatagramPayloadBytes = 32 << 10;

// A message handed from any thread to the peers' thread.
struct Outgoing {
  std::string vm;
  std::string bytes;
  bool over_tcp = false;
  MonoTime deadline{};
  PeerBus::Done done;
};

class Service : public PeerService {
 public:
  Service(const PeerBusOptions& options,
          const VmDirectory& directory,
          const base::Clock& clock,
          base::Metrics& metrics)
      : m_options(options),
        m_directory(directory),
        m_clock(clock),
        m_sent(metrics.GetCounter("azurespur_peer_messages_sent_total")),
        m_received(
            metrics.GetCounter("azurespur_peer_messages_received_total")),
        m_sent_bytes(metrics.GetCounter("azurespur_peer_bytes_sent_total")),
        m_ring(options.queue_size),
        m_reactor(new ACE_Dev_Poll_Reactor(kMaxHandles), true),
        m_datagrams([this](std::string_view bytes) { OnDatagram(bytes); }),
        m_calls(m_reactor,
                clock,
                [this](const std::string& frame) { return Answer(frame); }),
        m_acceptor([this] { return m_calls.MakeServed(); },
                   [this](std::unique_ptr<FrameConnection> connection) {
                     m_calls.Adopt(std::move(connection));
                   }),
        m_table(options) {}
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;
  ~Service() override { Stop(); }

  base::Outcome<base::Unit> Start() override;
  void Stop() override;
  void SetDraining() override { m_draining.store(true); }
  uint16_t port() const override { return m_datagrams.port(); }

  void Subscribe(wire::Topic topic, Handler handler) override;
  void SetAnswerer(wire::Topic topic, Answerer answerer) override;
  bool Send(std::string_view vm,
            wire::Topic topic,
            std::string payload) override;
  bool Request(std::string_view vm,
               wire::Topic topic,
               std::string payload,
               base::Millis timeout,
               Done done) override;
  std::vector<Peer> Peers() const override;
  size_t RankInDomain() const override;

 private:
  // Binds UDP and TCP to one port; nothing stays bound if that fails.
  bool Bind(const ACE_INET_Addr& address);
  void Run();
  void DrainRing();
  // Ends the requests that were never sent.
  void EndQueued();
  void SendDatagram(const Outgoing& outgoing, const ACE_INET_Addr& to);
  void Beat(MonoTime now);
  void OnDatagram(std::string_view bytes);
  std::string Answer(const std::string& frame);
  std::string MakeMessage(wire::Topic topic, std::string payload) const;
  bool Queue(Outgoing outgoing);
  bool FindAddress(std::string_view vm, std::string& address) const;

  const PeerBusOptions m_options;
  const VmDirectory& m_directory;
  const base::Clock& m_clock;
  base::Counter& m_sent;
  base::Counter& m_received;
  base::Counter& m_sent_bytes;
  base::Ring<Outgoing> m_ring;
  std::atomic<bool> m_notified{false};
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_stopping{false};

  // Fixed before Start().
  std::map<uint16_t, Handler> m_handlers;
  std::map<uint16_t, Answerer> m_answerers;

  // Reactor's thread only.
  ACE_Reactor m_reactor;
  DatagramPort m_datagrams;
  PeerCalls m_calls;
  FrameAcceptor m_acceptor;
  MonoTime m_next_near_beat{};
  MonoTime m_next_far_beat{};

  mutable std::mutex m_mutex;
  PeerTable m_table;
  std::thread m_thread;
};

base::Outcome<base::Unit> Service::Start() {
  ACE_INET_Addr address;
  if (address.set(m_options.port, m_options.address.c_str()) == -1) {
    return base::Error{base::ErrorCode::kInvalid,
                       "\"" + m_options.address + "\" is no IPv4 address"};
  }
  // A port that is free for UDP may be taken for TCP.
  const int tries = m_options.port == 0 ? kFreePortTries : 1;
  bool bound = false;
  for (int i = 0; i < tries && !bound; ++i) {
    bound = Bind(address);
  }
  if (!bound) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "peer address " + m_options.address + ":" +
                           std::to_string(m_options.port) +
                           " can't be bound; is it in use?"};
  }
  m_thread = std::thread([this] { Run(); });
  return base::Unit{};
}

bool Service::Bind(const ACE_INET_Addr& address) {
  if (!m_datagrams.Open(m_reactor, address)) {
    return false;
  }
  ACE_INET_Addr tcp_address(address);
  tcp_address.set_port_number(m_datagrams.port());
  if (m_acceptor.Open(m_reactor, tcp_address)) {
    return true;
  }
  m_datagrams.Close();
  return false;
}

void Service::Stop() {
  if (m_stopping.exchange(true)) {
    return;
  }
  if (m_thread.joinable()) {
    m_reactor.notify();
    m_thread.join();
  }
  m_calls.CloseAll();
  EndQueued();
  m_datagrams.Close();
  m_acceptor.Close();
}

void Service::Subscribe(wire::Topic topic, Handler handler) {
  CHECK(!m_thread.joinable()) << "subscribed after the start";
  m_handlers[static_cast<uint16_t>(topic)] = std::move(handler);
}

void Service::SetAnswerer(wire::Topic topic, Answerer answerer) {
  CHECK(!m_thread.joinable()) << "answerer set after the start";
  m_answerers[static_cast<uint16_t>(topic)] = std::move(answerer);
}

bool Service::Send(std::string_view vm,
                   wire::Topic topic,
                   std::string payload) {
  if (payload.size() > kMaxDatagramPayloadBytes) {
    return false;
  }
  Outgoing outgoing;
  outgoing.vm = std::string(vm);
  outgoing.bytes = MakeMessage(topic, std::move(payload));
  return Queue(std::move(outgoing));
}

bool Service::Request(std::string_view vm,
                      wire::Topic topic,
                      std::string payload,
                      base::Millis timeout,
                      Done done) {
  Outgoing outgoing;
  outgoing.vm = std::string(vm);
  outgoing.bytes = MakeMessage(topic, std::move(payload));
  outgoing.over_tcp = true;
  outgoing.deadline = m_clock.Now() + timeout;
  outgoing.done = std::move(done);
  return Queue(std::move(outgoing));
}

std::vector<Peer> Service::Peers() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_table.Snapshot(m_clock.Now());
}

size_t Service::RankInDomain() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_table.Rank(m_clock.Now());
}

bool Service::Queue(Outgoing outgoing) {
  std::string address;
  if (m_stopping.load() || !FindAddress(outgoing.vm, address)) {
    return false;
  }
  if (!m_ring.Push(std::move(outgoing))) {
    return false;
  }
  if (!m_notified.exchange(true)) {
    m_reactor.notify();
  }
  return true;
}

bool Service::FindAddress(std::string_view vm, std::string& address) const {
  const auto list = m_directory.Current();
  for (const services::Vm& listed : list->vms) {
    if (listed.kind == services::VmKind::kEntry && listed.id == vm) {
      address = listed.peer_address;
      return !address.empty();
    }
  }
  return false;
}

std::string Service::MakeMessage(wire::Topic topic, std::string payload) const {
  wire::PeerMessage message;
  message.from = m_options.vm_id;
  message.incarnation = m_options.incarnation;
  message.topic = static_cast<uint16_t>(topic);
  message.payload = std::move(payload);
  return wire::Encode(message);
}

void Service::Run() {
  m_reactor.owner(ACE_OS::thr_self());
  while (!m_stopping.load()) {
    ACE_Time_Value wait;
    wait.msec(static_cast<long>(kReactorWait.count()));
    m_reactor.handle_events(wait);
    m_notified.store(false);
    DrainRing();
    const MonoTime now = m_clock.Now();
    Beat(now);
    m_calls.CloseExpired(now);
  }
  m_reactor.owner(ACE_OS::thr_self());
}

void Service::DrainRing() {
  while (std::optional<Outgoing> outgoing = m_ring.Pop()) {
    std::string address;
    ACE_INET_Addr to;
    const bool known = FindAddress(outgoing->vm, address) &&
                       to.set(address.c_str(), AF_INET) == 0;
    if (!known) {
      if (outgoing->done) {
        outgoing->done(
            base::Error{base::ErrorCode::kUnavailable,
                        "VM \"" + outgoing->vm + "\" is not listed"});
      }
      continue;
    }
    if (outgoing->over_tcp) {
      m_sent.Add(1);
      m_sent_bytes.Add(static_cast<int64_t>(outgoing->bytes.size()));
      m_calls.Begin({std::move(outgoing->vm), std::move(outgoing->bytes),
                     outgoing->deadline, std::move(outgoing->done)},
                    to);
    } else {
      SendDatagram(*outgoing, to);
    }
  }
}

void Service::SendDatagram(const Outgoing& outgoing, const ACE_INET_Addr& to) {
  m_sent.Add(1);
  m_sent_bytes.Add(static_cast<int64_t>(outgoing.bytes.size()));
  m_datagrams.Send(outgoing.bytes, to);
}

void Service::EndQueued() {
  while (std::optional<Outgoing> outgoing = m_ring.Pop()) {
    if (outgoing->done) {
      outgoing->done(
          base::Error{base::ErrorCode::kUnavailable, "peers stopped"});
    }
  }
}

void Service::Beat(MonoTime now) {
  const bool near_due = now >= m_next_near_beat;
  const bool far_due = now >= m_next_far_beat;
  if (!near_due && !far_due) {
    return;
  }
  std::vector<Peer> peers;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_table.Update(*m_directory.Current());
    peers = m_table.Snapshot(now);
  }
  wire::Heartbeat beat;
  beat.draining = m_draining.load();
  Outgoing outgoing;
  outgoing.bytes = MakeMessage(wire::Topic::kHeartbeat, wire::Encode(beat));
  for (const Peer& peer : peers) {
    const bool near = peer.domain == m_options.domain;
    ACE_INET_Addr to;
    if ((near ? near_due : far_due) &&
        to.set(peer.peer_address.c_str(), AF_INET) == 0) {
      SendDatagram(outgoing, to);
    }
  }
  if (near_due) {
    m_next_near_beat = now + m_options.heartbeat_interval;
  }
  if (far_due) {
    m_next_far_beat = now + m_options.far_heartbeat_interval;
  }
}

void Service::OnDatagram(std::string_view bytes) {
  const auto decoded = wire::Decode<wire::PeerMessage>(bytes);
  if (!base::Ok(decoded)) {
    base::LogEvent(base::Severity::kWarning, "AZ6001", "datagram is malformed",
                   {{"bytes", std::to_string(bytes.size())}});
    return;
  }
  const wire::PeerMessage& message = base::Value(decoded);
  m_received.Add(1);
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_table.Heard(message.from, message.incarnation, m_clock.Now())) {
      return;
    }
    if (message.topic == static_cast<uint16_t>(wire::Topic::kHeartbeat)) {
      const auto beat = wire::Decode<wire::Heartbeat>(message.payload);
      if (base::Ok(beat)) {
        m_table.SetDraining(message.from, base::Value(beat).draining);
      }
    }
  }
  const auto handler = m_handlers.find(message.topic);
  if (handler != m_handlers.end()) {
    handler->second(message);
  }
}

std::string Service::Answer(const std::string& frame) {
  wire::PeerAnswer answer;
  const auto decoded = wire::Decode<wire::PeerMessage>(frame);
  if (!base::Ok(decoded)) {
    answer.payload = base::GetError(decoded).message;
    return wire::Encode(answer);
  }
  const wire::PeerMessage& message = base::Value(decoded);
  m_received.Add(1);
  const auto answerer = m_answerers.find(message.topic);
  if (answerer == m_answerers.end()) {
    answer.error_code = static_cast<uint8_t>(base::ErrorCode::kNotFound);
    answer.payload = "no answer for topic " + std::to_string(message.topic);
    return wire::Encode(answer);
  }
  base::Outcome<std::string> outcome = answerer->second(message);
  answer.ok = base::Ok(outcome);
  if (answer.ok) {
    answer.payload = base::Value(std::move(outcome));
  } else {
    answer.error_code = static_cast<uint8_t>(base::GetError(outcome).code);
    answer.payload = base::GetError(outcome).message;
  }
  return wire::Encode(answer);
}

}  // namespace

std::unique_ptr<PeerService> MakePeerService(const PeerBusOptions& options,
                                             const VmDirectory& directory,
                                             const base::Clock& clock,
                                             base::Metrics& metrics) {
  return std::make_unique<Service>(options, directory, clock, metrics);
}

}  // namespace azurespur::control
