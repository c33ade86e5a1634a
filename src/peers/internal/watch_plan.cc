#include "peers/watch_plan.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <tuple>

#include "framework/base/hashing.h"

namespace wist {

std::string EncodeInstance(const known_instance& instance, std::int64_t lease) {
  return instance.address.host + ":" + std::to_string(instance.address.port) +
         " " + instance.domain.text() + " " +
         std::to_string(instance.link_mbps) + " " + std::to_string(lease);
}

std::optional<std::int64_t> DecodeLease(const std::string& text) {
  std::istringstream fields(text);
  std::string address;
  std::string domain;
  std::int64_t link_rate = 0;
  std::int64_t lease = 0;
  // Announcements of earlier versions contain no lease.
  if (!(fields >> address >> domain >> link_rate >> lease) || lease <= 0)
    return std::nullopt;
  return lease;
}

std::optional<known_instance> DecodeInstance(const std::string& name,
                                             const std::string& text) {
  std::istringstream fields(text);
  std::string address;
  std::string domain;
  std::int64_t link_rate = 0;
  if (!(fields >> address >> domain))
    return std::nullopt;
  // Announcements of earlier versions contain no link rate.
  if (!(fields >> link_rate))
    link_rate = 0;
  try {
    return known_instance{name, domain_id(domain), ParseHttpAddress(address),
                          link_rate};
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

std::optional<known_instance> FindDomainParent(
    const known_instance& self,
    const std::vector<known_instance>& live) {
  std::vector<known_instance> members = {self};
  for (const known_instance& instance : live) {
    if (instance.domain == self.domain && instance.name != self.name)
      members.push_back(instance);
  }
  std::sort(members.begin(), members.end(), PrecedesInTree);
  const auto found = std::find(members.begin(), members.end(), self);
  const auto rank = static_cast<std::size_t>(found - members.begin());
  if (rank == 0)
    return std::nullopt;
  return members[ParentRank(rank)];
}

milliseconds SourcePatience(std::size_t depth) {
  constexpr milliseconds kChildPatience{1000};
  constexpr milliseconds kDescendantPatience{2500};
  if (depth == 0)
    return milliseconds(0);
  return depth == 1 ? kChildPatience : kDescendantPatience;
}

std::optional<known_instance> FindWatchParent(
    const known_instance& self,
    const std::vector<known_instance>& live,
    bool store_refuses_self) {
  if (const auto parent = FindDomainParent(self, live))
    return parent;
  const auto first = std::min_element(live.begin(), live.end(), PrecedesInTree);
  if (first == live.end() ||
      (!store_refuses_self && !PrecedesInTree(*first, self)))
    return std::nullopt;
  return *first;
}

}  // namespace wist
