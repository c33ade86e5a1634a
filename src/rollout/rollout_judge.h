#ifndef ROLLOUT_ROLLOUT_JUDGE_H_
#define ROLLOUT_ROLLOUT_JUDGE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "framework/base/time_types.h"
#include "rollout/sequential_test.h"
#include "rollout/version_samples.h"

namespace wist {

struct undecided_verdict {
  auto operator<=>(const undecided_verdict&) const = default;
};

// No difference was found, with enough responses of the new version.
struct good_verdict {
  auto operator<=>(const good_verdict&) const = default;
};

enum class bad_reason {
  failures,
  slowness,
  too_few_samples,  // Until the deadline, or no clear result.
  found_by_peer,    // Another instance has found the version bad.
};

struct bad_verdict {
  bad_reason reason = bad_reason::failures;
  std::uint32_t route = 0;  // 0 for all routes together.

  auto operator<=>(const bad_verdict&) const = default;
};

using rollout_verdict =
    std::variant<undecided_verdict, good_verdict, bad_verdict>;

const char* ToString(bad_reason reason);

struct judge_settings {
  // Upper limit of the probability that a version without a difference is ever
  // found bad, however often the judge looks.
  double false_alarm_rate = 3e-4;
  // Responses of the new version from which it can be good.
  std::uint32_t min_responses = 8;
  // Bad or slow responses of the new version from which it can be bad.
  std::uint32_t min_events = 5;
  // The samples are compared in periods of at least this length.
  milliseconds period{250};

  auto operator<=>(const judge_settings&) const = default;
};

// Compares the responses of the old and the new version over the same period on
// the same route and in the same domain. Reads no clock.
class rollout_judge {
 public:
  explicit rollout_judge(const judge_settings& settings = {});

  // Takes the sums since the roll-out began.
  void Update(const version_samples& sums, timestamp now);

  // A bad verdict is final.
  const rollout_verdict& verdict() const { return verdict_; }
  const version_samples& sums() const { return sums_; }

 private:
  struct stratum_state {
    // Largest counts that were compared, by each kind of comparison.
    stratum_counts by_shares;
    timestamp shares_compared_at;
    stratum_counts by_rates;
    // Since when the sums are below the compared ones.
    std::optional<timestamp> reduced_since;
  };
  // How the responses of both versions are compared.
  enum class comparison {
    // The new version's share of the events with its share of the responses in
    // the same period.
    shares,
    // The new version's rate of events with that of the old one, the larger of
    // the recent rate and the one since the beginning.
    rates
  };
  struct test_id {
    bad_reason reason = bad_reason::failures;
    std::uint32_t route = 0;  // 0 for all routes together.
    comparison compared = comparison::shares;

    auto operator<=>(const test_id&) const = default;
  };
  // Responses of the old version with which new ones are compared.
  struct baseline {
    response_counts all;
    response_counts recent;
  };
  struct dated_samples {
    timestamp at;
    version_samples samples;
  };
  using period_counts = std::map<test_id, std::vector<event_counts>>;

  void HandleReduction(const stratum_counts& counts,
                       stratum_state& state,
                       timestamp now);
  void CompareShares(const sample_stratum& stratum,
                     const stratum_counts& counts,
                     const response_counts& all_old,
                     stratum_state& state,
                     timestamp now,
                     period_counts& period);
  void CompareRates(const sample_stratum& stratum,
                    const stratum_counts& counts,
                    const baseline& old_version,
                    stratum_state& state,
                    period_counts& period);
  void Decide();

  const judge_settings settings_;
  rollout_verdict verdict_;
  version_samples sums_;
  std::optional<timestamp> updated_at_;
  std::deque<dated_samples> recent_;
  std::map<sample_stratum, stratum_state> strata_;
  std::map<test_id, sequential_test> tests_;
};

}  // namespace wist

#endif  // ROLLOUT_ROLLOUT_JUDGE_H_
