#include "peers/load_table.h"

#include <utility>

namespace wist {
namespace {

// Neighbors report all loads again within this time, unless the datagrams are
// lost.
constexpr milliseconds kReportedLoadValidity{3000};

bool IsZero(const target_load& load) {
  return load.runs == 0 && load.tokens == 0 &&
         load.pending_prefill_tokens == 0 && load.failing_instances == 0 &&
         load.recent_refusals == 0 && load.brittle_instances == 0;
}

void Add(target_load& sum, const target_load& load) {
  sum.runs += load.runs;
  sum.tokens += load.tokens;
  sum.pending_prefill_tokens += load.pending_prefill_tokens;
  sum.failing_instances += load.failing_instances;
  sum.recent_refusals += load.recent_refusals;
  sum.brittle_instances += load.brittle_instances;
}

bool IsUrgent(const target_load& earlier, const target_load& load) {
  return load.pending_prefill_tokens > earlier.pending_prefill_tokens ||
         load.recent_refusals > earlier.recent_refusals;
}

}  // namespace

void load_table::SetOwn(const std::vector<target_load>& loads) {
  std::map<target_id, target_load> current;
  for (const target_load& load : loads)
    current[load.target] = load;
  for (auto& [target, held] : rows_) {
    if (!current.contains(target) && !IsZero(held.own))
      current[target] = {target};
  }
  for (const auto& [target, load] : current) {
    const auto entry = rows_.try_emplace(target).first;
    row& held = entry->second;
    if (held.own == load)
      continue;
    has_urgent_change_ = has_urgent_change_ || IsUrgent(held.own, load);
    held.own = load;
    changed_.insert(target);
    if (IsEmpty(held))
      rows_.erase(entry);
  }
}

void load_table::SetReported(const std::string& neighbor,
                             neighbor_role role,
                             const std::vector<target_load>& loads,
                             timestamp now) {
  for (const target_load& load : loads) {
    const auto entry = rows_.try_emplace(load.target).first;
    row& held = entry->second;
    const auto found = held.reported.find(neighbor);
    const bool is_known = found != held.reported.end();
    const target_load earlier =
        is_known ? found->second.load : target_load{load.target};
    has_urgent_change_ = has_urgent_change_ || IsUrgent(earlier, load);
    if (load != earlier || (is_known && found->second.role != role))
      changed_.insert(load.target);
    if (IsZero(load))
      held.reported.erase(neighbor);
    else
      held.reported[neighbor] = {role, load, now};
    if (IsEmpty(held))
      rows_.erase(entry);
  }
}

void load_table::RemoveNeighbor(const std::string& neighbor) {
  EraseReported([&](const std::string& name, const reported_load&) {
    return name == neighbor;
  });
}

void load_table::Expire(timestamp now) {
  EraseReported([&](const std::string&, const reported_load& reported) {
    return now >= reported.received_at + kReportedLoadValidity;
  });
}

void load_table::EraseReported(const reported_predicate& is_erased) {
  for (auto entry = rows_.begin(); entry != rows_.end();) {
    const auto current = entry++;
    const auto erased =
        std::erase_if(current->second.reported, [&](const auto& reported) {
          return is_erased(reported.first, reported.second);
        });
    if (erased == 0)
      continue;
    changed_.insert(current->first);
    if (IsEmpty(current->second))
      rows_.erase(current);
  }
}

bool load_table::IsEmpty(const row& held) {
  return held.reported.empty() && IsZero(held.own);
}

target_load load_table::OthersLoad(const target_id& target) const {
  target_load sum;
  sum.target = target;
  const auto found = rows_.find(target);
  if (found == rows_.end())
    return sum;
  for (const auto& [neighbor, reported] : found->second.reported)
    Add(sum, reported.load);
  return sum;
}

target_load load_table::LoadFor(const std::string& neighbor,
                                neighbor_role role,
                                const target_id& target) const {
  target_load sum;
  sum.target = target;
  const auto found = rows_.find(target);
  if (found == rows_.end())
    return sum;
  Add(sum, found->second.own);
  for (const auto& [name, reported] : found->second.reported) {
    // Parents and roots receive what the subtree of this instance has placed;
    // the roots exchange the rest among themselves.
    if (name != neighbor &&
        (role == neighbor_role::child || reported.role == neighbor_role::child))
      Add(sum, reported.load);
  }
  return sum;
}

std::vector<target_id> load_table::LoadedTargets() const {
  std::vector<target_id> targets;
  for (const auto& [target, held] : rows_)
    targets.push_back(target);
  return targets;
}

std::set<target_id> load_table::TakeChanged() {
  return std::exchange(changed_, {});
}

bool load_table::TakeUrgentChange() {
  return std::exchange(has_urgent_change_, false);
}

}  // namespace wist
