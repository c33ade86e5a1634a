#include "rollout/rollout_judge.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

// Responses of the old version in one stratum and period from which shares are
// compared, and the time after which they are compared with fewer.
constexpr std::uint32_t kMinCompared = 10;
constexpr milliseconds kMaxWait{2000};

// With a smaller share of old responses, as in the shift, the shares tell
// nothing.
constexpr double kMinOldShare = 0.2;

// Period of the old version's recent rates.
constexpr milliseconds kRecentPeriod{2000};

// Sums that are smaller than before for this time are taken as the new state:
// an instance has ended. A single lost report does not reduce them as long.
constexpr milliseconds kMaxReduction{2000};

// Odds ratios up to which a difference is no fault of the version: the versions
// are on different machines. Rates are compared over different periods.
constexpr double kFailureTolerance = 1.3;
constexpr double kSlownessTolerance = 2;
constexpr double kFailureRateTolerance = 1.15;
constexpr double kSlownessRateTolerance = 1.5;

// Bounds of what is expected of a version, and what is expected if there were
// no comparable responses.
constexpr double kMinFailureRate = 0.004;
constexpr double kMinSlownessRate = 0.05;
constexpr double kMaxRate = 0.9;
constexpr double kUnknownFailureRate = 0.1;
constexpr double kUnknownSlownessRate = 0.3;

// A response is slow if it takes at least the square root of two times as long
// as this share of the old ones.
constexpr double kFastShare = 0.8;

// Evidence, as logarithm, by which a version has to stay below the bound for a
// bad one to be found good.
constexpr double kGoodMargin = 3;

// Part of the evidence that has to remain without any one domain.
constexpr double kPartWithoutDomain = 1.0 / 3;

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

double ExpectedRate(std::uint32_t events,
                    std::uint32_t responses,
                    std::uint32_t recent_events,
                    std::uint32_t recent_responses,
                    double min_rate,
                    double unknown_rate,
                    double tolerance) {
  if (responses < kMinCompared)
    return unknown_rate;
  // Half a standard deviation above the mean: with few responses, as early in a
  // roll-out, the rate is not known well.
  const double count = events + 1.0;
  double rate = (count + 0.5 * std::sqrt(count)) / (responses + 2.0);
  if (recent_responses >= kMinCompared)
    rate = std::max(rate, (recent_events + 0.5) / (recent_responses + 1.0));
  rate = std::clamp(rate, min_rate, kMaxRate);
  return tolerance * rate / (1 - rate + tolerance * rate);
}

std::uint32_t Responses(const stratum_counts& counts) {
  return counts.old_version.responses + counts.new_version.responses;
}

// Returns the counts of the stratum if they are enough, or those of the route.
const response_counts& Enough(const response_counts& of_stratum,
                              const response_counts& of_route) {
  return of_stratum.timed() >= kMinCompared ? of_stratum : of_route;
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
  recent_.push_back({now, sums});
  while (recent_.size() > 2 && recent_[1].at + kRecentPeriod <= now)
    recent_.pop_front();
  const version_samples recent = sums.Since(recent_.front().samples);
  std::map<std::uint32_t, baseline> of_routes;
  for (const auto& [stratum, counts] : sums.strata())
    of_routes[stratum.route].all.Merge(counts.old_version);
  for (const auto& [stratum, counts] : recent.strata())
    of_routes[stratum.route].recent.Merge(counts.old_version);

  period_counts period;
  for (const auto& [stratum, counts] : sums.strata()) {
    stratum_state& state =
        strata_.try_emplace(stratum, stratum_state{{}, now, {}, {}})
            .first->second;
    HandleReduction(counts, state, now);
    const baseline& of_route = of_routes[stratum.route];
    const response_counts& all = Enough(counts.old_version, of_route.all);
    CompareShares(stratum, counts, all, state, now, period);
    CompareRates(
        stratum, counts,
        {all, Enough(recent.strata().at(stratum).old_version, of_route.recent)},
        state, period);
  }
  for (const auto& [id, strata] : period) {
    tests_[id].AddPeriod(strata,
                         id.reason == bad_reason::failures ? kFailureTolerance
                                                           : kSlownessTolerance,
                         now);
  }
  if (!std::holds_alternative<bad_verdict>(verdict_))
    Decide();
}

void rollout_judge::HandleReduction(const stratum_counts& counts,
                                    stratum_state& state,
                                    timestamp now) {
  if (Responses(counts) >= Responses(state.by_rates)) {
    state.reduced_since.reset();
  } else if (!state.reduced_since) {
    state.reduced_since = now;
  } else if (now >= *state.reduced_since + kMaxReduction) {
    state = {counts, now, counts, {}};
  }
}

void rollout_judge::CompareShares(const sample_stratum& stratum,
                                  const stratum_counts& counts,
                                  const response_counts& all_old,
                                  stratum_state& state,
                                  timestamp now,
                                  period_counts& period) {
  const response_counts old_version =
      counts.old_version.Since(state.by_shares.old_version);
  const response_counts new_version =
      counts.new_version.Since(state.by_shares.new_version);
  if (old_version.responses < kMinCompared &&
      now < state.shares_compared_at + kMaxWait)
    return;
  const auto add = [&](bad_reason reason, double new_events,
                       double new_responses, double old_events,
                       double old_responses) {
    if (new_responses == 0 ||
        old_responses <= kMinOldShare * (old_responses + new_responses))
      return;
    const event_counts events{.domain = stratum.domain,
                              .new_events = new_events,
                              .new_responses = new_responses,
                              .old_events = old_events,
                              .old_responses = old_responses};
    period[{reason, 0, comparison::shares}].push_back(events);
    if (stratum.route != 0)
      period[{reason, stratum.route, comparison::shares}].push_back(events);
  };
  add(bad_reason::failures, new_version.bad, new_version.responses,
      old_version.bad, old_version.responses);
  if (const std::optional<std::size_t> slow = SlowBucket(all_old)) {
    add(bad_reason::slowness, CountFrom(new_version, *slow),
        new_version.timed(), CountFrom(old_version, *slow),
        old_version.timed());
  }
  state.by_shares.old_version.RaiseTo(counts.old_version);
  state.by_shares.new_version.RaiseTo(counts.new_version);
  state.shares_compared_at = now;
}

void rollout_judge::CompareRates(const sample_stratum& stratum,
                                 const stratum_counts& counts,
                                 const baseline& old_version,
                                 stratum_state& state,
                                 period_counts& period) {
  const response_counts new_version =
      counts.new_version.Since(state.by_rates.new_version);
  const auto add = [&](bad_reason reason, double new_events,
                       double new_responses, double expected_rate) {
    if (new_responses == 0)
      return;
    const event_counts events{.domain = stratum.domain,
                              .new_events = new_events,
                              .new_responses = new_responses,
                              .expected_rate = expected_rate};
    period[{reason, 0, comparison::rates}].push_back(events);
    if (stratum.route != 0)
      period[{reason, stratum.route, comparison::rates}].push_back(events);
  };
  add(bad_reason::failures, new_version.bad, new_version.responses,
      ExpectedRate(old_version.all.bad, old_version.all.responses,
                   old_version.recent.bad, old_version.recent.responses,
                   kMinFailureRate, kUnknownFailureRate,
                   kFailureRateTolerance));
  if (const std::optional<std::size_t> slow = SlowBucket(old_version.all)) {
    add(bad_reason::slowness, CountFrom(new_version, *slow),
        new_version.timed(),
        ExpectedRate(CountFrom(old_version.all, *slow), old_version.all.timed(),
                     CountFrom(old_version.recent, *slow),
                     old_version.recent.timed(), kMinSlownessRate,
                     kUnknownSlownessRate, kSlownessRateTolerance));
  }
  state.by_rates.old_version.RaiseTo(counts.old_version);
  state.by_rates.new_version.RaiseTo(counts.new_version);
}

void rollout_judge::Decide() {
  const double bound =
      std::log(static_cast<double>(std::max<std::size_t>(tests_.size(), 1)) /
               settings_.false_alarm_rate);
  bool is_suspect = false;
  for (const auto& [id, test] : tests_) {
    const double evidence =
        std::min(test.LogEvidence(),
                 test.LogEvidenceWithoutAnyDomain() / kPartWithoutDomain);
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
