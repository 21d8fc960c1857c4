#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <mutex>

#include "base/metrics.h"
#include "base/wakeup.h"
#include "control/peer_service.h"
#include "control/vm_directory.h"

namespace azurespur::control {

namespace {

constexpr base::Millis kGenerous{20000};

class FakeDirectory : public VmDirectory {
 public:
  std::shared_ptr<const services::VmListPage> Current() const override {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_page;
  }
  int64_t SilentMillis() const override { return 0; }
  void Add(const std::string& id, uint16_t port) {
    std::lock_guard<std::mutex> lock(m_mutex);
    auto page = std::make_shared<services::VmListPage>(*m_page);
    services::Vm vm;
    vm.id = id;
    vm.domain = "d1";
    vm.peer_address = "127.0.0.1:" + std::to_string(port);
    page->vms.push_back(vm);
    m_page = page;
  }

 private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const services::VmListPage> m_page =
      std::make_shared<services::VmListPage>();
};

std::unique_ptr<PeerService> MakePeer(const std::string& id,
                                      const VmDirectory& directory,
                                      base::Metrics& metrics) {
  PeerBusOptions options;
  options.vm_id = id;
  options.domain = "d1";
  options.heartbeat_interval = base::Millis{20};
  options.suspect_after = base::Millis{400};
  return MakePeerService(options, directory, base::SystemClock(), metrics);
}

// Waits until the only peer of `service` is (not) suspected.
bool WaitSuspected(const PeerService& service, bool suspected) {
  const base::MonoTime end = base::SystemClock().Now() + kGenerous;
  base::Wakeup pause;
  while (base::SystemClock().Now() < end) {
    const std::vector<Peer> peers = service.Peers();
    if (!peers.empty() && peers.front().suspected == suspected) {
      return true;
    }
    pause.Wait(base::Millis{10});
  }
  return false;
}

}  // namespace

TEST_CASE("peers hear each other, answer requests and suspect the silent") {
  FakeDirectory directory;
  base::Metrics metrics;
  auto a = MakePeer("a", directory, metrics);
  auto b = MakePeer("b", directory, metrics);
  b->SetAnswerer(wire::Topic::kState, [](const wire::PeerMessage& message) {
    return base::Outcome<std::string>(message.from + message.payload +
                                      std::string(1 << 20, 'x'));
  });
  b->SetAnswerer(wire::Topic::kTaskFate, [](const wire::PeerMessage&) {
    return base::Outcome<std::string>(
        base::Error{base::ErrorCode::kConflict, "busy"});
  });
  auto datagram = std::make_shared<std::promise<std::string>>();
  b->Subscribe(wire::Topic::kSlotShare,
               [datagram](const wire::PeerMessage& message) {
                 datagram->set_value(message.payload);
               });
  REQUIRE(base::Ok(a->Start()));
  REQUIRE(base::Ok(b->Start()));
  directory.Add("a", a->port());
  directory.Add("b", b->port());

  CHECK(WaitSuspected(*a, false));
  CHECK(WaitSuspected(*b, false));
  CHECK(a->RankInDomain() == 0);
  CHECK(b->RankInDomain() == 1);

  REQUIRE(a->Send("b", wire::Topic::kSlotShare, "hello"));
  CHECK(datagram->get_future().get() == "hello");

  const auto request = [&](wire::Topic topic) {
    auto promise = std::make_shared<std::promise<base::Outcome<std::string>>>();
    REQUIRE(a->Request("b", topic, "?", kGenerous,
                       [promise](base::Outcome<std::string> outcome) {
                         promise->set_value(std::move(outcome));
                       }));
    return promise->get_future().get();
  };
  const auto whole = request(wire::Topic::kState);
  REQUIRE(base::Ok(whole));
  CHECK(base::Value(whole).size() == 2 + (1 << 20));
  const auto refused = request(wire::Topic::kTaskFate);
  REQUIRE(!base::Ok(refused));
  CHECK(base::GetError(refused).code == base::ErrorCode::kConflict);
  CHECK(!base::Ok(request(wire::Topic::kOnceQuery)));

  b->Stop();
  CHECK(WaitSuspected(*a, true));
  CHECK(!base::Ok(request(wire::Topic::kState)));
}

TEST_CASE("port 0 finds a port that is free for UDP and TCP") {
  constexpr int kServices = 200;
  FakeDirectory directory;
  base::Metrics metrics;
  // Ports that only TCP holds, so that some UDP picks meet a taken one.
  std::vector<std::unique_ptr<ACE_SOCK_Acceptor>> taken;
  taken.reserve(kServices);
  for (int i = 0; i < kServices; ++i) {
    taken.push_back(std::make_unique<ACE_SOCK_Acceptor>(
        ACE_INET_Addr(static_cast<unsigned short>(0), "127.0.0.1")));
  }
  for (int i = 0; i < kServices; ++i) {
    auto peer = MakePeer("a", directory, metrics);
    CHECK(base::Ok(peer->Start()));
  }
  for (auto& acceptor : taken) {
    acceptor->close();
  }
}

TEST_CASE("a port in use is reported") {
  FakeDirectory directory;
  base::Metrics metrics;
  auto a = MakePeer("a", directory, metrics);
  REQUIRE(base::Ok(a->Start()));
  PeerBusOptions options;
  options.vm_id = "b";
  options.port = a->port();
  auto b = MakePeerService(options, directory, base::SystemClock(), metrics);
  CHECK(!base::Ok(b->Start()));
}

}  // namespace azurespur::control
