#include "rollout/rollout_judge.h"

namespace wist {

const char* ToString(bad_reason reason) {
  switch (reason) {
    case bad_reason::failures:
      return "failures";
    case bad_reason::slowness:
      return "slowness";
    case bad_reason::too_few_samples:
      return "too_few_samples";
  }
  return "unknown";
}

rollout_judge::rollout_judge(const judge_settings& settings)
    : settings_(settings) {}

void rollout_judge::Update(const version_samples& sums, timestamp) {
  sums_ = sums;
  if (sums_.Total().new_version.responses >= settings_.min_responses)
    verdict_ = good_verdict{};
}

}  // namespace wist
