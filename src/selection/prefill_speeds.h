#ifndef SELECTION_PREFILL_SPEEDS_H_
#define SELECTION_PREFILL_SPEEDS_H_

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "directory/directory_types.h"
#include "framework/base/time_types.h"

namespace wist {

// Estimates how fast each engine of a service processes prompts relative to the
// others, from how fast the prompt tokens that all instances have pending there
// decrease. Reads no clock.
class prefill_speeds {
 public:
  // Records the pending prompt tokens of an engine, which may have changed.
  void OnBacklog(const target_id& target,
                 std::int64_t pending_tokens,
                 timestamp now);

  // Returns the time that the engine takes for a prompt relative to the average
  // of the service; 1 if little is known about it.
  double RelativeTime(const target_id& target) const;

  // Discards the engines for which `is_removed` returns true.
  void Prune(const std::function<bool(const target_id&)>& is_removed);

 private:
  // Sums that decay exponentially.
  struct history {
    double busy_seconds = 0;  // In which there was a backlog.
    double processed_tokens = 0;
    timestamp updated_at{};

    void Add(double seconds, double tokens, timestamp now);
  };

  struct engine_state {
    history own;
    std::int64_t pending_tokens = 0;
    timestamp observed_at{};
  };

  std::unordered_map<target_id, engine_state> engines_;
  history service_;
};

}  // namespace wist

#endif  // SELECTION_PREFILL_SPEEDS_H_
