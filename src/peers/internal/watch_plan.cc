#include "peers/watch_plan.h"

#include <algorithm>
#include <stdexcept>

#include "framework/base/hashing.h"

namespace wist {

std::string EncodeInstance(const known_instance& instance) {
  return instance.address.host + ":" + std::to_string(instance.address.port) +
         " " + instance.domain.text();
}

std::optional<known_instance> DecodeInstance(const std::string& name,
                                             const std::string& text) {
  const std::size_t space = text.find(' ');
  if (space == std::string::npos)
    return std::nullopt;
  try {
    return known_instance{name, domain_id(text.substr(space + 1)),
                          ParseHttpAddress(text.substr(0, space))};
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

namespace {

// The order of instances in all trees.
bool ComesFirst(const known_instance& left, const known_instance& right) {
  return std::pair(StableHash(left.name), left.name) <
         std::pair(StableHash(right.name), right.name);
}

}  // namespace

std::optional<known_instance> WatchParent(
    const known_instance& self,
    const std::vector<known_instance>& live) {
  std::vector<known_instance> members = {self};
  for (const known_instance& instance : live) {
    if (instance.domain == self.domain && instance.name != self.name)
      members.push_back(instance);
  }
  std::sort(members.begin(), members.end(), ComesFirst);
  const auto found = std::find(members.begin(), members.end(), self);
  const auto rank = static_cast<std::size_t>(found - members.begin());
  if (rank > 0)
    return members[(rank - 1) / kWatchFanOut];
  const auto first = std::min_element(live.begin(), live.end(), ComesFirst);
  if (first == live.end() || !ComesFirst(*first, self))
    return std::nullopt;
  return *first;
}

}  // namespace wist
