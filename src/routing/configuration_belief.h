#ifndef ROUTING_CONFIGURATION_BELIEF_H_
#define ROUTING_CONFIGURATION_BELIEF_H_

#include <memory>
#include <optional>

#include "routing/route_table.h"

namespace wist {

// The newest configuration seen and when the store last confirmed it. Versions
// never go back.
class configuration_belief {
 public:
  // Takes a configuration that the store held at `confirmed_at` or later.
  // Returns whether it is newer than the one held.
  bool Offer(routing_configuration configuration, timestamp confirmed_at);

  // The store held nothing newer than `version` at `confirmed_at`.
  void Confirm(std::int64_t version, timestamp confirmed_at);

  // Null before the first configuration.
  const std::shared_ptr<const route_table>& table() const { return table_; }
  std::int64_t version() const;

  // Whether requests under a key may run at `now`: a key that the store has
  // taken away since would be withdrawn within `validity`.
  bool IsFresh(timestamp now, milliseconds validity) const;

  // How old the last confirmation is; nothing before the first.
  std::optional<microseconds> Age(timestamp now) const;

 private:
  std::shared_ptr<const route_table> table_;
  std::optional<timestamp> confirmed_at_;
};

}  // namespace wist

#endif  // ROUTING_CONFIGURATION_BELIEF_H_
