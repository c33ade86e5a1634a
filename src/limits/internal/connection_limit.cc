#include "limits/connection_limit.h"

#include <utility>

namespace wist {
namespace {

// A request that has been arriving for less than this time is not interrupted.
constexpr milliseconds kMinReceiveTime{3000};

}  // namespace

// In the order of the phases, then by age: a connection that just opened has
// time to send its request while older ones are closed.
std::optional<std::size_t> ChooseConnectionToClose(
    const std::vector<connection_progress>& connections,
    timestamp now) {
  using rank = std::pair<connection_phase, timestamp>;
  std::optional<std::size_t> chosen;
  rank lowest;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const connection_progress& current = connections[i];
    if (current.phase == connection_phase::responding ||
        (current.phase == connection_phase::receiving &&
         now < current.since + kMinReceiveTime))
      continue;
    const rank candidate{current.phase, current.since};
    if (chosen && candidate >= lowest)
      continue;
    chosen = i;
    lowest = candidate;
  }
  return chosen;
}

}  // namespace wist
