#ifndef ROLLOUT_ROLLOUT_JUDGE_H_
#define ROLLOUT_ROLLOUT_JUDGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "framework/base/time_types.h"
#include "rollout/version_samples.h"

namespace wist {

struct undecided_verdict {
  auto operator<=>(const undecided_verdict&) const = default;
};

// No difference was found, with enough responses of the new version.
struct good_verdict {
  auto operator<=>(const good_verdict&) const = default;
};

enum class bad_reason { failures, slowness, too_few_samples };

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
  double false_alarm_rate = 1e-4;
  // Responses of the new version from which it can be good.
  std::uint32_t min_responses = 8;
  // Bad responses of the new version below which it is not found bad.
  std::uint32_t min_bad = 5;
  // The samples are compared in periods of at least this length.
  milliseconds period{500};
  // Number of periods over which the false alarms are divided.
  std::uint32_t expected_periods = 100;
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
  const judge_settings settings_;
  rollout_verdict verdict_;
  version_samples sums_;
};

}  // namespace wist

#endif  // ROLLOUT_ROLLOUT_JUDGE_H_
