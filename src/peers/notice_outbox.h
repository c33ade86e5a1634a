#ifndef PEERS_NOTICE_OUTBOX_H_
#define PEERS_NOTICE_OUTBOX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "framework/base/time_types.h"
#include "limits/crash_types.h"

namespace wist {

// Crash notices to be passed on to the neighbors. Each neighbor is sent each of
// them a few times, since any message may be lost. Not thread-safe; reads no
// clock.
class notice_outbox {
 public:
  // Returns whether the notice was not held yet.
  bool Add(const crash_notice& notice, timestamp now);

  // Whether a notice is due to be sent to the neighbor.
  bool HasDue(const std::string& neighbor, timestamp now) const;

  // Returns the notices that are due, and counts them as sent.
  std::vector<crash_notice> TakeDue(const std::string& neighbor, timestamp now);

  void ForgetNeighbor(const std::string& neighbor);

  // Drops the notices that were sent often enough.
  void Expire(timestamp now);

 private:
  static constexpr std::size_t kMaxSends = 4;

  using notice_key = std::pair<suspect_digest, std::optional<target_id>>;

  struct held_notice {
    // Its age counts until `added_at`.
    crash_notice notice;
    timestamp added_at;
  };

  // Number of the next notice to be sent for the first, second, ... time.
  using send_positions = std::array<std::uint64_t, kMaxSends>;

  send_positions PositionsOf(const std::string& neighbor) const;
  bool IsDue(std::uint64_t position, std::size_t send, timestamp now) const;

  std::deque<held_notice> notices_;  // In the order in which they were added.
  std::uint64_t first_number_ = 0;   // Number of the first of `notices_`.
  // When the crashes and outputs of the notices happened.
  std::map<notice_key, timestamp> happened_at_;
  std::map<std::string, send_positions> positions_;
};

}  // namespace wist

#endif  // PEERS_NOTICE_OUTBOX_H_
