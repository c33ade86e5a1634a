#ifndef ROLLOUT_VERSION_SAMPLES_H_
#define ROLLOUT_VERSION_SAMPLES_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "framework/base/time_types.h"

namespace wist {

// Side of a roll-out to which a target belongs.
enum class version_side { old_version, new_version };

// One response of a target, as the instance that sent the request saw it. A
// response that rejects the request as not run is no sample.
struct response_sample {
  // The target's own failure, broken, malformed or timed out.
  bool is_bad = false;
  // Time to the first event of a stream, or to the end of another response.
  // Nothing if it is no sample of the version: for bad responses, cold
  // targets, and targets whose domain was just partitioned.
  std::optional<microseconds> latency;

  auto operator<=>(const response_sample&) const = default;
};

// Counts of the responses of one version in one stratum. All counters only
// grow while an instance runs.
struct response_counts {
  // Bounds of the latency buckets grow by a factor of the square root of two
  // from 1 ms; the last bucket begins at 46 s.
  static constexpr std::size_t kBuckets = 33;

  std::uint32_t responses = 0;
  std::uint32_t bad = 0;
  std::array<std::uint32_t, kBuckets> latencies{};

  void Add(const response_sample& sample);
  void Merge(const response_counts& other);
  // Counts since `earlier`; a counter that has become smaller (an instance
  // ended or its report is missing) counts as unchanged.
  response_counts Since(const response_counts& earlier) const;
  // Raises each counter to that of `other` if it is larger.
  void RaiseTo(const response_counts& other);
  std::uint32_t timed() const;  // Responses with a latency.

  auto operator<=>(const response_counts&) const = default;
};

// Returns the bucket of a latency.
std::size_t LatencyBucket(microseconds latency);

// Responses are compared within one stratum only: on one route, by targets of
// one failure domain. Both are stable hashes of the names, never 0.
struct sample_stratum {
  std::uint32_t route = 0;
  std::uint32_t domain = 0;

  auto operator<=>(const sample_stratum&) const = default;
};

struct stratum_counts {
  response_counts old_version;
  response_counts new_version;

  response_counts& Of(version_side side);
  const response_counts& Of(version_side side) const;
  auto operator<=>(const stratum_counts&) const = default;
};

// Sums of the responses to one service during one roll-out, over one or more
// instances. Holds at most `kMaxStrata` strata: further ones are counted in
// the stratum {0, 0}.
class version_samples {
 public:
  static constexpr std::size_t kMaxStrata = 48;

  void Add(const sample_stratum& stratum,
           version_side side,
           const response_sample& sample);
  // Adds the counts of one stratum; decoders build samples with it.
  void Add(const sample_stratum& stratum, const stratum_counts& counts);
  void Merge(const version_samples& other);
  version_samples Since(const version_samples& earlier) const;

  // Sums over all strata.
  stratum_counts Total() const;
  const std::map<sample_stratum, stratum_counts>& strata() const {
    return strata_;
  }

  bool operator==(const version_samples&) const = default;

 private:
  stratum_counts& At(const sample_stratum& stratum);

  std::map<sample_stratum, stratum_counts> strata_;
};

}  // namespace wist

#endif  // ROLLOUT_VERSION_SAMPLES_H_
