// Measures what the log channel, the peer service and the VM list cost a VM:
//   bench_control [--seconds N]
// Prints one line for each measurement; the figures feed docs/CAPACITY.md.

#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "control/log_channel.h"
#include "control/log_observer.h"
#include "control/peer_service.h"
#include "control/vm_directory.h"
#include "fake_log_service.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "services/vm_list.h"

namespace azurespur {
namespace {

using base::Millis;

constexpr double kMicrosPerSecond = 1e6;

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / kMicrosPerSecond;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

class FixedDirectory : public control::VmDirectory {
 public:
  std::shared_ptr<const services::VmListPage> Current() const override {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_page;
  }
  int64_t SilentMillis() const override { return 0; }
  void Set(services::VmListPage page) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_page = std::make_shared<const services::VmListPage>(std::move(page));
  }

 private:
  mutable std::mutex m_mutex;
  std::shared_ptr<const services::VmListPage> m_page =
      std::make_shared<services::VmListPage>();
};

// Heartbeats of `vms` VMs, three to a failure domain, for `seconds`.
void MeasurePeers(int vms, int seconds) {
  constexpr int kVmsPerDomain = 3;
  FixedDirectory directory;
  std::vector<std::unique_ptr<base::Metrics>> metrics;
  std::vector<std::unique_ptr<control::PeerService>> services;
  services::VmListPage page;
  page.version = 1;
  for (int i = 0; i < vms; ++i) {
    control::PeerBusOptions options;
    options.vm_id = "e" + std::to_string(i);
    options.domain = "d" + std::to_string(i / kVmsPerDomain);
    metrics.push_back(std::make_unique<base::Metrics>());
    services.push_back(control::MakePeerService(
        options, directory, base::SystemClock(), *metrics.back()));
    if (!base::Ok(services.back()->Start())) {
      std::printf("peers vms=%d: a port can't be bound\n", vms);
      return;
    }
    services::Vm vm;
    vm.id = options.vm_id;
    vm.domain = options.domain;
    vm.peer_address = "127.0.0.1:" + std::to_string(services.back()->port());
    page.vms.push_back(std::move(vm));
  }
  directory.Set(std::move(page));
  const double cpu = CpuSeconds();
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  const double used = CpuSeconds() - cpu;
  int64_t messages = 0;
  int64_t bytes = 0;
  for (const auto& each : metrics) {
    messages += each->GetCounter("azurespur_peer_messages_sent_total").Get();
    bytes += each->GetCounter("azurespur_peer_bytes_sent_total").Get();
  }
  const double vm_seconds = static_cast<double>(vms) * seconds;
  std::printf(
      "peers vms=%d messages_per_vm_s=%.1f bytes_per_vm_s=%.0f "
      "cpu_percent_per_vm=%.3f\n",
      vms, static_cast<double>(messages) / vm_seconds,
      static_cast<double>(bytes) / vm_seconds, 100 * used / vm_seconds);
  for (auto& service : services) {
    service->Stop();
  }
}

class CountingObserver : public control::LogObserver {
 public:
  void OnEntry(const control::LogPosition& /*position*/,
               const wire::LogEntry& /*entry*/) override {}
  std::vector<control::RefreshEntry> Refresh(int64_t /*before*/) override {
    return {};
  }
  std::string SaveState() const override { return {}; }
  base::Outcome<base::Unit> LoadState(std::string_view /*bytes*/) override {
    return base::Unit{};
  }
};

// `entries_per_s` entries of 150 bytes through one channel for `seconds`.
void MeasureLog(int entries_per_s, int seconds) {
  constexpr size_t kEntryBytes = 150;
  constexpr Millis kDeadline{10000};
  constexpr Millis kPause{5};
  control::FakeLogService log;
  CountingObserver observer;
  base::Metrics metrics;
  control::LogChannelOptions options;
  options.stream = "bench";
  options.writer = "vm/1";
  auto channel = control::MakeLogChannel(options, log, observer,
                                         base::SystemClock(), metrics);
  channel->Start(0);
  std::mutex mutex;
  std::vector<double> waits_ms;
  int refused = 0;
  const base::MonoTime begin = base::SystemClock().Now();
  const double cpu = CpuSeconds();
  const int64_t total = static_cast<int64_t>(entries_per_s) * seconds;
  for (int64_t sent = 0; sent < total;) {
    const base::MonoTime now = base::SystemClock().Now();
    const int64_t due =
        std::min(total, base::MillisBetween(begin, now) * entries_per_s / 1000);
    for (; sent < due; ++sent) {
      const bool queued = channel->Append(
          wire::EntryKind::kTaskBind, std::string(kEntryBytes, 'x'),
          now + kDeadline,
          [&mutex, &waits_ms, now](base::Outcome<control::LogPosition>) {
            const base::Micros waited = base::SystemClock().Now() - now;
            std::lock_guard<std::mutex> lock(mutex);
            waits_ms.push_back(static_cast<double>(waited.count()) / 1000);
          });
      refused += queued ? 0 : 1;
    }
    std::this_thread::sleep_for(kPause);
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const double used = CpuSeconds() - cpu;
  const control::LogChannelStatus status = channel->Status();
  channel->Stop();
  std::sort(waits_ms.begin(), waits_ms.end());
  const auto at = [&waits_ms](double share) {
    return waits_ms.empty()
               ? 0.0
               : waits_ms[static_cast<size_t>(
                     share * static_cast<double>(waits_ms.size() - 1))];
  };
  std::printf(
      "log entries_per_s=%d appends_per_s=%.1f seen=%zu refused=%d "
      "wait_ms_p50=%.1f wait_ms_p99=%.1f cpu_us_per_entry=%.1f\n",
      entries_per_s, static_cast<double>(status.appends) / seconds,
      waits_ms.size(), refused, at(0.5), at(0.99),
      used * kMicrosPerSecond / static_cast<double>(total));
}

// One read of a VM list with `workers` workers, changed and unchanged.
void MeasureVmList(int workers) {
  constexpr int kReads = 10;
  std::string body = R"({"version":1,"vms":[)";
  for (int i = 0; i < workers; ++i) {
    body += (i == 0 ? "" : ",") + std::string(R"({"id":"w-luzon-a-)") +
            std::to_string(i) +
            R"(","kind":"worker","address":"127.0.0.1:9001",)"
            R"("domain":"luzon-a","rack":"r1","state":"live",)"
            R"("cpu_millis":64000,"memory_mb":262144,"accelerators":2})";
  }
  body += "]}";
  int answers = 0;
  auto server = base::Value(http::StartHttpServer(
      {}, [&](http::HttpRequest request,
              const std::shared_ptr<http::HttpReply>& reply) {
        http::HttpResponse response;
        const std::string tag = "\"" + std::to_string(answers / 2) + "\"";
        ++answers;
        response.headers.push_back({"ETag", tag});
        if (http::FindField(request.headers, "If-None-Match") == tag) {
          response.status = 304;
        } else {
          response.body = body;
        }
        reply->Send(std::move(response));
      }));
  auto client = http::StartHttpClient();
  auto list = services::MakeHttpVmList(
      *client, "http://127.0.0.1:" + std::to_string(server->port()));
  double changed = 0;
  double unchanged = 0;
  for (int i = 0; i < kReads; ++i) {
    const double start = CpuSeconds();
    (void)list->Fetch();
    const double middle = CpuSeconds();
    (void)list->Fetch();
    changed += middle - start;
    unchanged += CpuSeconds() - middle;
  }
  std::printf(
      "vm_list workers=%d bytes=%zu cpu_ms_changed=%.2f "
      "cpu_ms_unchanged=%.2f\n",
      workers, body.size(), 1000 * changed / kReads, 1000 * unchanged / kReads);
}

}  // namespace
}  // namespace azurespur

int main(int argc, char** argv) {
  CLI::App app("Costs of log channel, peer service and VM list");
  int seconds = 5;
  app.add_option("--seconds", seconds, "Length of each measurement")
      ->check(CLI::Range(1, 600));
  CLI11_PARSE(app, argc, argv);
  for (const int vms : {3, 9, 18, 36}) {
    azurespur::MeasurePeers(vms, seconds);
  }
  for (const int rate : {100, 1000, 2000}) {
    azurespur::MeasureLog(rate, seconds);
  }
  for (const int workers : {48, 558, 6700}) {
    azurespur::MeasureVmList(workers);
  }
  return 0;
}
