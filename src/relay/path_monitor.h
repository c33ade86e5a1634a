#ifndef RELAY_PATH_MONITOR_H_
#define RELAY_PATH_MONITOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "directory/directory_types.h"
#include "framework/base/time_types.h"

namespace wist {

// Decides whether this instance has lost its paths to the targets, from the
// outcomes of new connections to them. Connections that were open before are no
// evidence: they may stay open while new ones are refused. Nor are responses:
// those to long prompts take seconds. Reads no clock.
class path_monitor {
 public:
  // A new connection to the target, begun at `started_at`, could not be opened.
  // `target_count` is the number of targets that accept new work. Returns
  // whether the paths count as lost from now on.
  bool OnUnreachable(const target_id& target,
                     timestamp started_at,
                     timestamp now,
                     std::size_t target_count);

  // A new connection to a target, begun at `started_at`, was opened. Returns
  // whether the paths are usable again from now on.
  bool OnConnected(timestamp started_at);

  bool IsLost() const { return is_lost_; }

  // Whether a target was unreachable recently and none was reached since.
  bool IsSuspected(timestamp now) const;

  // While the paths are lost, a request is sent to a target in each interval,
  // to find out whether they still are. Returns whether this one is. The
  // interval is shorter for requests that no other instance accepts: where many
  // targets end at once, all instances may consider their paths lost.
  bool TryConsumeDirectTry(timestamp now, bool others_accept);

  // Targets that could not be reached since one last was.
  std::vector<target_id> UnreachableTargets() const;

 private:
  struct failed_connection {
    timestamp started_at;
    timestamp failed_at;
  };

  std::map<target_id, failed_connection> unreachable_;
  bool is_lost_ = false;
  // New connections since the last one that failed, while the paths are lost.
  int connection_count_ = 0;
  std::optional<timestamp> last_direct_try_;
};

}  // namespace wist

#endif  // RELAY_PATH_MONITOR_H_
