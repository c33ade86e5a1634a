#include "peers/tree_neighbors.h"

#include <algorithm>
#include <utility>

namespace wist {
namespace {

// Time for which an instance that did not respond is not chosen again. It
// doubles with each failure.
constexpr milliseconds kInitialBackoff{2000};
constexpr int kMaxBackoffDoublings = 3;

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
  std::erase_if(backoffs_, [this](const auto& entry) {
    return !FindInstance(entry.first);
  });
  Check(now);
}

const known_instance* tree_neighbors::FindInstance(
    const std::string& name) const {
  const auto found = others_.find(name);
  return found == others_.end() ? nullptr : &found->second;
}

std::set<std::string> tree_neighbors::Unreachable(timestamp now) const {
  std::set<std::string> names;
  for (const auto& [name, entry] : backoffs_) {
    if (now < entry.deadline)
      names.insert(name);
  }
  return names;
}

bool tree_neighbors::IsUsable(const known_instance& instance,
                              timestamp now) const {
  const auto found = backoffs_.find(instance.name);
  return found == backoffs_.end() || now >= found->second.deadline;
}

std::optional<known_instance> tree_neighbors::PlannedParent(
    timestamp now) const {
  const auto found = ordered_.find(self_.domain);
  if (found == ordered_.end())
    return std::nullopt;
  std::vector<const known_instance*> usable;
  for (const known_instance& instance : found->second) {
    if (IsUsable(instance, now))
      usable.push_back(&instance);
  }
  if (usable.empty())
    return std::nullopt;
  return *usable[ParentRank(usable.size())];
}

std::optional<known_instance> tree_neighbors::PlannedRoot(
    const domain_id& domain,
    timestamp now) const {
  const auto found = ordered_.find(domain);
  if (found == ordered_.end())
    return std::nullopt;
  for (const known_instance& instance : found->second) {
    if (IsUsable(instance, now))
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
  backoffs_.erase(instance.name);
}

void tree_neighbors::ClearCurrent(link& place, neighbor_role role) {
  if (!place.current)
    return;
  dropped_.push_back({place.current->name, place.current->address, role});
  place.current.reset();
}

void tree_neighbors::BackOff(const std::string& name, timestamp now) {
  backoff& entry = backoffs_[name];
  entry.deadline =
      now +
      kInitialBackoff * (1 << std::min(entry.failures, kMaxBackoffDoublings));
  ++entry.failures;
}

bool tree_neighbors::UpdateLink(link& place,
                                const std::optional<known_instance>& planned,
                                neighbor_role role,
                                timestamp now) {
  if (place.current && now >= place.heard_at + kNeighborReplaceAfter &&
      planned && planned->name == place.current->name) {
    BackOff(place.current->name, now);
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
  BackOff(place.candidate->name, now);
  place.candidate.reset();
  return true;
}

void tree_neighbors::CheckParent(timestamp now) {
  for (int i = 0; i < kMaxReplacementsPerCheck; ++i) {
    const auto planned = PlannedParent(now);
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

mirror_source ChooseMirror(const known_instance& self,
                           const std::vector<known_instance>& others,
                           const tree_neighbors& neighbors,
                           const std::set<std::string>& unusable,
                           bool store_refuses_self,
                           timestamp now) {
  const std::set<std::string> unreachable = neighbors.Unreachable(now);
  std::vector<known_instance> live = neighbors.OtherRoots();
  std::erase_if(live, [&](const known_instance& root) {
    return unusable.contains(root.name);
  });
  for (const known_instance& instance : others) {
    if (instance.domain == self.domain && !unusable.contains(instance.name) &&
        !unreachable.contains(instance.name))
      live.push_back(instance);
  }
  const auto parent = FindDomainParent(self, live);
  if (!parent)
    return {FindWatchParent(self, live, store_refuses_self), milliseconds(0)};
  // A parent that was not heard recently may not have started yet.
  if (!neighbors.Parent())
    return {std::nullopt, kParentSearchTime};
  const std::size_t depth = FindDomainParent(*parent, live) ? 2 : 1;
  return {parent, SourcePatience(depth)};
}

}  // namespace wist
