#ifndef ENTRY_INTERNAL_OUTPUT_OBSERVER_H_
#define ENTRY_INTERNAL_OUTPUT_OBSERVER_H_

#include <optional>
#include <utility>

#include "limits/crash_types.h"
#include "node/i_request_limits.h"

namespace wist {

// Observes the output of one run of a generation and reports to the limits that
// its prompt does not crash targets. Reads no clock.
class output_observer {
 public:
  output_observer(i_request_limits& limits, generation_identity generation)
      : limits_(limits), generation_(std::move(generation)) {}

  void OnToken(timestamp now);

  // The whole response was received.
  void OnEnd();

  // Returns what may have crashed the target if it crashes now.
  generation_identity Suspects() const;

 private:
  i_request_limits& limits_;
  const generation_identity generation_;
  std::optional<timestamp> first_token_at_;
  bool has_settled_ = false;
};

}  // namespace wist

#endif  // ENTRY_INTERNAL_OUTPUT_OBSERVER_H_
