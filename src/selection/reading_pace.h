#ifndef SELECTION_READING_PACE_H_
#define SELECTION_READING_PACE_H_

#include <cstdint>

#include "framework/base/time_types.h"

namespace wist {

// How fast the engines of a service read prompts, learnt from the times of
// first outputs. Reads no clock.
class reading_pace {
 public:
  reading_pace();

  // `tokens` were to be read, and the first output came after `took`.
  void OnFirstOutput(std::int64_t tokens, microseconds took);

  // Expected time until the first output.
  microseconds TimeFor(std::int64_t tokens) const;

 private:
  double microseconds_per_token_;
};

}  // namespace wist

#endif  // SELECTION_READING_PACE_H_
