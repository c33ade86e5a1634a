#include "peers/load_table.h"

#include <utility>

namespace wist {
namespace {

// Neighbors report all loads again within this time, unless the datagrams are
// lost.
constexpr milliseconds kReportedLoadValidity{3000};

bool IsZero(const target_load& load) {
  return load.runs == 0 && load.tokens == 0 &&
         load.pending_prefill_tokens == 0 && load.failing_instances == 0;
}

void Add(target_load& sum, const target_load& load) {
  sum.runs += load.runs;
  sum.tokens += load.tokens;
  sum.pending_prefill_tokens += load.pending_prefill_tokens;
  sum.failing_instances += load.failing_instances;
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
    row& held = rows_[target];
    if (held.own == load)
      continue;
    prefill_added_ = prefill_added_ || load.pending_prefill_tokens >
                                           held.own.pending_prefill_tokens;
    held.own = load;
    changed_.insert(target);
    EraseIfEmpty(target);
  }
}

void load_table::SetReported(const std::string& neighbor,
                             neighbor_role role,
                             const std::vector<target_load>& loads,
                             timestamp now) {
  for (const target_load& load : loads) {
    row& held = rows_[load.target];
    const auto found = held.reported.find(neighbor);
    const bool same =
        found == held.reported.end()
            ? IsZero(load)
            : found->second.load == load && found->second.role == role;
    const std::int64_t earlier_prefill =
        found == held.reported.end()
            ? 0
            : found->second.load.pending_prefill_tokens;
    prefill_added_ =
        prefill_added_ || load.pending_prefill_tokens > earlier_prefill;
    if (IsZero(load))
      held.reported.erase(neighbor);
    else
      held.reported[neighbor] = {role, load, now};
    if (!same)
      changed_.insert(load.target);
    EraseIfEmpty(load.target);
  }
}

void load_table::RemoveNeighbor(const std::string& neighbor) {
  for (auto entry = rows_.begin(); entry != rows_.end();) {
    const target_id target = (entry++)->first;
    if (rows_[target].reported.erase(neighbor) == 0)
      continue;
    changed_.insert(target);
    EraseIfEmpty(target);
  }
}

void load_table::Expire(timestamp now) {
  for (auto entry = rows_.begin(); entry != rows_.end();) {
    const target_id target = (entry++)->first;
    const auto removed =
        std::erase_if(rows_[target].reported, [&](const auto& reported) {
          return now >= reported.second.received_at + kReportedLoadValidity;
        });
    if (removed == 0)
      continue;
    changed_.insert(target);
    EraseIfEmpty(target);
  }
}

void load_table::EraseIfEmpty(const target_id& target) {
  const auto found = rows_.find(target);
  if (found != rows_.end() && found->second.reported.empty() &&
      IsZero(found->second.own))
    rows_.erase(found);
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

bool load_table::TakePrefillAdded() {
  return std::exchange(prefill_added_, false);
}

}  // namespace wist
