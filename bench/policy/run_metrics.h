#ifndef BENCH_POLICY_RUN_METRICS_H_
#define BENCH_POLICY_RUN_METRICS_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "framework/base/time_types.h"

namespace wist::bench {

// Histogram of durations. Bucket widths grow by 2%, starting at 10 us; the last
// bucket also counts all longer durations.
class latency_histogram {
 public:
  void Record(microseconds duration);
  // Returns the quantile in milliseconds, or 0 if the histogram is empty.
  double Quantile(double quantile) const;
  std::uint64_t count() const { return count_; }

 private:
  std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(900);
  std::uint64_t count_ = 0;
};

// Metrics of one run. The warm-up is included only in `cold_violations`,
// `dispatches_to_out_domains` and `seconds_to_warm`.
struct run_metrics {
  latency_histogram between_tokens;
  latency_histogram first_token;
  microseconds longest_stall{0};
  // Sum over all token gaps of the time by which they exceed the stall
  // threshold.
  microseconds stall_time{0};
  std::uint64_t tokens = 0;
  std::uint64_t requests = 0;
  std::uint64_t finished = 0;
  std::uint64_t finished_in_time = 0;
  std::uint64_t goodput_tokens = 0;
  std::uint64_t lost = 0;       // Failed and not resubmitted.
  std::uint64_t abandoned = 0;  // The caller timed out before the first token.
  std::map<std::string, std::uint64_t> refusals;
  std::uint64_t preemptions = 0;
  std::uint64_t cold_violations = 0;
  std::uint64_t dispatches_to_out_domains = 0;
  std::uint64_t dispatches = 0;
  double seconds_to_warm = 0;
  // Goodput tokens of each workspace divided by its relative demand.
  std::vector<double> relative_workspace_service;
  std::vector<std::uint64_t> goodput_tokens_per_second;
  double measured_seconds = 0;
};

// Returns Jain's fairness index, which is 1 if all values are equal.
double JainIndex(const std::vector<double>& values);

nlohmann::json ToJson(const run_metrics& metrics);

}  // namespace wist::bench

#endif  // BENCH_POLICY_RUN_METRICS_H_
