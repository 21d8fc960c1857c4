// Measures one entry VM over real sockets: latency added to a direct call, and
// requests per second and processor time at full load. Executors and callers
// run in the same process; the entry VM's processor time is that of the
// threads that it started.

#include <dirent.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <future>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "base/event_log.h"
#include "base/metrics.h"
#include "fakes.h"
#include "filters/request_service.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "services/executor_client.h"

namespace azurespur::bench {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr double kMostAddedMs = 1.0;
constexpr double kLeastPerSecond = 5000;
constexpr double kCores = 2;

struct Options {
  int executors = 16;
  int latency_calls = 3000;
  int load_s = 5;
  int concurrency = 96;
  int callers = 2;  // Client threads.
};

std::set<std::string> ThreadIds() {
  std::set<std::string> ids;
  DIR* directory = opendir("/proc/self/task");
  while (const dirent* entry = readdir(directory)) {
    if (entry->d_name[0] != '.') {
      ids.insert(entry->d_name);
    }
  }
  closedir(directory);
  return ids;
}

// User and system time of the threads so far.
double CpuSeconds(const std::set<std::string>& threads) {
  double ticks = 0;
  for (const std::string& id : threads) {
    std::ifstream file("/proc/self/task/" + id + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int kFieldsBeforeTimes = 11;
    for (int i = 0; i < kFieldsBeforeTimes; ++i) {
      fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    ticks += user + system;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// Executors that answer at once.
class Executors {
 public:
  explicit Executors(int count) {
    for (int i = 0; i < count; ++i) {
      http::HttpServerOptions options;
      options.threads = 1;
      m_servers.push_back(base::Value(http::StartHttpServer(
          options, [](http::HttpRequest request,
                      std::shared_ptr<http::HttpReply> reply) {
            http::HttpResponse response;
            response.body = std::move(request.body);
            response.headers.push_back(
                {"Azurespur-Request-Id",
                 std::string(http::FindField(request.headers,
                                             "Azurespur-Request-Id"))});
            reply->Send(std::move(response));
          })));
    }
  }

  std::string Address(size_t i) const {
    return "127.0.0.1:" + std::to_string(m_servers[i]->port());
  }
  size_t size() const { return m_servers.size(); }

 private:
  std::vector<std::unique_ptr<http::HttpServer>> m_servers;
};

// One entry VM.
class Entry {
 public:
  explicit Entry(const Executors& executors)
      : m_ledger(base::Millis(600000)),
        m_client(http::StartHttpClient()),
        m_executors(services::MakeHttpExecutorClient(*m_client)) {
    for (size_t i = 0; i < executors.size(); ++i) {
      m_vms.Add(executors.Address(i), services::VmKind::kExecutor);
    }
    m_vms.Add("e1", services::VmKind::kEntry);
    filters::RequestServiceOptions options;
    options.slot_startup_delay = base::Millis(1);
    m_service = std::make_unique<filters::RequestService>(
        filters::RequestServiceDeps{m_lists,
                                    m_vms,
                                    m_network.Join("e1", 1),
                                    m_log,
                                    m_ledger,
                                    *m_executors,
                                    base::SystemClock(),
                                    m_metrics,
                                    {"e1", "d1", 1},
                                    options});
    m_service->Start();
    m_server = base::Value(http::StartHttpServer(
        {}, [this](http::HttpRequest request,
                   std::shared_ptr<http::HttpReply> reply) {
          m_service->Handle(std::move(request), std::move(reply));
        }));
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_server->port()) +
           "/v1/requests";
  }

 private:
  filters::FakeLists m_lists;
  filters::FakeVms m_vms;
  filters::FakeNetwork m_network;
  filters::FakeLog m_log;
  filters::OnceLedger m_ledger;
  base::Metrics m_metrics;
  std::unique_ptr<http::HttpClient> m_client;
  std::unique_ptr<services::ExecutorClient> m_executors;
  std::unique_ptr<filters::RequestService> m_service;
  std::unique_ptr<http::HttpServer> m_server;
};

http::HttpCall Call(const std::string& url) {
  http::HttpCall call;
  call.method = "POST";
  call.url = url;
  call.headers = {{"Azurespur-Plan", "gold"}, {"Azurespur-Request-Id", "r"}};
  call.body = R"({"split":[1,2,3]})";
  call.timeout = std::chrono::milliseconds(10000);
  return call;
}

double MedianMillis(const std::string& url, int calls) {
  const auto client = http::StartHttpClient();
  std::vector<double> times;
  for (int i = 0; i < calls; ++i) {
    const auto begin = SteadyClock::now();
    const auto result = client->Fetch(Call(url));
    const std::chrono::duration<double, std::milli> taken =
        SteadyClock::now() - begin;
    if (base::Ok(result) && base::Value(result).status == 200) {
      times.push_back(taken.count());
    }
  }
  if (times.empty()) {
    return -1;
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

// One caller with a number of requests always open.
class Caller {
 public:
  Caller(std::string url, int concurrency)
      : m_url(std::move(url)), m_open(concurrency) {
    http::HttpClientOptions options;
    options.max_connections_per_host = concurrency;
    m_client = http::StartHttpClient(options);
    for (int i = 0; i < concurrency; ++i) {
      Send();
    }
  }

  void Finish() {
    m_stopping.store(true);
    m_done.get_future().wait();
  }
  size_t answered() const { return m_answered.load(); }
  size_t failed() const { return m_failed.load(); }

 private:
  void Send() {
    m_client->Send(Call(m_url), [this](http::HttpResult result) {
      const bool good = base::Ok(result) && base::Value(result).status == 200;
      (good ? m_answered : m_failed).fetch_add(1);
      if (!m_stopping.load()) {
        Send();
      } else if (m_open.fetch_sub(1) == 1) {
        m_done.set_value();
      }
    });
  }

  const std::string m_url;
  std::atomic<int> m_open;
  std::atomic<bool> m_stopping{false};
  std::atomic<size_t> m_answered{0};
  std::atomic<size_t> m_failed{0};
  std::promise<void> m_done;
  std::unique_ptr<http::HttpClient> m_client;
};

// Processor time of an entry VM without requests, in cores.
double IdleCores(const std::set<std::string>& threads) {
  constexpr std::chrono::seconds kIdle{3};
  const double before = CpuSeconds(threads);
  std::this_thread::sleep_for(kIdle);
  return (CpuSeconds(threads) - before) / static_cast<double>(kIdle.count());
}

void Verdict(const char* target, bool met, double figure, double limit) {
  std::printf("%-48s %s (%.3f, target %.3f)\n", target, met ? "met" : "missed",
              figure, limit);
}

void MeasureLoad(const std::string& url,
                 const std::set<std::string>& threads,
                 const Options& options) {
  std::vector<std::unique_ptr<Caller>> callers;
  callers.reserve(static_cast<size_t>(options.callers));
  for (int i = 0; i < options.callers; ++i) {
    callers.push_back(
        std::make_unique<Caller>(url, options.concurrency / options.callers));
  }
  const auto answered = [&] {
    size_t total = 0;
    for (const auto& caller : callers) {
      total += caller->answered();
    }
    return total;
  };
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const size_t before = answered();
  const double cpu_before = CpuSeconds(threads);
  const auto begin = SteadyClock::now();
  std::this_thread::sleep_for(std::chrono::seconds(options.load_s));
  const std::chrono::duration<double> seconds = SteadyClock::now() - begin;
  const double cpu = CpuSeconds(threads) - cpu_before;
  const auto count = static_cast<double>(answered() - before);
  size_t failed = 0;
  for (const auto& caller : callers) {
    caller->Finish();
    failed += caller->failed();
  }
  const double rate = count / seconds.count();
  const double cores = cpu / seconds.count();
  std::printf(
      "load: %.0f requests/s, %zu failed, %.2f cores, %.0f us of processor "
      "time a request\n",
      rate, failed, cores, cpu / count * 1e6);
  Verdict("requests/s reached", rate >= kLeastPerSecond, rate, kLeastPerSecond);
  const double on_two = rate * kCores / std::max(cores, kCores);
  Verdict("requests/s on 2 cores, by processor time", on_two >= kLeastPerSecond,
          on_two, kLeastPerSecond);
}

}  // namespace

}  // namespace azurespur::bench

int main(int argc, char** argv) {
  using namespace azurespur;
  base::InitEventLog("bench_requests_http");
  bench::Options options;
  CLI::App app("Measures one entry VM over real sockets");
  app.add_option("--load-s", options.load_s, "Seconds at full load");
  app.add_option("--concurrency", options.concurrency, "Open requests");
  CLI11_PARSE(app, argc, argv);
  const bench::Executors executors(options.executors);
  const std::set<std::string> before = bench::ThreadIds();
  const bench::Entry entry(executors);
  std::set<std::string> threads;
  for (const std::string& id : bench::ThreadIds()) {
    if (!before.contains(id)) {
      threads.insert(id);
    }
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  std::printf("idle: %.4f cores\n", bench::IdleCores(threads));
  const double direct = bench::MedianMillis(
      "http://" + executors.Address(0) + "/run", options.latency_calls);
  const double through =
      bench::MedianMillis(entry.Url(), options.latency_calls);
  std::printf("p50 direct %.3f ms, through the entry VM %.3f ms\n", direct,
              through);
  bench::Verdict("p50 added latency, ms",
                 through - direct <= bench::kMostAddedMs, through - direct,
                 bench::kMostAddedMs);
  bench::MeasureLoad(entry.Url(), threads, options);
  return 0;
}
