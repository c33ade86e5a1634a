#include "rollout/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

// Stands for the logarithm of zero.
constexpr double kLogZero = -1e6;

// A domain is left out only if the others hold at least this share of the new
// version's responses. Otherwise a bad version in front of which one domain
// dominates would be found late.
constexpr double kMinShareOfOthers = 1.0 / 3;

// Interval of the times at which a version may have turned bad. More of them
// would need more evidence in each.
constexpr milliseconds kStartInterval{1000};

double LogAdd(double a, double b) {
  const double larger = std::max(a, b);
  return larger + std::log1p(std::exp(std::min(a, b) - larger));
}

double LogLikelihoodRatio(const event_counts& counts,
                          double tolerance,
                          double odds_ratio) {
  // With old responses, each event is on the new version with the new version's
  // share of the responses; without, each new response is an event with the
  // expected rate.
  const bool compared = counts.old_responses > 0;
  const double share =
      compared
          ? counts.new_responses / (counts.new_responses + counts.old_responses)
          : counts.expected_rate;
  const double trials =
      compared ? counts.new_events + counts.old_events : counts.new_responses;
  const double null = tolerance * share / (1 - share + tolerance * share);
  return counts.new_events * std::log(odds_ratio) -
         trials * std::log(1 - null + odds_ratio * null);
}

template <typename LogEvidence>
double LogMean(const LogEvidence& evidence) {
  double sum = kLogZero;
  for (const double value : evidence)
    sum = LogAdd(sum, value);
  return sum - std::log(static_cast<double>(evidence.size()));
}

}  // namespace

sequential_test::log_evidence sequential_test::NoEvidence() {
  log_evidence none;
  none.fill(kLogZero);
  return none;
}

void sequential_test::AddPeriod(const std::vector<event_counts>& strata,
                                double tolerance,
                                timestamp now) {
  // Probability that the version turned bad at the beginning of this period.
  // The sum over all periods is 1.
  double log_start = kLogZero;
  if (!last_start_at_ || now >= *last_start_at_ + kStartInterval) {
    last_start_at_ = now;
    log_start = -std::log((starts_ + 1) * (starts_ + 2));
    ++starts_;
  }
  for (const event_counts& counts : strata) {
    domains_.try_emplace(counts.domain, domain_state{all_, 0})
        .first->second.new_responses += counts.new_responses;
    new_events_ += counts.new_events;
    new_responses_ += counts.new_responses;
  }
  for (std::size_t i = 0; i < kOddsRatios.size(); ++i) {
    double sum = 0;
    std::map<std::uint32_t, double> of_domain;
    for (const event_counts& counts : strata) {
      const double log_ratio =
          LogLikelihoodRatio(counts, tolerance, kOddsRatios[i]);
      of_domain[counts.domain] += log_ratio;
      sum += log_ratio;
    }
    const auto add = [log_start](double& evidence, double log_ratio) {
      evidence = std::max(LogAdd(evidence, log_start) + log_ratio, kLogZero);
    };
    add(all_[i], sum);
    for (auto& [domain, state] : domains_) {
      const auto found = of_domain.find(domain);
      add(state.without[i],
          found == of_domain.end() ? sum : sum - found->second);
    }
  }
}

double sequential_test::LogEvidence() const {
  return LogMean(all_);
}

double sequential_test::LogEvidenceWithoutAnyDomain() const {
  double smallest = LogEvidence();
  for (const auto& [domain, state] : domains_) {
    if (new_responses_ - state.new_responses >=
        kMinShareOfOthers * new_responses_)
      smallest = std::min(smallest, LogMean(state.without));
  }
  return smallest;
}

}  // namespace wist
