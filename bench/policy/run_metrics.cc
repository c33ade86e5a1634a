#include "bench/policy/run_metrics.h"

#include <algorithm>
#include <cmath>

namespace wist::bench {
namespace {

constexpr double kSmallestDurationUs = 10;
constexpr double kBucketGrowth = 1.02;

}  // namespace

void latency_histogram::Record(microseconds duration) {
  const double ratio = std::max(
      1.0, static_cast<double>(duration.count()) / kSmallestDurationUs);
  const auto index =
      static_cast<std::size_t>(std::log(ratio) / std::log(kBucketGrowth));
  ++counts_[std::min(index, counts_.size() - 1)];
  ++count_;
}

double latency_histogram::Quantile(double quantile) const {
  const double target_count = quantile * static_cast<double>(count_);
  double cumulative_count = 0;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    cumulative_count += static_cast<double>(counts_[i]);
    if (cumulative_count >= target_count && cumulative_count > 0)
      return kSmallestDurationUs *
             std::pow(kBucketGrowth, static_cast<double>(i) + 0.5) / 1000;
  }
  return 0;
}

double JainIndex(const std::vector<double>& values) {
  double sum = 0;
  double squares = 0;
  for (const double value : values) {
    sum += value;
    squares += value * value;
  }
  if (squares <= 0)
    return 1;
  return sum * sum / (static_cast<double>(values.size()) * squares);
}

nlohmann::json ToJson(const run_metrics& metrics) {
  const double thousand_tokens =
      std::max(1.0, static_cast<double>(metrics.tokens) / 1000);
  return {
      {"between_tokens_ms",
       {{"p50", metrics.between_tokens.Quantile(0.50)},
        {"p95", metrics.between_tokens.Quantile(0.95)},
        {"p99", metrics.between_tokens.Quantile(0.99)},
        {"p999", metrics.between_tokens.Quantile(0.999)}}},
      {"first_token_ms",
       {{"p50", metrics.first_token.Quantile(0.50)},
        {"p95", metrics.first_token.Quantile(0.95)}}},
      {"longest_stall_ms", ToMilliseconds(metrics.longest_stall)},
      {"stall_ms_a_thousand_tokens",
       ToMilliseconds(metrics.stall_time) / thousand_tokens},
      {"preemptions", metrics.preemptions},
      {"requests", metrics.requests},
      {"finished", metrics.finished},
      {"finished_in_time", metrics.finished_in_time},
      {"lost", metrics.lost},
      {"left", metrics.abandoned},
      {"refusals", metrics.refusals},
      {"tokens_per_second",
       static_cast<double>(metrics.tokens) / metrics.measured_seconds},
      {"goodput_tokens_per_second",
       static_cast<double>(metrics.goodput_tokens) / metrics.measured_seconds},
      {"fairness", JainIndex(metrics.relative_workspace_service)},
      {"cold_violations", metrics.cold_violations},
      {"out_dispatches", metrics.dispatches_to_out_domains},
      {"sends_over_requests", metrics.requests == 0
                                  ? 0.0
                                  : static_cast<double>(metrics.dispatches) /
                                        static_cast<double>(metrics.requests)},
      {"seconds_to_warm", metrics.seconds_to_warm}};
}

}  // namespace wist::bench
