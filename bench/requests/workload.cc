#include "requests/workload.h"

#include <cmath>
#include <random>

#include "token_bucket.h"

namespace azurespur::bench {

namespace {

using control::RequestClass;

constexpr double kPreviewShare = 0.2;
constexpr double kInteractiveShare = 0.5;
constexpr int kPlansPerClass = 4;
constexpr double kBurstSeconds = 0.1;  // Of the previews' allowance.
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1e3;
constexpr base::MonoTime kStart{base::Micros(1000000)};

// Arrivals relative to the base rate at `t` seconds, and the phase.
double RateAt(const WorkloadOptions& options, double t, Phase& phase) {
  if (t < options.warm_up_s) {
    phase = Phase::kWarmUp;
    return 1;
  }
  t -= options.warm_up_s;
  if (t < options.base_s) {
    phase = Phase::kBase;
    return 1;
  }
  t -= options.base_s;
  const double cycle = 2 * options.ramp_s + options.crest_s + options.between_s;
  t = std::fmod(t, cycle);
  const double rise = options.crest_factor - 1;
  phase = Phase::kRamp;
  if (t < options.ramp_s) {
    return 1 + rise * t / options.ramp_s;
  }
  t -= options.ramp_s;
  if (t < options.crest_s) {
    phase = Phase::kCrest;
    return options.crest_factor;
  }
  t -= options.crest_s;
  if (t < options.ramp_s) {
    return options.crest_factor - rise * t / options.ramp_s;
  }
  phase = Phase::kAfter;
  return 1;
}

base::Millis DeadlineOf(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kPreview:
      return base::Millis(2000);
    case RequestClass::kInteractive:
      return base::Millis(4000);
    case RequestClass::kBulk:
      return base::Millis(10000);
  }
  return base::Millis(10000);
}

}  // namespace

double MeanRunMillis(const WorkloadOptions& options) {
  const double usual =
      options.median_ms * std::exp(options.spread * options.spread / 2);
  return (1 - options.straggler_share) * usual +
         options.straggler_share * options.straggler_factor * options.median_ms;
}

double CrestSeconds(const WorkloadOptions& options) {
  return options.crests * options.crest_s;
}

std::vector<SimRequest> MakeWorkload(const WorkloadOptions& options) {
  std::mt19937_64 random(options.seed);
  std::uniform_real_distribution<double> unit(0, 1);
  std::normal_distribution<double> normal(0, 1);
  const double slots = options.executors * options.slots;
  const double base_rate =
      options.load * slots / (MeanRunMillis(options) / 1000);
  const double most_rate = base_rate * options.crest_factor;
  const double end = options.warm_up_s + options.base_s +
                     options.crests * (2 * options.ramp_s + options.crest_s +
                                       options.between_s);
  const double preview_rate =
      base_rate * kPreviewShare * options.preview_allowance;
  const filters::TokenRate allowance{preview_rate,
                                     preview_rate * kBurstSeconds};
  filters::TokenBucket bucket;
  std::vector<SimRequest> requests;
  double t = 0;
  for (;;) {
    t += -std::log(1 - unit(random)) / most_rate;
    if (t >= end) {
      return requests;
    }
    SimRequest request;
    const double rate = RateAt(options, t, request.phase);
    if (unit(random) * options.crest_factor >= rate) {
      continue;  // Thinning makes the arrivals follow the rate.
    }
    const double pick = unit(random);
    request.request_class = pick < kPreviewShare ? RequestClass::kPreview
                            : pick < kPreviewShare + kInteractiveShare
                                ? RequestClass::kInteractive
                                : RequestClass::kBulk;
    request.straggler = unit(random) < options.straggler_share;
    const double run_ms =
        request.straggler
            ? options.straggler_factor * options.median_ms
            : options.median_ms * std::exp(options.spread * normal(random));
    request.run = base::Micros(static_cast<int64_t>(run_ms * kMicrosPerMilli));
    request.arrival =
        kStart + base::Micros(static_cast<int64_t>(t * kMicrosPerSecond));
    request.deadline = request.arrival + DeadlineOf(request.request_class);
    request.vm =
        static_cast<int>(random() % static_cast<uint64_t>(options.vms));
    request.plan = "plan-" +
                   std::to_string(static_cast<int>(request.request_class)) +
                   "-" + std::to_string(random() % kPlansPerClass);
    const bool over =
        request.request_class == RequestClass::kPreview &&
        filters::TakeToken(bucket, allowance, request.arrival).count() > 0;
    if (!over) {
      requests.push_back(std::move(request));
    }
  }
}

}  // namespace azurespur::bench
