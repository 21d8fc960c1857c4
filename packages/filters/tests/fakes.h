// Fakes of the interfaces that the request path depends on.

#ifndef FILTERS_TESTS_FAKES_H_
#define FILTERS_TESTS_FAKES_H_

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "control/lists_view.h"
#include "control/log_channel.h"
#include "control/peer_bus.h"
#include "control/vm_directory.h"
#include "filters/once_ledger.h"
#include "http/http_server.h"
#include "services/executor_client.h"

namespace azurespur::filters {

inline constexpr std::chrono::seconds kTestTimeout{20};

class FakeLists : public control::ListsView {
 public:
  FakeLists() : m_lists(std::make_shared<control::ListsSnapshot>()) {
    m_lists->plans_version = 1;
    m_lists->allowances_version = 1;
    control::Allowance allowance;
    allowance.id = "standard";
    allowance.requests_per_s = 1e6;
    allowance.burst = 1000000;
    allowance.max_waiting = 1000;
    allowance.deadline_ms = 10000;
    m_lists->allowances.push_back(allowance);
    m_lists->plans.push_back({"gold", "acme", "standard"});
    m_lists->plans.push_back({"lost", "acme", "absent"});
  }
  std::shared_ptr<const control::ListsSnapshot> Current() const override {
    return m_lists;
  }
  void Clear() { *m_lists = {}; }
  control::Allowance& standard() { return m_lists->allowances[0]; }

 private:
  std::shared_ptr<control::ListsSnapshot> m_lists;
};

class FakeVms : public control::VmDirectory {
 public:
  std::shared_ptr<const services::VmListPage> Current() const override {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_page;
  }
  int64_t SilentMillis() const override { return 0; }
  void Add(const std::string& id, services::VmKind kind) {
    Change([&](services::VmListPage& page) {
      services::Vm vm;
      vm.id = id;
      vm.kind = kind;
      vm.address = id;
      vm.domain = "d1";
      vm.slots = 8;
      page.vms.push_back(vm);
    });
  }
  void SetLeaving(const std::string& id) {
    Change([&](services::VmListPage& page) {
      for (services::Vm& vm : page.vms) {
        vm.leaving = vm.leaving || vm.id == id;
      }
    });
  }

 private:
  void Change(const std::function<void(services::VmListPage&)>& edit) {
    std::lock_guard<std::mutex> lock(m_mutex);
    auto page = std::make_shared<services::VmListPage>(*m_page);
    ++page->version;
    edit(*page);
    m_page = page;
  }

  mutable std::mutex m_mutex;
  std::shared_ptr<const services::VmListPage> m_page =
      std::make_shared<services::VmListPage>();
};

class FakeNetwork;

class FakeBus : public control::PeerBus {
 public:
  FakeBus(FakeNetwork& network, std::string id, uint64_t incarnation)
      : m_network(network), m_id(std::move(id)), m_incarnation(incarnation) {}

  void Subscribe(wire::Topic topic, Handler handler) override {
    m_handlers[static_cast<uint16_t>(topic)] = std::move(handler);
  }
  void SetAnswerer(wire::Topic topic, Answerer answerer) override {
    m_answerers[static_cast<uint16_t>(topic)] = std::move(answerer);
  }
  bool Send(std::string_view vm,
            wire::Topic topic,
            std::string payload) override;
  bool Request(std::string_view vm,
               wire::Topic topic,
               std::string payload,
               base::Millis timeout,
               Done done) override;
  std::vector<control::Peer> Peers() const override;
  size_t RankInDomain() const override { return 0; }

  wire::PeerMessage Message(wire::Topic topic, std::string payload) const {
    wire::PeerMessage message;
    message.from = m_id;
    message.incarnation = m_incarnation;
    message.topic = static_cast<uint16_t>(topic);
    message.payload = std::move(payload);
    return message;
  }

 private:
  friend class FakeNetwork;
  FakeNetwork& m_network;
  const std::string m_id;
  const uint64_t m_incarnation;
  std::map<uint16_t, Handler> m_handlers;
  std::map<uint16_t, Answerer> m_answerers;
};

// Connects the buses of several services in one process. Delivers messages
// synchronously.
class FakeNetwork {
 public:
  FakeBus& Join(const std::string& id, uint64_t incarnation) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_alive[id] = true;
    return *(m_buses[id] = std::make_unique<FakeBus>(*this, id, incarnation));
  }
  void Kill(const std::string& id) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_alive[id] = false;
  }

 private:
  friend class FakeBus;
  std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<FakeBus>> m_buses;
  std::map<std::string, bool> m_alive;
};

inline bool FakeBus::Send(std::string_view vm,
                          wire::Topic topic,
                          std::string payload) {
  std::lock_guard<std::mutex> lock(m_network.m_mutex);
  const std::string to(vm);
  const auto it = m_network.m_buses.find(to);
  if (it == m_network.m_buses.end() || !m_network.m_alive[to]) {
    return false;
  }
  const auto handler =
      it->second->m_handlers.find(static_cast<uint16_t>(topic));
  if (handler != it->second->m_handlers.end()) {
    handler->second(Message(topic, std::move(payload)));
  }
  return true;
}

inline bool FakeBus::Request(std::string_view vm,
                             wire::Topic topic,
                             std::string payload,
                             base::Millis /*timeout*/,
                             Done done) {
  base::Outcome<std::string> answer =
      base::Error{base::ErrorCode::kUnavailable, "peer is dead"};
  {
    std::lock_guard<std::mutex> lock(m_network.m_mutex);
    const std::string to(vm);
    const auto it = m_network.m_buses.find(to);
    if (it != m_network.m_buses.end() && m_network.m_alive[to]) {
      answer = it->second->m_answerers.at(static_cast<uint16_t>(topic))(
          Message(topic, std::move(payload)));
    }
  }
  done(std::move(answer));
  return true;
}

inline std::vector<control::Peer> FakeBus::Peers() const {
  std::lock_guard<std::mutex> lock(m_network.m_mutex);
  std::vector<control::Peer> peers;
  for (const auto& [id, bus] : m_network.m_buses) {
    if (id != m_id) {
      control::Peer peer;
      peer.id = id;
      peer.domain = "d1";
      peer.incarnation = bus->m_incarnation;
      peer.suspected = !m_network.m_alive.at(id);
      peers.push_back(peer);
    }
  }
  return peers;
}

// One log stream. Each append is delivered to all observers synchronously.
class FakeLog : public control::LogChannel {
 public:
  enum class Mode { kAvailable, kUnreachable, kNoAnswer, kNoAnswerThenSeen };

  void AddObserver(OnceLedger& ledger) { m_observers.push_back(&ledger); }
  void SetMode(Mode mode) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_mode = mode;
  }
  // Delivers the entries whose append was not acknowledged.
  void DeliverDelayed() {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const wire::LogEntry& entry : std::exchange(m_delayed, {})) {
      Deliver(entry);
    }
  }

  bool Append(wire::EntryKind kind,
              std::string payload,
              base::MonoTime /*deadline*/,
              Done done) override {
    base::Outcome<control::LogPosition> outcome =
        base::Error{base::ErrorCode::kUnavailable, "log is unreachable"};
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      wire::LogEntry entry;
      entry.kind = static_cast<uint16_t>(kind);
      entry.payload = std::move(payload);
      if (m_mode == Mode::kAvailable) {
        outcome = Deliver(entry);
      } else if (m_mode != Mode::kUnreachable) {
        m_delayed.push_back(entry);
        outcome = base::Error{base::ErrorCode::kUnknown, "no answer"};
      }
    }
    done(std::move(outcome));
    return true;
  }
  control::LogChannelStatus Status() const override {
    std::lock_guard<std::mutex> lock(m_mutex);
    control::LogChannelStatus status;
    status.caught_up = true;
    status.reachable = m_mode != Mode::kUnreachable;
    return status;
  }
  void Start(uint64_t /*from*/) override {}
  void Stop() override {}

 private:
  control::LogPosition Deliver(const wire::LogEntry& entry) {
    const control::LogPosition position{m_offset++, 0, 1000};
    for (OnceLedger* reader : m_observers) {
      reader->OnEntry(position, entry);
    }
    return position;
  }

  mutable std::mutex m_mutex;
  Mode m_mode = Mode::kAvailable;
  uint64_t m_offset = 0;
  std::vector<OnceLedger*> m_observers;
  std::vector<wire::LogEntry> m_delayed;
};

// Passes each call to a function supplied by the test.
class FakeExecutors : public services::ExecutorClient {
 public:
  struct Call {
    std::string address;
    services::ExecutorCall call;
    Done done;

    void Ran(std::string body) {
      services::ExecutorAnswer answer;
      answer.verdict = services::ExecutorVerdict::kRan;
      answer.status = 200;
      answer.body = std::move(body);
      done(std::move(answer));
    }
    void End(services::ExecutorVerdict verdict, int status = 0) {
      services::ExecutorAnswer answer;
      answer.verdict = verdict;
      answer.status = status;
      answer.reason = "set by the test";
      done(std::move(answer));
    }
  };
  using Handler = std::function<void(Call)>;

  explicit FakeExecutors(Handler handler) : m_handler(std::move(handler)) {}

  bool Run(std::string_view address,
           services::ExecutorCall call,
           Done done) override {
    m_calls.fetch_add(1);
    m_handler({std::string(address), std::move(call), std::move(done)});
    return true;
  }
  int calls() const { return m_calls.load(); }

 private:
  const Handler m_handler;
  std::atomic<int> m_calls{0};
};

class FakeReply : public http::HttpReply {
 public:
  void Send(http::HttpResponse response) override {
    m_promise.set_value(std::move(response));
  }
  bool CallerGone() const override { return m_gone.load(); }
  void SetGone() { m_gone.store(true); }

  std::future<http::HttpResponse> Future() { return m_promise.get_future(); }

 private:
  std::promise<http::HttpResponse> m_promise;
  std::atomic<bool> m_gone{false};
};

}  // namespace azurespur::filters

#endif  // FILTERS_TESTS_FAKES_H_
