#include "selection/brittle_targets.h"

#include <algorithm>

#include "framework/base/hashing.h"

namespace wist {
namespace {

// A service counts as brittle for this time after the last response that stated
// it: some responses may lack the statement, and while all targets are left out
// there are none.
constexpr milliseconds kStatementValidity{3000};

// Window over which targets count their refusals.
constexpr seconds kRefusalWindow{1};

// Longest time for which an instance uses no free slots after a refusal.
constexpr milliseconds kMaxRefusalInterval{10'000};

// Other instances may have received refusals that are not reported yet, so that
// the limit for the known ones is the tolerated number divided by this.
constexpr std::int32_t kKnownRefusalsDivisor = 2;

// Several instances may take the same free slot at the same time. Targets that
// tolerate fewer refusals than this keep as many slots free for it.
constexpr std::int32_t kToleratedWithoutReserve = 4;

}  // namespace

bool brittle_targets::OnStated(const target_entry& target,
                               std::int32_t tolerated_refusals,
                               timestamp now) {
  const bool has_begun = Begin(target.service, now);
  services_[target.service].tolerated_refusals = tolerated_refusals;
  target_state& state = targets_[target.id];
  if (state.started_at != target.started_at)
    state = {};
  state.started_at = target.started_at;
  state.tolerated_refusals = tolerated_refusals;
  state.stated_at = now;
  return has_begun;
}

// Numbers that were stated before the service was brittle do not apply.
bool brittle_targets::Begin(const service_id& service, timestamp now) {
  const bool was_brittle = IsBrittle(service, now);
  service_state& state = services_[service];
  state.stated_at = now;
  if (was_brittle)
    return false;
  state.tolerated_refusals = 0;
  state.began_at = now;
  return true;
}

// Until a target states the number to this instance, none is assumed.
void brittle_targets::SetStatedToOthers(const target_entry& target,
                                        bool is_stated,
                                        timestamp now) {
  if (!is_stated && !stated_to_others_.contains(target.id))
    return;
  Begin(target.service, now);
  if (is_stated)
    stated_to_others_.insert_or_assign(target.id, target.service);
  else
    stated_to_others_.erase(target.id);
}

bool brittle_targets::IsStatedRecently(const target_id& target,
                                       timestamp now) const {
  const auto found = targets_.find(target);
  return found != targets_.end() && found->second.stated_at &&
         now < *found->second.stated_at + kRefusalWindow;
}

void brittle_targets::OnRefusal(const target_entry& target, timestamp now) {
  if (!IsBrittle(target.service, now))
    return;
  std::deque<timestamp>& refusals = targets_[target.id].refusals;
  while (!refusals.empty() && now >= refusals.front() + kMaxRefusalInterval)
    refusals.pop_front();
  refusals.push_back(now);
}

bool brittle_targets::IsBrittle(const service_id& service,
                                timestamp now) const {
  const auto found = services_.find(service);
  if (found == services_.end())
    return false;
  return now < found->second.stated_at + kStatementValidity ||
         std::any_of(
             stated_to_others_.begin(), stated_to_others_.end(),
             [&](const auto& entry) { return entry.second == service; });
}

std::optional<std::int32_t> brittle_targets::ToleratedRefusals(
    const target_entry& target,
    timestamp now) const {
  if (!IsBrittle(target.service, now))
    return std::nullopt;
  const auto found = targets_.find(target.id);
  const service_state& service = services_.at(target.service);
  if (found != targets_.end() && found->second.stated_at >= service.began_at &&
      found->second.started_at == target.started_at)
    return found->second.tolerated_refusals;
  return service.tolerated_refusals;
}

std::int32_t brittle_targets::RecentRefusals(const target_id& target,
                                             timestamp now) const {
  const auto found = targets_.find(target);
  if (found == targets_.end())
    return 0;
  return static_cast<std::int32_t>(std::count_if(
      found->second.refusals.begin(), found->second.refusals.end(),
      [&](timestamp at) { return now < at + kRefusalWindow; }));
}

std::optional<timestamp> brittle_targets::LeftOutUntil(
    const target_entry& target,
    const brittle_load& load,
    const fleet_position& position,
    timestamp now) const {
  const auto tolerated = ToleratedRefusals(target, now);
  if (!tolerated)
    return std::nullopt;
  const std::int32_t known =
      RecentRefusals(target.id, now) + load.others_refusals;
  if (known >= std::max(1, (*tolerated + 1) / kKnownRefusalsDivisor))
    return now + kRefusalWindow;
  const auto found = targets_.find(target.id);
  const auto share = static_cast<std::size_t>(std::max<std::int64_t>(
      1, *tolerated / static_cast<std::int64_t>(position.instance_count)));
  if (found == targets_.end() || found->second.refusals.size() < share)
    return std::nullopt;
  const std::deque<timestamp>& refusals = found->second.refusals;
  const timestamp end = refusals[refusals.size() - share] + kRefusalWindow;
  return now < end ? std::optional(end) : std::nullopt;
}

microseconds brittle_targets::RefusalInterval(std::int32_t tolerated,
                                              const fleet_position& position) {
  return std::min<microseconds>(
      kMaxRefusalInterval,
      microseconds(kRefusalWindow) *
          static_cast<std::int64_t>(position.instance_count) /
          std::max(tolerated, 1));
}

// The slots of a target are assigned to instances one after another, from one
// that depends on the target's id. Thus all instances together use no more than
// there are, whatever the age of the known loads.
bool brittle_targets::AllowsOwnSlot(const target_entry& target,
                                    const brittle_load& load,
                                    const fleet_position& position,
                                    timestamp now) const {
  const auto count = static_cast<std::int64_t>(position.instance_count);
  const auto first = static_cast<std::int64_t>(
      StableHash(target.id.text()) % static_cast<std::uint64_t>(count));
  const std::int64_t distance =
      (static_cast<std::int64_t>(position.ordinal) - first + count) % count;
  const std::int64_t assigned =
      load.slots / count + (distance < load.slots % count ? 1 : 0);
  return load.own_runs < assigned && load.runs < load.slots &&
         !LeftOutUntil(target, load, position, now);
}

std::int32_t brittle_targets::FreeSlots(const target_entry& target,
                                        const brittle_load& load,
                                        const fleet_position& position,
                                        timestamp now) const {
  const auto tolerated = ToleratedRefusals(target, now);
  if (!tolerated || LeftOutUntil(target, load, position, now))
    return 0;
  const auto found = targets_.find(target.id);
  if (found != targets_.end() && !found->second.refusals.empty() &&
      now <
          found->second.refusals.back() + RefusalInterval(*tolerated, position))
    return 0;
  const std::int32_t refusals =
      RecentRefusals(target.id, now) + load.others_refusals;
  const std::int32_t reserve =
      std::max(0, kToleratedWithoutReserve - *tolerated);
  return std::max(0, load.slots - load.runs - refusals - reserve);
}

}  // namespace wist
