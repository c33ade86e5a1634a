#include "rollout/version_samples.h"

#include <algorithm>
#include <numeric>

namespace wist {
namespace {

// Upper bounds of the latency buckets in microseconds, but for the last bucket.
constexpr std::array<std::int64_t, response_counts::kBuckets - 1> kBounds = [] {
  std::array<std::int64_t, response_counts::kBuckets - 1> bounds{};
  std::int64_t power = 1000;
  for (std::size_t i = 0; i < bounds.size(); i += 2, power *= 2) {
    bounds[i] = power;
    bounds[i + 1] = power * 1414 / 1000;
  }
  return bounds;
}();

std::uint32_t Grown(std::uint32_t now, std::uint32_t earlier) {
  return now > earlier ? now - earlier : 0;
}

}  // namespace

std::size_t LatencyBucket(microseconds latency) {
  const auto bound =
      std::upper_bound(kBounds.begin(), kBounds.end(), latency.count());
  return static_cast<std::size_t>(bound - kBounds.begin());
}

void response_counts::Add(const response_sample& sample) {
  ++responses;
  if (sample.is_bad)
    ++bad;
  if (sample.latency)
    ++latencies[LatencyBucket(*sample.latency)];
}

void response_counts::Merge(const response_counts& other) {
  responses += other.responses;
  bad += other.bad;
  for (std::size_t i = 0; i < kBuckets; ++i)
    latencies[i] += other.latencies[i];
}

response_counts response_counts::Since(const response_counts& earlier) const {
  response_counts since;
  since.responses = Grown(responses, earlier.responses);
  since.bad = Grown(bad, earlier.bad);
  for (std::size_t i = 0; i < kBuckets; ++i)
    since.latencies[i] = Grown(latencies[i], earlier.latencies[i]);
  return since;
}

void response_counts::RaiseTo(const response_counts& other) {
  responses = std::max(responses, other.responses);
  bad = std::max(bad, other.bad);
  for (std::size_t i = 0; i < kBuckets; ++i)
    latencies[i] = std::max(latencies[i], other.latencies[i]);
}

std::uint32_t response_counts::timed() const {
  return std::accumulate(latencies.begin(), latencies.end(), 0U);
}

response_counts& stratum_counts::Of(version_side side) {
  return side == version_side::new_version ? new_version : old_version;
}

const response_counts& stratum_counts::Of(version_side side) const {
  return side == version_side::new_version ? new_version : old_version;
}

stratum_counts& version_samples::At(const sample_stratum& stratum) {
  const auto found = strata_.find(stratum);
  if (found != strata_.end())
    return found->second;
  // One place is kept for the stratum {0, 0}.
  if (strata_.size() + 1 >= kMaxStrata)
    return strata_[sample_stratum{}];
  return strata_[stratum];
}

void version_samples::Add(const sample_stratum& stratum,
                          version_side side,
                          const response_sample& sample) {
  At(stratum).Of(side).Add(sample);
}

void version_samples::Add(const sample_stratum& stratum,
                          const stratum_counts& counts) {
  stratum_counts& sum = At(stratum);
  sum.old_version.Merge(counts.old_version);
  sum.new_version.Merge(counts.new_version);
}

void version_samples::Merge(const version_samples& other) {
  for (const auto& [stratum, counts] : other.strata_)
    Add(stratum, counts);
}

version_samples version_samples::Since(const version_samples& earlier) const {
  version_samples since;
  for (const auto& [stratum, counts] : strata_) {
    const auto found = earlier.strata_.find(stratum);
    const stratum_counts before =
        found == earlier.strata_.end() ? stratum_counts{} : found->second;
    since.strata_[stratum] = {counts.old_version.Since(before.old_version),
                              counts.new_version.Since(before.new_version)};
  }
  return since;
}

stratum_counts version_samples::Total() const {
  stratum_counts total;
  for (const auto& [stratum, counts] : strata_) {
    total.old_version.Merge(counts.old_version);
    total.new_version.Merge(counts.new_version);
  }
  return total;
}

}  // namespace wist
