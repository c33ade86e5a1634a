#ifndef SELECTION_PREFILL_ESTIMATOR_H_
#define SELECTION_PREFILL_ESTIMATOR_H_

#include <cstdint>

#include "framework/base/time_types.h"

namespace wist {

// Estimates how long the engines of a service take to process prompts (prefill)
// from the observed times to first output. Reads no clock.
class prefill_estimator {
 public:
  prefill_estimator();

  // Records that the first output came after `took`, when `tokens` prompt
  // tokens were to be processed before it.
  void OnFirstOutput(std::int64_t tokens, microseconds took);

  // Returns the expected time to the first output when `tokens` prompt tokens
  // are to be processed before it.
  microseconds EstimateTime(std::int64_t tokens) const;

 private:
  double microseconds_per_token_;
};

}  // namespace wist

#endif  // SELECTION_PREFILL_ESTIMATOR_H_
