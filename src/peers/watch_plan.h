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

  auto operator<=>(const known_instance&) const = default;
};

// Encodes an announcement that is written under the lease `lease`.
std::string EncodeInstance(const known_instance& instance,
                           std::int64_t lease = 0);

// Returns nothing if the text cannot be decoded.
std::optional<known_instance> DecodeInstance(const std::string& name,
                                             const std::string& text);

// Returns the lease under which an announcement was written, if it names one.
std::optional<std::int64_t> DecodeLease(const std::string& text);

// Maximum number of children of a node in the tree of a failure domain.
inline constexpr std::size_t kWatchFanOut = 8;

// Whether `left` precedes `right` in the order of instances in all trees.
bool PrecedesInTree(const known_instance& left, const known_instance& right);

// Returns the rank of the parent of the instance with rank `rank`, which is not
// 0, in the order of the instances of a domain.
inline constexpr std::size_t ParentRank(std::size_t rank) {
  return (rank - 1) / kWatchFanOut;
}

// Returns the parent of `self` in the tree of its failure domain, which
// consists of `self` and the instances of the domain in `live`. The parent
// precedes `self`. Returns nothing for the root.
std::optional<known_instance> FindDomainParent(
    const known_instance& self,
    const std::vector<known_instance>& live);

// Returns the instance from which `self` reads the changes of the store: its
// parent in the watch tree. The live instances of each failure domain form a
// tree. The roots of the domains read from one of these roots, which reads from
// the store; for that root the result is empty. All instances that know the
// same live instances compute the same tree.
//
// `store_refuses_self` also returns an instance for the one that should read
// from the store, because the store rejects its calls.
std::optional<known_instance> FindWatchParent(
    const known_instance& self,
    const std::vector<known_instance>& live,
    bool store_refuses_self = false);

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
