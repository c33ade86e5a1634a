#include "peers/rollout_table.h"

#include <algorithm>
#include <utility>

namespace wist {
namespace {

// Neighbors report all sums several times within this time, unless the
// datagrams are lost.
constexpr milliseconds kReportedSumsValidity{3000};

}  // namespace

void rollout_table::SetOwn(std::vector<rollout_sums> own) {
  own_ = std::move(own);
}

void rollout_table::SetReported(const std::string& neighbor,
                                neighbor_role role,
                                const std::vector<rollout_sums>& sums,
                                timestamp now) {
  if (sums.empty())
    return;
  auto& held = reported_[neighbor];
  for (const rollout_sums& reported : sums) {
    if (held.size() < kMaxReportedRollouts || held.contains(reported.id))
      held[reported.id] = {role, reported, now};
  }
}

void rollout_table::RemoveNeighbor(const std::string& neighbor) {
  reported_.erase(neighbor);
}

void rollout_table::Expire(timestamp now) {
  for (auto& [neighbor, held] : reported_) {
    std::erase_if(held, [&](const auto& entry) {
      return now >= entry.second.received_at + kReportedSumsValidity;
    });
  }
  std::erase_if(reported_,
                [](const auto& entry) { return entry.second.empty(); });
}

std::vector<rollout_sums> rollout_table::Others(timestamp now) const {
  sums_by_id total;
  for (const auto& [neighbor, held] : reported_) {
    for (const auto& [id, reported] : held)
      Add(total, reported, now);
  }
  return ToList(std::move(total));
}

std::vector<rollout_sums> rollout_table::SumsFor(const std::string& neighbor,
                                                 neighbor_role role,
                                                 timestamp now) const {
  sums_by_id total;
  for (const rollout_sums& sums : own_)
    Add(total, sums);
  for (const auto& [name, held] : reported_) {
    if (name == neighbor)
      continue;
    for (const auto& [id, reported] : held) {
      if (role == neighbor_role::child || reported.role == neighbor_role::child)
        Add(total, reported, now);
    }
  }
  return ToList(std::move(total));
}

void rollout_table::Add(sums_by_id& total, const rollout_sums& sums) {
  const auto [entry, is_new] = total.try_emplace(sums.id, sums);
  if (is_new)
    return;
  rollout_sums& sum = entry->second;
  sum.samples.Merge(sums.samples);
  sum.unfinished += sums.unfinished;
  sum.instances += sums.instances;
  sum.found_bad = sum.found_bad || sums.found_bad;
  sum.age = std::max(sum.age, sums.age);
}

void rollout_table::Add(sums_by_id& total,
                        const reported_sums& reported,
                        timestamp now) {
  rollout_sums sums = reported.sums;
  sums.age += now - reported.received_at;
  Add(total, sums);
}

std::vector<rollout_sums> rollout_table::ToList(sums_by_id total) {
  std::vector<rollout_sums> list;
  for (auto& [id, sums] : total) {
    if (list.size() < kMaxReportedRollouts)
      list.push_back(std::move(sums));
  }
  return list;
}

}  // namespace wist
