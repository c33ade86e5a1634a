#ifndef BENCH_POLICY_MEASURES_H_
#define BENCH_POLICY_MEASURES_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "framework/base/time_types.h"

namespace wist::bench {

// Counts times in steps of 2% between 10 us and 100 s.
class time_histogram {
 public:
  void Add(microseconds span);
  double Quantile(double part) const;  // In milliseconds.
  std::uint64_t count() const { return count_; }

 private:
  std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(900);
  std::uint64_t count_ = 0;
};

// What one run measured.
struct measures {
  time_histogram between_tokens;
  time_histogram first_token;
  microseconds longest_stall{0};
  microseconds stall_time{0};
  std::uint64_t tokens = 0;
  std::uint64_t requests = 0;
  std::uint64_t finished = 0;
  std::uint64_t finished_in_time = 0;
  std::uint64_t good_tokens = 0;
  std::uint64_t lost = 0;
  std::uint64_t left = 0;
  std::map<std::string, std::uint64_t> refusals;
  std::uint64_t preemptions = 0;
  std::uint64_t cold_violations = 0;
  std::uint64_t out_dispatches = 0;
  std::uint64_t sends = 0;
  double seconds_to_warm = 0;
  std::vector<double> workspace_service;  // Good tokens over share.
  std::vector<std::uint64_t> good_tokens_a_second;
  double measured_seconds = 0;
};

// Jain's index of fairness: 1 if all values are equal.
double JainIndex(const std::vector<double>& values);

nlohmann::json ToJson(const measures& run);

}  // namespace wist::bench

#endif  // BENCH_POLICY_MEASURES_H_
