#include "peers/tree_neighbors.h"

#include <algorithm>
#include <utility>

namespace wist {
namespace {

// Time in which the parent of an instance is found by its reports. It is short,
// since the configuration has to be confirmed soon after a start.
constexpr milliseconds kParentSearchTime{300};

// Bounds the number of instances that one check may give up; the next check
// continues.
constexpr int kMaxReplacementsPerCheck = 8;

}  // namespace

tree_neighbors::tree_neighbors(known_instance self) : self_(std::move(self)) {}

void tree_neighbors::SetInstances(std::vector<known_instance> others,
                                  timestamp now) {
  others_.clear();
  ordered_.clear();
  for (known_instance& instance : others) {
    if (instance.domain != self_.domain || PrecedesInTree(instance, self_))
      ordered_[instance.domain].push_back(instance);
    const std::string name = instance.name;
    others_[name] = std::move(instance);
  }
  for (auto& [domain, members] : ordered_)
    std::sort(members.begin(), members.end(), PrecedesInTree);
  Check(now);
}

const known_instance* tree_neighbors::FindInstance(
    const std::string& name) const {
  const auto found = others_.find(name);
  return found == others_.end() ? nullptr : &found->second;
}

std::optional<tree_neighbors::ranked_instance> tree_neighbors::PlannedParent(
    const std::set<std::string>& unusable,
    timestamp now) const {
  const auto found = ordered_.find(self_.domain);
  if (found == ordered_.end())
    return std::nullopt;
  std::vector<const known_instance*> usable;
  for (const known_instance& instance : found->second) {
    if (!unusable.contains(instance.name) &&
        backoff_.IsUsable(instance.name, now))
      usable.push_back(&instance);
  }
  if (usable.empty())
    return std::nullopt;
  const std::size_t rank = ParentRank(usable.size());
  return ranked_instance{usable[rank], rank};
}

std::optional<known_instance> tree_neighbors::PlannedRoot(
    const domain_id& domain,
    timestamp now) const {
  const auto found = ordered_.find(domain);
  if (found == ordered_.end())
    return std::nullopt;
  for (const known_instance& instance : found->second) {
    if (backoff_.IsUsable(instance.name, now))
      return instance;
  }
  return std::nullopt;
}

std::optional<neighbor_role> tree_neighbors::OnReport(
    const std::string& sender,
    const http_address& address,
    neighbor_role receiver_role,
    timestamp now) {
  switch (receiver_role) {
    case neighbor_role::parent: {
      // A parent precedes its children; a report of an instance that precedes
      // this one would form a cycle.
      const known_instance* instance = FindInstance(sender);
      if (instance && (instance->domain != self_.domain ||
                       PrecedesInTree(*instance, self_)))
        return std::nullopt;
      children_[sender] = {address, now};
      return neighbor_role::child;
    }
    case neighbor_role::child:
      if (parent_.current && parent_.current->name == sender) {
        parent_.heard_at = now;
        return neighbor_role::parent;
      }
      if (!parent_.candidate || parent_.candidate->name != sender)
        return std::nullopt;
      SetCurrent(parent_, *std::exchange(parent_.candidate, std::nullopt),
                 neighbor_role::parent, now);
      return neighbor_role::parent;
    case neighbor_role::root: {
      const known_instance* instance = FindInstance(sender);
      if (!is_root_ || !instance || instance->domain == self_.domain)
        return std::nullopt;
      link& place = roots_[instance->domain];
      if (place.current && place.current->name == sender) {
        place.heard_at = now;
        return neighbor_role::root;
      }
      // Two instances of one domain may act as its root for a moment. Only one
      // of them is counted.
      if (place.current && now < place.heard_at + kNeighborReplaceAfter &&
          !(place.candidate && place.candidate->name == sender))
        return std::nullopt;
      SetCurrent(place, *instance, neighbor_role::root, now);
      place.candidate.reset();
      return neighbor_role::root;
    }
  }
  return std::nullopt;
}

void tree_neighbors::OnDetached(const std::string& sender) {
  const auto found = children_.find(sender);
  if (found == children_.end())
    return;
  dropped_.push_back({sender, found->second.address, neighbor_role::child});
  children_.erase(found);
}

void tree_neighbors::SetCurrent(link& place,
                                const known_instance& instance,
                                neighbor_role role,
                                timestamp now) {
  ClearCurrent(place, role);
  place.current = instance;
  place.heard_at = now;
  backoff_.OnSuccess(instance.name);
}

void tree_neighbors::ClearCurrent(link& place, neighbor_role role) {
  if (!place.current)
    return;
  dropped_.push_back({place.current->name, place.current->address, role});
  place.current.reset();
}

bool tree_neighbors::UpdateLink(link& place,
                                const std::optional<known_instance>& planned,
                                neighbor_role role,
                                timestamp now) {
  if (place.current && now >= place.heard_at + kNeighborReplaceAfter &&
      planned && planned->name == place.current->name) {
    backoff_.OnFailure(place.current->name, now);
    return true;
  }
  if (place.current && now >= place.heard_at + kNeighborSilenceLimit)
    ClearCurrent(place, role);
  if (!planned) {
    place.candidate.reset();
    ClearCurrent(place, role);
    return false;
  }
  if (place.current && place.current->name == planned->name) {
    place.candidate.reset();
    return false;
  }
  if (!place.candidate || place.candidate->name != planned->name) {
    place.candidate = planned;
    place.candidate_since = now;
    return false;
  }
  if (now < place.candidate_since + kNeighborReplaceAfter)
    return false;
  backoff_.OnFailure(place.candidate->name, now);
  place.candidate.reset();
  return true;
}

void tree_neighbors::CheckParent(timestamp now) {
  for (int i = 0; i < kMaxReplacementsPerCheck; ++i) {
    const auto ranked = PlannedParent({}, now);
    const std::optional<known_instance> planned =
        ranked ? std::optional(*ranked->instance) : std::nullopt;
    const bool replan =
        UpdateLink(parent_, planned, neighbor_role::parent, now);
    // A root that tries an instance again that precedes it stays the root until
    // that one responds.
    is_root_ = !planned || (is_root_ && !parent_.current);
    if (!replan)
      return;
  }
}

void tree_neighbors::CheckRoots(timestamp now) {
  std::set<domain_id> domains;
  for (const auto& [domain, members] : ordered_) {
    if (domain != self_.domain)
      domains.insert(domain);
  }
  for (auto& [domain, place] : roots_) {
    if (!domains.contains(domain))
      ClearCurrent(place, neighbor_role::root);
  }
  std::erase_if(roots_, [&](const auto& entry) {
    return !domains.contains(entry.first);
  });
  for (const domain_id& domain : domains) {
    for (int i = 0; i < kMaxReplacementsPerCheck; ++i) {
      if (!UpdateLink(roots_[domain], PlannedRoot(domain, now),
                      neighbor_role::root, now))
        break;
    }
  }
}

void tree_neighbors::DropRoots() {
  for (auto& [domain, place] : roots_)
    ClearCurrent(place, neighbor_role::root);
  roots_.clear();
}

void tree_neighbors::CheckChildren(timestamp now) {
  for (auto entry = children_.begin(); entry != children_.end();) {
    if (now < entry->second.heard_at + kNeighborSilenceLimit) {
      ++entry;
      continue;
    }
    dropped_.push_back(
        {entry->first, entry->second.address, neighbor_role::child});
    entry = children_.erase(entry);
  }
}

void tree_neighbors::Check(timestamp now) {
  CheckChildren(now);
  CheckParent(now);
  if (is_root_)
    CheckRoots(now);
  else
    DropRoots();
}

std::vector<tree_neighbor> tree_neighbors::Current() const {
  std::vector<tree_neighbor> neighbors;
  const auto add = [&](const std::optional<known_instance>& instance,
                       neighbor_role role) {
    if (instance)
      neighbors.push_back({instance->name, instance->address, role});
  };
  add(parent_.current, neighbor_role::parent);
  add(parent_.candidate, neighbor_role::parent);
  for (const auto& [domain, place] : roots_) {
    add(place.current, neighbor_role::root);
    add(place.candidate, neighbor_role::root);
  }
  for (const auto& [name, entry] : children_)
    neighbors.push_back({name, entry.address, neighbor_role::child});
  return neighbors;
}

std::vector<tree_neighbor> tree_neighbors::TakeDropped() {
  return std::exchange(dropped_, {});
}

std::vector<known_instance> tree_neighbors::OtherRoots() const {
  std::vector<known_instance> roots;
  for (const auto& [domain, place] : roots_) {
    if (place.current)
      roots.push_back(*place.current);
  }
  return roots;
}

std::optional<known_instance> tree_neighbors::FirstOtherRoot(
    const std::set<std::string>& unusable) const {
  std::optional<known_instance> first;
  for (const auto& [domain, place] : roots_) {
    if (place.current && !unusable.contains(place.current->name) &&
        (!first || PrecedesInTree(*place.current, *first)))
      first = place.current;
  }
  return first;
}

mirror_source tree_neighbors::ChooseSource(
    const std::set<std::string>& unusable,
    bool store_refuses,
    timestamp now) const {
  if (const auto parent = PlannedParent(unusable, now)) {
    // A parent that was not heard recently may not have started yet.
    if (!parent_.current)
      return {std::nullopt, kParentSearchTime};
    return {*parent->instance, SourcePatience(parent->rank == 0 ? 1 : 2)};
  }
  const auto root = FirstOtherRoot(unusable);
  if (root && (store_refuses || PrecedesInTree(*root, self_)))
    return {root};
  if (!store_refuses)
    return {};
  // Without another root a child may reach the store.
  for (const auto& [name, entry] : children_) {
    const known_instance* instance = FindInstance(name);
    if (instance && !unusable.contains(name))
      return {*instance};
  }
  return {};
}

}  // namespace wist
