#ifndef PEERS_PEER_REPORT_H_
#define PEERS_PEER_REPORT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limits/crash_types.h"
#include "rollout/rollout_tracker.h"
#include "selection/selection_types.h"

namespace wist {

// Role of a neighbor in the watch tree. The roots of the failure domains are
// neighbors of each other.
enum class neighbor_role { parent, child, root };

// Roll-outs whose sums an instance passes on at most.
inline constexpr std::size_t kMaxReportedRollouts = 16;

// What one or more instances have observed of one roll-out.
struct rollout_sums {
  rollout_id id;
  version_samples samples;
  // Sum of rollout_view::unfinished_here.
  std::uint64_t unfinished = 0;
  // Number of instances in the sums.
  std::uint32_t instances = 0;
  // Age of the oldest of their reports.
  microseconds age{0};
  // At least one of them has found the new version bad.
  bool found_bad = false;

  bool operator==(const rollout_sums&) const = default;
};

// Message of one instance to a neighbor in the watch tree. Messages of one
// instance to one neighbor are ordered by (started_at, sequence_number).
struct peer_report {
  std::string instance;
  std::int64_t started_at = 0;  // Start of the instance, in Unix microseconds.
  std::uint64_t sequence_number = 0;
  // Role that the receiver has for the sender.
  neighbor_role receiver_role = neighbor_role::parent;
  // The sender no longer uses the receiver in this role.
  bool detaches = false;
  // The load of all instances on the sender's side of the link, for the targets
  // for which it changed and, from time to time, for all.
  std::vector<target_load> loads;
  std::vector<crash_notice> crashes;
  // Sums of all instances on the sender's side of the link. Empty, and not part
  // of the encoding, unless a roll-out is active.
  std::vector<rollout_sums> rollouts;

  bool operator==(const peer_report&) const = default;
};

std::string EncodePeerReport(const peer_report& report);

// Returns nothing if the bytes cannot be decoded.
std::optional<peer_report> DecodePeerReport(std::string_view bytes);

}  // namespace wist

#endif  // PEERS_PEER_REPORT_H_
