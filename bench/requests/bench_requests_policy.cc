// Compares the product's request policy with baselines in virtual time.

#include <CLI/CLI.hpp>
#include <cstdio>

#include "requests/baselines.h"
#include "requests/product.h"

namespace {

using azurespur::bench::SimReport;

constexpr double kPreviewShareOfFifo = 0.2;
constexpr double kLeastUseful = 0.95;
constexpr double kMostCrestWait = 2;

void Print(const char* name, const SimReport& report) {
  std::printf(
      "%-18s | %7.2f %8.2f %8.2f | %7.4f %7.4f | %7.2f %8.2f %7.4f | %6.3f "
      "%6.3f | %7zu | %6.0f %7.0f\n",
      name, report.base_p50_ms, report.base_p99_ms, report.base_p999_ms,
      report.base_blocked, report.base_lost, report.crest_p50_ms,
      report.crest_p99_ms, report.crest_previews_lost, report.crest_useful,
      report.crest_busy, report.excess, report.messages_per_s,
      report.bytes_per_s);
}

void Verdict(const char* target, bool met, double figure, double limit) {
  std::printf("%-58s %s (%.3f, target %.3f)\n", target, met ? "met" : "missed",
              figure, limit);
}

}  // namespace

int main(int argc, char** argv) {
  azurespur::bench::WorkloadOptions options;
  CLI::App app("Compares request policies in virtual time");
  app.add_option("--seed", options.seed, "Seed of the workload");
  app.add_option("--load", options.load, "Load outside the crests, of 1");
  app.add_option("--crest-factor", options.crest_factor, "Rise at a crest");
  app.add_option("--preview-allowance", options.preview_allowance,
                 "Previews' allowance, of their rate at the base load");
  CLI11_PARSE(app, argc, argv);
  const auto requests = azurespur::bench::MakeWorkload(options);
  std::printf(
      "seed %llu, %zu requests, load %.2f, crest %.2f, "
      "preview allowance %.2f\n",
      static_cast<unsigned long long>(options.seed), requests.size(),
      options.load, options.load * options.crest_factor,
      options.preview_allowance);
  std::printf(
      "%-18s | %7s %8s %8s | %7s %7s | %7s %8s %7s | %6s %6s | %7s | %6s %7s\n",
      "previews, ms", "p50", "p99", "p99.9", "blocked", "lost", "cr p50",
      "cr p99", "cr lost", "useful", "busy", "excess", "msg/s", "B/s/VM");
  const SimReport fifo = azurespur::bench::RunFifoRandom(options, requests);
  Print("fifo, random", fifo);
  const SimReport at_once =
      azurespur::bench::RunRandomAtOnce(options, requests);
  Print("random at once", at_once);
  const SimReport least =
      azurespur::bench::RunLeastConnections(options, requests);
  Print("least connections", least);
  const SimReport product = azurespur::bench::RunProduct(options, requests);
  Print("azurespur", product);

  const double fifo_limit = kPreviewShareOfFifo * fifo.base_p99_ms;
  Verdict("p99 preview wait at base load, ms, fifo/5",
          product.base_p99_ms <= fifo_limit, product.base_p99_ms, fifo_limit);
  const double at_once_limit = kPreviewShareOfFifo * at_once.base_p99_ms;
  Verdict("p99 preview wait at base load, ms, random at once/5",
          product.base_p99_ms <= at_once_limit, product.base_p99_ms,
          at_once_limit);
  Verdict("useful share of slot time at the crest",
          product.crest_useful >= kLeastUseful, product.crest_useful,
          kLeastUseful);
  const double crest_limit = kMostCrestWait * product.base_p99_ms;
  Verdict("p99 preview wait at the crest, ms, twice base load's",
          product.crest_p99_ms <= crest_limit, product.crest_p99_ms,
          crest_limit);
  Verdict("requests beyond an executor's slots", product.excess == 0,
          static_cast<double>(product.excess), 0);
  return 0;
}
