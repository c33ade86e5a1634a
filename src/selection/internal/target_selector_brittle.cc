#include <algorithm>

#include "selection/target_selector.h"

// Brittle targets: which of their slots this instance may use.
namespace wist {
namespace {

// Part of the free slots of brittle targets that the instances take together
// until the next reports: the rest is left for runs that are not reported yet.
constexpr double kFreeSlotShare = 0.25;

}  // namespace

// When the target may be used again, if it is not used at present although it
// may have room.
std::optional<timestamp> target_selector::NotUsedUntil(
    const known_target& target,
    const selection_request& request,
    timestamp now) const {
  const auto pause_end = PausedUntil(target.entry.id, now);
  const routed_service* service =
      table_ ? table_->FindService(request.service) : nullptr;
  if (!service)
    return pause_end;
  const auto left_out_until = brittle_targets_.LeftOutUntil(
      target.entry, BrittleLoad(target, *service), position_, now);
  return std::max(pause_end, left_out_until);
}

bool target_selector::HasBrittleRoom(const known_target& target,
                                     const routed_service& service,
                                     const selection_request& request,
                                     const choice_rules& rules,
                                     timestamp now) const {
  if (!brittle_targets_.IsBrittle(target.entry.service, now))
    return true;
  const brittle_load load = BrittleLoad(target, service);
  // A refusal would lose all work done for the run.
  if (request.continues_run)
    return load.runs < load.slots &&
           !brittle_targets_.LeftOutUntil(target.entry, load, position_, now);
  return brittle_targets_.AllowsOwnSlot(target.entry, load, position_, now) ||
         (rules.uses_free_slots &&
          brittle_targets_.FreeSlots(target.entry, load, position_, now) > 0);
}

bool target_selector::DrawFreeSlot(const selection_request& request,
                                   const routed_service& service,
                                   timestamp now) {
  unseen_starts_estimator& attempts = attempts_[request.service];
  attempts.OnOwnStart(now);
  double free_slots = 0;
  for (const auto& [id, target] : directory_.targets()) {
    if (IsEligible(target, request))
      free_slots += brittle_targets_.FreeSlots(
          target.entry, BrittleLoad(target, service), position_, now);
  }
  const double others =
      attempts.Estimate(position_.instance_count,
                        report_age_.Age(position_.instance_count, now), now);
  return std::uniform_real_distribution<>(0, 1 + others)(random_generator_) <
         free_slots * kFreeSlotShare;
}

brittle_load target_selector::BrittleLoad(const known_target& target,
                                          const routed_service& service) const {
  const auto others = others_loads_.find(target.entry.id);
  const target_state* state = FindState(target.entry.id);
  return {service.engine ? service.engine->slots : target.entry.slots,
          state ? state->own_load.runs : 0, TotalLoad(target.entry.id).runs,
          others == others_loads_.end() ? 0 : others->second.recent_refusals};
}

void target_selector::OnRefusedForRoom(const target_entry& target,
                                       timestamp now) {
  brittle_targets_.OnRefusal(target, now);
}

}  // namespace wist
