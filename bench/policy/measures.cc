#include "bench/policy/measures.h"

#include <algorithm>
#include <cmath>

namespace wist::bench {
namespace {

constexpr double kSmallestUs = 10;
constexpr double kStep = 1.02;

}  // namespace

void time_histogram::Add(microseconds span) {
  const double ratio =
      std::max(1.0, static_cast<double>(span.count()) / kSmallestUs);
  const auto index =
      static_cast<std::size_t>(std::log(ratio) / std::log(kStep));
  ++counts_[std::min(index, counts_.size() - 1)];
  ++count_;
}

double time_histogram::Quantile(double part) const {
  const double wanted = part * static_cast<double>(count_);
  double passed = 0;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    passed += static_cast<double>(counts_[i]);
    if (passed >= wanted && passed > 0)
      return kSmallestUs * std::pow(kStep, static_cast<double>(i) + 0.5) / 1000;
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

nlohmann::json ToJson(const measures& run) {
  const double thousand_tokens =
      std::max(1.0, static_cast<double>(run.tokens) / 1000);
  return {{"between_tokens_ms",
           {{"p50", run.between_tokens.Quantile(0.50)},
            {"p95", run.between_tokens.Quantile(0.95)},
            {"p99", run.between_tokens.Quantile(0.99)},
            {"p999", run.between_tokens.Quantile(0.999)}}},
          {"first_token_ms",
           {{"p50", run.first_token.Quantile(0.50)},
            {"p95", run.first_token.Quantile(0.95)}}},
          {"longest_stall_ms", ToMilliseconds(run.longest_stall)},
          {"stall_ms_a_thousand_tokens",
           ToMilliseconds(run.stall_time) / thousand_tokens},
          {"preemptions", run.preemptions},
          {"requests", run.requests},
          {"finished", run.finished},
          {"finished_in_time", run.finished_in_time},
          {"lost", run.lost},
          {"left", run.left},
          {"refusals", run.refusals},
          {"tokens_per_second",
           static_cast<double>(run.tokens) / run.measured_seconds},
          {"goodput_tokens_per_second",
           static_cast<double>(run.good_tokens) / run.measured_seconds},
          {"fairness", JainIndex(run.workspace_service)},
          {"cold_violations", run.cold_violations},
          {"out_dispatches", run.out_dispatches},
          {"sends_over_requests", run.requests == 0
                                      ? 0.0
                                      : static_cast<double>(run.sends) /
                                            static_cast<double>(run.requests)},
          {"seconds_to_warm", run.seconds_to_warm}};
}

}  // namespace wist::bench
