#include <doctest/doctest.h>

#include <future>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "control/log_channel.h"
#include "control/log_observer.h"
#include "fake_log_service.h"

namespace azurespur::control {

namespace {

constexpr base::Millis kGenerous{20000};

class RecordingObserver : public LogObserver {
 public:
  void OnEntry(const LogPosition& /*position*/,
               const wire::LogEntry& entry) override {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_payloads.push_back(entry.payload);
  }
  std::vector<RefreshEntry> Refresh(int64_t /*written_before_ms*/) override {
    return {};
  }
  std::string SaveState() const override { return {}; }
  base::Outcome<base::Unit> LoadState(std::string_view /*bytes*/) override {
    return base::Unit{};
  }
  std::vector<std::string> Payloads() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_payloads;
  }

 private:
  mutable std::mutex m_mutex;
  std::vector<std::string> m_payloads;
};

struct Fixture {
  FakeLogService log;
  RecordingObserver observer;
  base::Metrics metrics;
  std::unique_ptr<LogChannel> channel;

  Fixture() {
    LogChannelOptions options;
    options.stream = "test";
    options.writer = "vm/1";
    options.append_interval = base::Millis{1};
    options.read_wait = base::Millis{20};
    channel =
        MakeLogChannel(options, log, observer, base::SystemClock(), metrics);
  }

  std::future<base::Outcome<LogPosition>> Append(std::string payload,
                                                 base::Millis timeout) {
    auto promise = std::make_shared<std::promise<base::Outcome<LogPosition>>>();
    auto future = promise->get_future();
    const bool queued =
        channel->Append(wire::EntryKind::kListEdit, std::move(payload),
                        base::SystemClock().Now() + timeout,
                        [promise](base::Outcome<LogPosition> outcome) {
                          promise->set_value(std::move(outcome));
                        });
    REQUIRE(queued);
    return future;
  }
};

}  // namespace

TEST_CASE("entries queued together share one append and are seen in order") {
  Fixture f;
  constexpr int kEntries = 50;
  std::vector<std::future<base::Outcome<LogPosition>>> futures;
  futures.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i) {
    futures.push_back(f.Append("p" + std::to_string(i), kGenerous));
  }
  f.channel->Start(0);
  for (auto& future : futures) {
    CHECK(base::Ok(future.get()));
  }
  CHECK(f.log.Size() <= 2);
  const std::vector<std::string> payloads = f.observer.Payloads();
  REQUIRE(payloads.size() == 50);
  CHECK(payloads.front() == "p0");
  CHECK(payloads.back() == "p49");
}

TEST_CASE(
    "a lost append answer is settled by reading, not by appending again") {
  Fixture f;
  f.log.LoseAnswers(1);
  f.channel->Start(0);
  CHECK(base::Ok(f.Append("once", kGenerous).get()));
  CHECK(base::Ok(f.Append("next", kGenerous).get()));
  CHECK(f.log.Size() == 2);
}

TEST_CASE("an append refused for its rate is repeated until it is seen") {
  Fixture f;
  f.log.RefuseAppends(3);
  f.channel->Start(0);
  CHECK(base::Ok(f.Append("slow", kGenerous).get()));
}

TEST_CASE("an outage ends appends at their deadline and passes") {
  Fixture f;
  f.log.SetOutage(true);
  f.channel->Start(0);
  CHECK(!base::Ok(f.Append("late", base::Millis{50}).get()));
  f.log.SetOutage(false);
  CHECK(base::Ok(f.Append("after", kGenerous).get()));
}

TEST_CASE("stopping ends every pending append") {
  Fixture f;
  f.log.SetOutage(true);
  f.channel->Start(0);
  auto first = f.Append("a", kGenerous);
  auto second = f.Append("b", kGenerous);
  f.channel->Stop();
  CHECK(!base::Ok(first.get()));
  CHECK(!base::Ok(second.get()));
}

}  // namespace azurespur::control
