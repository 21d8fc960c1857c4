#include "control/log_channel.h"

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/metrics.h"
#include "base/ring.h"
#include "control/log_observer.h"
#include "services/log_service.h"

namespace azurespur::control {

namespace {

using base::Millis;
using base::MonoTime;

constexpr size_t kReadPageRecords = 500;
constexpr Millis kRetryPause{200};
constexpr Millis kMaxAppendInterval{400};
constexpr Millis kWriterWait{100};
constexpr Millis kRefreshDeadline{30000};
constexpr int kRefreshChecksPerRetention = 16;
constexpr size_t kEntryOverheadBytes = 64;

// One entry on its way into the stream.
struct PendingEntry {
  wire::LogEntry entry;
  MonoTime deadline;
  LogChannel::Done done;
};

size_t EntryBytes(const wire::LogEntry& entry) {
  return entry.payload.size() + entry.id.size() + kEntryOverheadBytes;
}

class Channel : public LogChannel {
 public:
  Channel(const LogChannelOptions& options,
          services::LogService& log,
          LogObserver& observer,
          const base::Clock& clock,
          base::Metrics& metrics)
      : m_options(options),
        m_log(log),
        m_observer(observer),
        m_clock(clock),
        m_appends(metrics.GetCounter(MetricName("appends_total"))),
        m_entries(metrics.GetCounter(MetricName("entries_total"))),
        m_retries(metrics.GetCounter(MetricName("append_retries_total"))),
        m_next_metric(metrics.GetCounter(MetricName("next_offset"))),
        m_ring(options.queue_size),
        m_last_contact(clock.Now()) {}
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() override { Stop(); }

  bool Append(wire::EntryKind kind,
              std::string payload,
              MonoTime deadline,
              Done done) override;
  LogChannelStatus Status() const override;
  void Start(uint64_t from) override;
  void Stop() override;

 private:
  std::string MetricName(std::string_view name) const {
    return "azurespur_log_" + std::string(name) + "{stream=\"" +
           m_options.stream + "\"}";
  }

  // Writer's thread.
  void RunWriter();
  // Moves queued entries to the backlog and ends those past their deadline, so
  // that a stuck append does not hold back the verdict of the ones behind it.
  void PullBacklog();
  std::vector<PendingEntry> GatherBatch();
  void RegisterWaiting(std::vector<PendingEntry> batch,
                       std::vector<wire::LogEntry>& entries);
  void AppendUntilSettled(std::vector<wire::LogEntry> entries);
  void WaitForInterval();
  void WaitForSettlingRead(MonoTime since);
  // Drops entries that nobody waits for any more: seen, or past deadline.
  void KeepWaiting(std::vector<wire::LogEntry>& entries);
  void ExpireWaiting(MonoTime now);
  void MarkSent(const std::vector<wire::LogEntry>& entries);

  // Reader's thread.
  void RunReader();
  void ApplyPage(const services::LogPage& page);
  void ApplyRecord(const services::LogRecord& record);
  void NotePage(const services::LogPage& page, MonoTime begun);
  void MaybeRefresh(int64_t now_ms);

  base::Error NotAppended() const {
    return {base::ErrorCode::kUnavailable,
            "stream \"" + m_options.stream + "\": entry was not appended"};
  }
  void CompleteSeen(const std::string& id, const LogPosition& position);
  void FailAllWaiting();

  struct Waiting {
    MonoTime deadline;
    Done done;
    bool sent = false;
  };

  const LogChannelOptions m_options;
  services::LogService& m_log;
  LogObserver& m_observer;
  const base::Clock& m_clock;
  base::Counter& m_appends;
  base::Counter& m_entries;
  base::Counter& m_retries;
  base::Counter& m_next_metric;
  base::Ring<PendingEntry> m_ring;
  std::atomic<uint64_t> m_sequence{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_writer;
  std::thread m_reader;

  // Writer's thread only.
  std::deque<PendingEntry> m_backlog;
  Millis m_interval{0};
  MonoTime m_last_append{};

  // Reader's thread only.
  int64_t m_next_refresh_ms = 0;

  mutable std::mutex m_mutex;
  std::map<std::string, Waiting> m_waiting;
  uint64_t m_next = 0;
  bool m_caught_up = false;
  bool m_reachable = false;
  MonoTime m_last_contact;
  MonoTime m_settled_through{};  // Begin of the last read that met the end.
  base::Wakeup m_read_done;
};

bool Channel::Append(wire::EntryKind kind,
                     std::string payload,
                     MonoTime deadline,
                     Done done) {
  PendingEntry pending;
  pending.entry.id =
      m_options.writer + "/" + std::to_string(m_sequence.fetch_add(1));
  pending.entry.kind = static_cast<uint16_t>(kind);
  pending.entry.payload = std::move(payload);
  pending.deadline = deadline;
  pending.done = std::move(done);
  if (m_stopping.load() ||
      EntryBytes(pending.entry) > m_options.max_batch_bytes) {
    return false;
  }
  return m_ring.Push(std::move(pending));
}

LogChannelStatus Channel::Status() const {
  LogChannelStatus status;
  status.appends = static_cast<uint64_t>(m_appends.Get());
  status.entries = static_cast<uint64_t>(m_entries.Get());
  status.retries = static_cast<uint64_t>(m_retries.Get());
  std::lock_guard<std::mutex> lock(m_mutex);
  status.next_offset = m_next;
  status.caught_up = m_caught_up;
  status.reachable = m_reachable;
  status.silent_ms = base::MillisBetween(m_last_contact, m_clock.Now());
  return status;
}

void Channel::Start(uint64_t from) {
  CHECK(!m_reader.joinable()) << "channel started twice";
  m_next = from;
  m_interval = m_options.append_interval;
  m_reader = std::thread([this] { RunReader(); });
  m_writer = std::thread([this] { RunWriter(); });
}

void Channel::Stop() {
  if (m_stopping.exchange(true)) {
    return;
  }
  m_ring.Wake();
  m_read_done.Notify();
  if (m_writer.joinable()) {
    m_writer.join();
  }
  if (m_reader.joinable()) {
    m_reader.join();
  }
  FailAllWaiting();
}

void Channel::RunWriter() {
  while (!m_stopping.load()) {
    if (m_backlog.empty()) {
      if (std::optional<PendingEntry> first = m_ring.PopWait(kWriterWait)) {
        m_backlog.push_back(std::move(*first));
      }
    }
    ExpireWaiting(m_clock.Now());
    if (m_backlog.empty()) {
      continue;
    }
    WaitForInterval();
    std::vector<wire::LogEntry> entries;
    RegisterWaiting(GatherBatch(), entries);
    AppendUntilSettled(std::move(entries));
  }
}

void Channel::PullBacklog() {
  while (m_backlog.size() < m_options.queue_size) {
    std::optional<PendingEntry> next = m_ring.Pop();
    if (!next) {
      break;
    }
    m_backlog.push_back(std::move(*next));
  }
  const MonoTime now = m_clock.Now();
  std::deque<PendingEntry> kept;
  for (PendingEntry& pending : m_backlog) {
    if (pending.deadline > now) {
      kept.push_back(std::move(pending));
    } else {
      pending.done(NotAppended());
    }
  }
  m_backlog = std::move(kept);
}

std::vector<PendingEntry> Channel::GatherBatch() {
  PullBacklog();
  size_t bytes = 0;
  std::vector<PendingEntry> batch;
  while (!m_backlog.empty() && bytes < m_options.max_batch_bytes) {
    bytes += EntryBytes(m_backlog.front().entry);
    batch.push_back(std::move(m_backlog.front()));
    m_backlog.pop_front();
  }
  return batch;
}

void Channel::RegisterWaiting(std::vector<PendingEntry> batch,
                              std::vector<wire::LogEntry>& entries) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (PendingEntry& pending : batch) {
    Waiting waiting;
    waiting.deadline = pending.deadline;
    waiting.done = std::move(pending.done);
    m_waiting.emplace(pending.entry.id, std::move(waiting));
    entries.push_back(std::move(pending.entry));
  }
}

void Channel::AppendUntilSettled(std::vector<wire::LogEntry> entries) {
  bool first_try = true;
  while (!m_stopping.load()) {
    ExpireWaiting(m_clock.Now());
    PullBacklog();
    KeepWaiting(entries);
    if (entries.empty()) {
      return;
    }
    if (!first_try) {
      m_retries.Add(1);
    }
    first_try = false;
    m_last_append = m_clock.Now();
    MarkSent(entries);
    const base::Outcome<uint64_t> appended =
        m_log.Append(m_options.stream, wire::Encode(wire::LogBatch{entries}));
    if (base::Ok(appended)) {
      m_appends.Add(1);
      m_entries.Add(static_cast<int64_t>(entries.size()));
      m_interval = std::max(m_options.append_interval, m_interval * 9 / 10);
      return;
    }
    const base::Error& error = base::GetError(appended);
    if (error.code == base::ErrorCode::kExhausted) {
      m_interval = std::min(kMaxAppendInterval, m_interval * 2);
      WaitForInterval();
      continue;
    }
    base::LogEvent(base::Severity::kWarning, "AZ7001", "append not answered",
                   {{"stream", m_options.stream}, {"error", error.message}});
    if (error.code == base::ErrorCode::kUnknown) {
      WaitForSettlingRead(m_clock.Now());
    } else {
      std::this_thread::sleep_for(kRetryPause);
    }
  }
}

void Channel::WaitForInterval() {
  const MonoTime due = m_last_append + m_interval;
  const MonoTime now = m_clock.Now();
  if (now < due) {
    std::this_thread::sleep_for(due - now);
  }
}

// Reads on until a read that began after `since` has met the end, so that an
// append that took effect without an answer has been seen.
void Channel::WaitForSettlingRead(MonoTime since) {
  while (!m_stopping.load()) {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_settled_through > since) {
        return;
      }
    }
    ExpireWaiting(m_clock.Now());
    PullBacklog();
    m_read_done.Wait(kWriterWait);
  }
}

void Channel::KeepWaiting(std::vector<wire::LogEntry>& entries) {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::erase_if(entries, [this](const wire::LogEntry& entry) {
    return m_waiting.count(entry.id) == 0;
  });
}

void Channel::MarkSent(const std::vector<wire::LogEntry>& entries) {
  std::lock_guard<std::mutex> lock(m_mutex);
  for (const wire::LogEntry& entry : entries) {
    const auto it = m_waiting.find(entry.id);
    if (it != m_waiting.end()) {
      it->second.sent = true;
    }
  }
}

void Channel::ExpireWaiting(MonoTime now) {
  std::vector<Waiting> expired;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
      if (it->second.deadline > now) {
        ++it;
        continue;
      }
      expired.push_back(std::move(it->second));
      it = m_waiting.erase(it);
    }
  }
  for (Waiting& waiting : expired) {
    const auto code = waiting.sent ? base::ErrorCode::kUnknown
                                   : base::ErrorCode::kUnavailable;
    waiting.done(base::Error{
        code, "stream \"" + m_options.stream + "\": entry not seen in time"});
  }
}

void Channel::RunReader() {
  uint64_t from = m_next;
  while (!m_stopping.load()) {
    const MonoTime begun = m_clock.Now();
    const base::Outcome<services::LogPage> read = m_log.Read(
        m_options.stream, from, kReadPageRecords, m_options.read_wait);
    if (!base::Ok(read)) {
      {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_reachable = false;
      }
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    const services::LogPage& page = base::Value(read);
    if (page.first > from) {
      m_observer.OnGap(from, page.first);
    }
    if (page.first > from && from > 0) {
      base::LogEvent(base::Severity::kError, "AZ7002",
                     "records expired before they were read",
                     {{"stream", m_options.stream},
                      {"from", std::to_string(from)},
                      {"first", std::to_string(page.first)}});
    }
    ApplyPage(page);
    from = std::max(from, page.next);
    NotePage(page, begun);
    MaybeRefresh(page.now_ms);
  }
}

void Channel::ApplyPage(const services::LogPage& page) {
  for (const services::LogRecord& record : page.records) {
    ApplyRecord(record);
  }
}

void Channel::ApplyRecord(const services::LogRecord& record) {
  const base::Outcome<wire::LogBatch> batch =
      wire::Decode<wire::LogBatch>(record.body);
  if (!base::Ok(batch)) {
    base::LogEvent(base::Severity::kError, "AZ7003", "record is malformed",
                   {{"stream", m_options.stream},
                    {"offset", std::to_string(record.offset)}});
    return;
  }
  LogPosition position{record.offset, 0, record.time_ms};
  for (const wire::LogEntry& entry : base::Value(batch).entries) {
    m_observer.OnEntry(position, entry);
    CompleteSeen(entry.id, position);
    ++position.index;
  }
}

void Channel::NotePage(const services::LogPage& page, MonoTime begun) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_next = std::max(m_next, page.next);
    m_reachable = true;
    m_last_contact = m_clock.Now();
    if (page.records.size() < kReadPageRecords) {
      m_caught_up = true;
      m_settled_through = begun;
    }
  }
  m_next_metric.Set(static_cast<int64_t>(page.next));
  m_read_done.Notify();
}

void Channel::MaybeRefresh(int64_t now_ms) {
  if (now_ms < m_next_refresh_ms) {
    return;
  }
  m_next_refresh_ms =
      now_ms + m_options.retention.count() / kRefreshChecksPerRetention;
  const int64_t written_before = now_ms - m_options.refresh_age.count();
  for (RefreshEntry& entry : m_observer.Refresh(written_before)) {
    Append(entry.kind, std::move(entry.payload),
           m_clock.Now() + kRefreshDeadline, [](base::Outcome<LogPosition>) {});
  }
}

void Channel::CompleteSeen(const std::string& id, const LogPosition& position) {
  Done done;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    auto node = m_waiting.extract(id);
    if (node.empty()) {
      return;
    }
    done = std::move(node.mapped().done);
  }
  done(position);
}

void Channel::FailAllWaiting() {
  ExpireWaiting(MonoTime::max());
  PullBacklog();
  for (PendingEntry& pending : m_backlog) {
    pending.done(NotAppended());
  }
  m_backlog.clear();
}

}  // namespace

std::unique_ptr<LogChannel> MakeLogChannel(const LogChannelOptions& options,
                                           services::LogService& log,
                                           LogObserver& observer,
                                           const base::Clock& clock,
                                           base::Metrics& metrics) {
  return std::make_unique<Channel>(options, log, observer, clock, metrics);
}

}  // namespace azurespur::control
