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

// An instance as it announced itself.
struct known_instance {
  std::string name;
  domain_id domain;
  http_address address;
  // Rate of its link, in Mbit/s.
  std::int64_t link_rate = 0;

  auto operator<=>(const known_instance&) const = default;
};

std::string EncodeInstance(const known_instance& instance);

// Returns nothing if the text is no instance.
std::optional<known_instance> DecodeInstance(const std::string& name,
                                             const std::string& text);

// Instances that one instance tells of the store's changes.
inline constexpr std::size_t kWatchFanOut = 8;

// Returns whom `self` asks for the store's changes. The live instances of each
// failure domain form a tree; the roots of the domains ask one of them, which
// asks the store itself. Nothing for that one. All instances that know the same
// live ones build the same tree.
//
// `self_last` finds another instance for one that is to ask the store but
// can't.
std::optional<known_instance> WatchParent(
    const known_instance& self,
    const std::vector<known_instance>& live,
    bool self_last = false);

}  // namespace wist

#endif  // PEERS_WATCH_PLAN_H_
