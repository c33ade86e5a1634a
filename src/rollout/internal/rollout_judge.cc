#include "rollout/rollout_judge.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

// Responses of one version in one stratum from which a period is compared, and
// the time after which it is compared with fewer.
constexpr std::uint32_t kMinCompared = 10;
constexpr milliseconds kMaxWait{2000};

// Sums that are smaller than before for this time are taken as the new state:
// an instance has ended. A single lost report does not reduce them as long.
constexpr milliseconds kMaxReduction{2000};

// With a smaller share of old responses, as in the shift, the new responses are
// compared with the earlier behaviour of the old version.
constexpr double kMinOldShare = 0.2;

// Odds ratios up to which a difference is no fault of the version: the versions
// are on different machines, and during the shift they are compared over
// different periods.
constexpr double kFailureTolerance = 1.3;
constexpr double kSlownessTolerance = 2;
constexpr double kShiftTolerance = 1.5;

// Bounds of what is expected of a version that served no comparable responses.
constexpr double kMinFailureRate = 0.004;
constexpr double kMinSlownessRate = 0.05;
constexpr double kUnknownFailureRate = 0.1;
constexpr double kUnknownSlownessRate = 0.3;

// A response is slow if it takes at least the square root of two times as long
// as this share of the old ones.
constexpr double kFastShare = 0.8;

// Evidence, as logarithm, by which a version has to stay below the bound for a
// bad one to be found good.
constexpr double kGoodMargin = 4;

std::uint32_t CountFrom(const response_counts& counts, std::size_t bucket) {
  std::uint32_t sum = 0;
  for (std::size_t i = bucket; i < response_counts::kBuckets; ++i)
    sum += counts.latencies[i];
  return sum;
}

// Returns the first bucket of slow responses; nothing without enough old ones.
std::optional<std::size_t> SlowBucket(const response_counts& old_version) {
  const std::uint32_t timed = old_version.timed();
  if (timed < kMinCompared)
    return std::nullopt;
  std::uint32_t sum = 0;
  std::size_t bucket = 0;
  while (sum < kFastShare * timed)
    sum += old_version.latencies[bucket++];
  return bucket + 1;
}

// Upper estimate of the rate of events: one standard deviation above the mean.
double ExpectedRate(std::uint32_t events,
                    std::uint32_t responses,
                    double min_rate,
                    double unknown_rate) {
  if (responses < kMinCompared)
    return unknown_rate;
  const double count = events + 1;
  return std::clamp((count + std::sqrt(count)) / (responses + 2), min_rate,
                    0.9);
}

event_counts Compare(std::uint32_t new_events,
                     std::uint32_t new_responses,
                     std::uint32_t old_events,
                     std::uint32_t old_responses,
                     double expected_rate) {
  const bool compared =
      old_responses > kMinOldShare * (old_responses + new_responses);
  event_counts counts;
  counts.new_events = new_events;
  counts.new_responses = new_responses;
  counts.old_events = compared ? old_events : 0;
  counts.old_responses = compared ? old_responses : 0;
  counts.expected_rate =
      compared ? 0
               : kShiftTolerance * expected_rate /
                     (1 - expected_rate + kShiftTolerance * expected_rate);
  return counts;
}

std::uint32_t Responses(const stratum_counts& counts) {
  return counts.old_version.responses + counts.new_version.responses;
}

}  // namespace

const char* ToString(bad_reason reason) {
  switch (reason) {
    case bad_reason::failures:
      return "failures";
    case bad_reason::slowness:
      return "slowness";
    case bad_reason::too_few_samples:
      return "too_few_samples";
    case bad_reason::found_by_peer:
      return "found_by_peer";
  }
  return "unknown";
}

rollout_judge::rollout_judge(const judge_settings& settings)
    : settings_(settings) {}

void rollout_judge::Update(const version_samples& sums, timestamp now) {
  sums_ = sums;
  if (updated_at_ && now < *updated_at_ + settings_.period)
    return;
  updated_at_ = now;
  std::map<std::uint32_t, response_counts> old_versions;
  for (const auto& [stratum, counts] : sums.strata())
    old_versions[stratum.route].Merge(counts.old_version);
  period_counts period;
  for (const auto& [stratum, counts] : sums.strata()) {
    CompareStratum(stratum, counts, old_versions[stratum.route], now, period);
  }
  for (const auto& [id, strata] : period) {
    tests_[id].AddPeriod(strata, id.reason == bad_reason::failures
                                     ? kFailureTolerance
                                     : kSlownessTolerance);
  }
  if (!std::holds_alternative<bad_verdict>(verdict_))
    Decide();
}

void rollout_judge::CompareStratum(const sample_stratum& stratum,
                                   const stratum_counts& counts,
                                   const response_counts& old_of_route,
                                   timestamp now,
                                   period_counts& period) {
  stratum_state& state =
      strata_.try_emplace(stratum, stratum_state{{}, now, {}}).first->second;
  if (Responses(counts) >= Responses(state.compared)) {
    state.reduced_since.reset();
  } else if (!state.reduced_since) {
    state.reduced_since = now;
  } else if (now >= *state.reduced_since + kMaxReduction) {
    state = {counts, now, {}};
  }
  const response_counts old_version =
      counts.old_version.Since(state.compared.old_version);
  const response_counts new_version =
      counts.new_version.Since(state.compared.new_version);
  if (old_version.responses < kMinCompared &&
      new_version.responses < kMinCompared &&
      now < state.compared_at + kMaxWait)
    return;
  const response_counts& earlier = counts.old_version.timed() >= kMinCompared
                                       ? counts.old_version
                                       : old_of_route;
  const auto add = [&](bad_reason reason, event_counts events) {
    events.domain = stratum.domain;
    period[{reason, 0}].push_back(events);
    if (stratum.route != 0)
      period[{reason, stratum.route}].push_back(events);
  };
  if (new_version.responses > 0) {
    add(bad_reason::failures,
        Compare(new_version.bad, new_version.responses, old_version.bad,
                old_version.responses,
                ExpectedRate(earlier.bad, earlier.responses, kMinFailureRate,
                             kUnknownFailureRate)));
  }
  const std::optional<std::size_t> slow = SlowBucket(earlier);
  if (slow && new_version.timed() > 0) {
    add(bad_reason::slowness,
        Compare(CountFrom(new_version, *slow), new_version.timed(),
                CountFrom(old_version, *slow), old_version.timed(),
                ExpectedRate(CountFrom(earlier, *slow), earlier.timed(),
                             kMinSlownessRate, kUnknownSlownessRate)));
  }
  state.compared.old_version.RaiseTo(counts.old_version);
  state.compared.new_version.RaiseTo(counts.new_version);
  state.compared_at = now;
}

void rollout_judge::Decide() {
  const double bound =
      std::log(static_cast<double>(std::max<std::size_t>(tests_.size(), 1)) /
               settings_.false_alarm_rate);
  bool is_suspect = false;
  for (const auto& [id, test] : tests_) {
    const double evidence = test.LogEvidence();
    if (evidence >= bound && test.new_events() >= settings_.min_events) {
      verdict_ = bad_verdict{id.reason, id.route};
      return;
    }
    is_suspect = is_suspect || evidence >= bound - kGoodMargin;
  }
  if (!is_suspect &&
      sums_.Total().new_version.responses >= settings_.min_responses)
    verdict_ = good_verdict{};
  else
    verdict_ = undecided_verdict{};
}

}  // namespace wist
