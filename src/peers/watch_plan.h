#ifndef PEERS_WATCH_PLAN_H_
#define PEERS_WATCH_PLAN_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/http/http_types.h"

namespace wist {

// An instance as described by its announcement in the store.
struct known_instance {
  std::string name;
  domain_id domain;
  http_address address;
  // Rate of the instance's network link, in Mbit/s.
  std::int64_t link_mbps = 0;
  // Port that accepts relayed requests; 0 if the instance has none.
  std::uint16_t relay_port = 0;

  auto operator<=>(const known_instance&) const = default;
};

// An instance's entry in the store.
struct announcement {
  known_instance instance;
  // The lease under which the entry was written, if it names one.
  std::optional<std::int64_t> lease;

  auto operator<=>(const announcement&) const = default;
};

// Encodes the entry of an instance that is written under `lease`.
std::string EncodeAnnouncement(const known_instance& instance,
                               std::int64_t lease);

// Returns nothing if the text cannot be decoded.
std::optional<announcement> DecodeAnnouncement(const std::string& name,
                                               const std::string& text);

// Maximum number of children of a node in the tree of a failure domain.
inline constexpr std::size_t kWatchFanOut = 8;

// Whether `left` precedes `right` in the order of instances in all trees.
bool PrecedesInTree(const known_instance& left, const known_instance& right);

// Returns the rank of the parent of the instance with rank `rank`, which is not
// 0, in the order of the instances of a domain.
inline constexpr std::size_t ParentRank(std::size_t rank) {
  return (rank - 1) / kWatchFanOut;
}

// From where an instance reads the changes of the store.
struct mirror_source {
  // Nothing to read from the store itself.
  std::optional<known_instance> instance;
  // Time for which this instance leaves it to the instances above it in the
  // tree to find a source before it reads the store itself.
  milliseconds patience{0};

  auto operator<=>(const mirror_source&) const = default;
};

// Returns the patience of an instance with `depth` instances above it in the
// tree of its failure domain. The roots of the domains look for a source at
// once, and all others only where their roots find none: while the store is
// unavailable, each call costs and none succeeds.
milliseconds SourcePatience(std::size_t depth);

}  // namespace wist

#endif  // PEERS_WATCH_PLAN_H_
