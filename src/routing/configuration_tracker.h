#ifndef ROUTING_CONFIGURATION_TRACKER_H_
#define ROUTING_CONFIGURATION_TRACKER_H_

#include <memory>
#include <optional>

#include "routing/route_table.h"

namespace wist {

// Holds the newest configuration received and the time at which the store last
// confirmed it. The version never decreases.
class configuration_tracker {
 public:
  // Replaces the configuration if `configuration`, which the store held at
  // `confirmed_at` or later, is newer. Returns whether it was.
  bool UpdateIfNewer(routing_configuration configuration,
                     timestamp confirmed_at);

  // Records that the store held no version newer than `version` at
  // `confirmed_at`.
  void Confirm(std::int64_t version, timestamp confirmed_at);

  // Null before the first configuration.
  const std::shared_ptr<const route_table>& table() const { return table_; }
  std::int64_t version() const;

  // Whether the last confirmation is less than `validity` old, so that requests
  // that need an API key may run: a key revoked in the store stops being
  // accepted within `validity`.
  bool IsFresh(timestamp now, milliseconds validity) const;

  // Returns the time since the last confirmation; nothing before the first.
  std::optional<microseconds> ConfirmationAge(timestamp now) const;

 private:
  std::shared_ptr<const route_table> table_;
  std::optional<timestamp> confirmed_at_;
};

}  // namespace wist

#endif  // ROUTING_CONFIGURATION_TRACKER_H_
