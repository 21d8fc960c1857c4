// Fakes for the tests of the lists: a stream in memory that can lose answers,
// be away and be trimmed, a clock set by hand, and a bus without a network.

#ifndef CONTROL_TESTS_LIST_FAKES_H_
#define CONTROL_TESTS_LIST_FAKES_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "control/list_edit.h"
#include "control/log_channel.h"
#include "control/log_observer.h"
#include "control/peer_bus.h"
#include "control/vm_directory.h"
#include "wire/codec.h"

namespace azurespur::control {

class FakeClock : public base::Clock {
 public:
  base::MonoTime Now() const override { return base::MonoTime(m_now); }
  int64_t WallMillis() const override { return m_now.count() / 1000; }
  void Advance(base::Millis by) { m_now += by; }

 private:
  base::Micros m_now{1000000};
};

// The stream "lists" as all VMs see it. One entry a record.
struct FakeStream {
  std::vector<wire::LogEntry> entries;
  std::vector<int64_t> times_ms;
  uint64_t first = 0;  // Lowest offset kept.
  int64_t now_ms = 1000;

  void Append(wire::EntryKind kind, std::string payload) {
    wire::LogEntry entry;
    entry.id = "e" + std::to_string(entries.size());
    entry.kind = static_cast<uint16_t>(kind);
    entry.payload = std::move(payload);
    entries.push_back(std::move(entry));
    times_ms.push_back(now_ms);
  }
  void Append(const ListEdit& edit) {
    Append(wire::EntryKind::kListEdit, wire::Encode(edit));
  }
  void TrimBefore(int64_t time_ms) {
    while (first < entries.size() && times_ms[first] < time_ms) {
      ++first;
    }
  }
};

// Reads the stream as a log channel's reader would.
class FakeReader {
 public:
  FakeReader(FakeStream& stream, LogObserver& observer)
      : m_stream(stream), m_observer(observer) {}

  // Applies at most `count` records.
  void Read(size_t count = SIZE_MAX) {
    if (m_stream.first > m_next) {
      m_observer.OnGap(m_next, m_stream.first);
      m_next = m_stream.first;
    }
    for (; count > 0 && m_next < m_stream.entries.size(); --count, ++m_next) {
      m_observer.OnEntry({m_next, 0, m_stream.times_ms[m_next]},
                         m_stream.entries[m_next]);
    }
  }
  void Refresh(int64_t written_before_ms) {
    for (RefreshEntry& entry : m_observer.Refresh(written_before_ms)) {
      m_stream.Append(entry.kind, std::move(entry.payload));
    }
  }

 private:
  FakeStream& m_stream;
  LogObserver& m_observer;
  uint64_t m_next = 0;
};

// Appends to the stream and reads it at once, or fails as told.
class FakeChannel : public LogChannel {
 public:
  enum class Mode { kAnswers, kLosesAnswer, kAway, kFull };

  FakeChannel(FakeStream& stream, LogObserver& observer)
      : m_stream(stream), m_reader(stream, observer) {}

  bool Append(wire::EntryKind kind,
              std::string payload,
              base::MonoTime /*deadline*/,
              Done done) override {
    if (mode == Mode::kFull) {
      return false;
    }
    if (mode == Mode::kAway) {
      done(base::Error{base::ErrorCode::kUnavailable, "log is away"});
      return true;
    }
    if (before_append) {
      std::exchange(before_append, nullptr)();
    }
    m_stream.Append(kind, std::move(payload));
    if (mode == Mode::kLosesAnswer) {
      done(base::Error{base::ErrorCode::kUnknown, "entry not seen in time"});
      return true;
    }
    m_reader.Read();
    done(LogPosition{m_stream.entries.size() - 1, 0, m_stream.now_ms});
    return true;
  }
  LogChannelStatus Status() const override { return {}; }
  void Start(uint64_t /*from*/) override {}
  void Stop() override {}

  FakeReader& reader() { return m_reader; }

  Mode mode = Mode::kAnswers;
  // Runs once just before the next append, to let another VM be faster.
  std::function<void()> before_append;

 private:
  FakeStream& m_stream;
  FakeReader m_reader;
};

class FakeBus : public PeerBus {
 public:
  void Subscribe(wire::Topic topic, Handler handler) override {
    m_handlers[topic] = std::move(handler);
  }
  void SetAnswerer(wire::Topic /*topic*/, Answerer /*answerer*/) override {}
  bool Send(std::string_view vm,
            wire::Topic topic,
            std::string payload) override {
    sent.push_back({std::string(vm), topic, std::move(payload)});
    return true;
  }
  bool Request(std::string_view /*vm*/,
               wire::Topic /*topic*/,
               std::string /*payload*/,
               base::Millis /*timeout*/,
               Done /*done*/) override {
    return false;
  }
  std::vector<Peer> Peers() const override { return peers; }
  size_t RankInDomain() const override { return 0; }

  void Deliver(const std::string& from,
               wire::Topic topic,
               std::string payload) {
    wire::PeerMessage message;
    message.from = from;
    message.topic = static_cast<uint16_t>(topic);
    message.payload = std::move(payload);
    m_handlers.at(topic)(message);
  }

  struct Sent {
    std::string vm;
    wire::Topic topic;
    std::string payload;
  };
  std::vector<Peer> peers;
  std::vector<Sent> sent;

 private:
  std::map<wire::Topic, Handler> m_handlers;
};

class FakeDirectory : public VmDirectory {
 public:
  std::shared_ptr<const services::VmListPage> Current() const override {
    return std::make_shared<const services::VmListPage>(page);
  }
  int64_t SilentMillis() const override { return 0; }

  services::VmListPage page;
};

}  // namespace azurespur::control

#endif  // CONTROL_TESTS_LIST_FAKES_H_
