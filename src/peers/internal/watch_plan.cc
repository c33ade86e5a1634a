#include "peers/watch_plan.h"

#include <sstream>
#include <stdexcept>
#include <tuple>

#include "framework/base/hashing.h"

namespace wist {

std::string EncodeAnnouncement(const known_instance& instance,
                               std::int64_t lease) {
  return instance.address.host + ":" + std::to_string(instance.address.port) +
         " " + instance.domain.text() + " " +
         std::to_string(instance.link_mbps) + " " + std::to_string(lease) +
         (instance.relay_port != 0 ? " " + std::to_string(instance.relay_port)
                                   : std::string());
}

std::optional<announcement> DecodeAnnouncement(const std::string& name,
                                               const std::string& text) {
  std::istringstream fields(text);
  std::string address;
  std::string domain;
  std::int64_t link_rate = 0;
  std::int64_t lease = 0;
  std::uint16_t relay_port = 0;
  if (!(fields >> address >> domain))
    return std::nullopt;
  // Announcements of earlier versions contain no link rate, lease or relay
  // port. A later one may contain further fields.
  if (!(fields >> link_rate))
    link_rate = 0;
  if (!(fields >> lease))
    lease = 0;
  if (!(fields >> relay_port))
    relay_port = 0;
  try {
    return announcement{{name, domain_id(domain), ParseHttpAddress(address),
                         link_rate, relay_port},
                        lease > 0 ? std::optional(lease) : std::nullopt};
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

// Instances with fast links come first, because a parent sends the whole
// configuration to each of its children.
bool PrecedesInTree(const known_instance& left, const known_instance& right) {
  return std::tuple(right.link_mbps, StableHash(left.name), left.name) <
         std::tuple(left.link_mbps, StableHash(right.name), right.name);
}

milliseconds SourcePatience(std::size_t depth) {
  constexpr milliseconds kChildPatience{1000};
  constexpr milliseconds kDescendantPatience{2500};
  if (depth == 0)
    return milliseconds(0);
  return depth == 1 ? kChildPatience : kDescendantPatience;
}

}  // namespace wist
