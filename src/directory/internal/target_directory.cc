#include "directory/target_directory.h"

#include <algorithm>

namespace wist {
namespace {

// Departed targets are kept this long so that a delayed entry written by the
// same process does not add them again.
constexpr seconds kDepartedTargetRetention{120};

// The remaining warm-up time is as of when the entry was written, some time
// before it is read. A deadline that is later by more than this is a new one.
constexpr milliseconds kColdDeadlineTolerance{500};

bool IsOlder(const target_entry& entry, const target_entry& held) {
  if (entry.started_at != held.started_at)
    return entry.started_at < held.started_at;
  return entry.sequence < held.sequence;
}

}  // namespace

void target_directory::SubscribeToDepartures(departure_handler handler) {
  departure_handlers_.push_back(std::move(handler));
}

void target_directory::Upsert(const target_entry& entry, timestamp now) {
  auto found = targets_.find(entry.id);
  if (found != targets_.end()) {
    known_target& held = found->second;
    if (IsOlder(entry, held.entry))
      return;
    const bool same_start = entry.started_at == held.entry.started_at;
    // A target whose entry was removed may return with a new one. A process
    // that registered as leaving may not.
    if (same_start && held.leaving &&
        (held.entry.leaving || held.stated_leaving)) {
      // Kept for as long as such entries come.
      held.leaving_since = now;
      return;
    }
    // The store may have returned from a copy that still has the entry.
    if (same_start && held.leaving && entry.sequence == held.entry.sequence)
      return;
    if (!same_start)
      MarkLeaving(held, now);
  }
  known_target& target = targets_[entry.id];
  const bool was_leaving = target.leaving;
  const timestamp leaving_since = target.leaving_since;
  target = {};
  target.entry = entry;
  target.cold_deadline = now + entry.cold_remaining;
  if (!entry.leaving)
    return;
  target.leaving = was_leaving;
  target.leaving_since = leaving_since;
  MarkLeaving(target, now);
}

bool target_directory::IsRenewal(const target_entry& entry,
                                 timestamp now) const {
  const known_target* held = Find(entry.id);
  if (!held || held->leaving || held->missing_deadline ||
      now + entry.cold_remaining >
          std::max(now, held->cold_deadline) + kColdDeadlineTolerance)
    return false;
  target_entry expected = held->entry;
  expected.sequence = entry.sequence;
  expected.cold_remaining = entry.cold_remaining;
  return entry == expected;
}

void target_directory::Remove(const target_id& id,
                              std::optional<timestamp> grace_deadline,
                              timestamp now) {
  const auto found = targets_.find(id);
  if (found == targets_.end())
    return;
  known_target& target = found->second;
  if (grace_deadline && !target.leaving) {
    // The store may have returned again since the entry went missing.
    target.missing_deadline = std::max(target.missing_deadline, grace_deadline);
    return;
  }
  MarkLeaving(target, now);
}

void target_directory::OnLeavingStated(const target_entry& entry,
                                       timestamp now) {
  const auto found = targets_.find(entry.id);
  if (found == targets_.end() || found->second.stated_leaving ||
      found->second.entry.started_at != entry.started_at)
    return;
  found->second.stated_leaving = true;
  MarkLeaving(found->second, now);
}

void target_directory::Expire(timestamp now) {
  for (auto& [id, target] : targets_) {
    if (target.missing_deadline && now >= *target.missing_deadline)
      MarkLeaving(target, now);
  }
  std::erase_if(targets_, [&](const auto& entry) {
    return entry.second.leaving &&
           now >= entry.second.leaving_since + kDepartedTargetRetention;
  });
}

void target_directory::SetEvacuated(std::set<domain_id> domains) {
  evacuated_domains_ = std::move(domains);
}

bool target_directory::IsEvacuated(const domain_id& domain) const {
  return evacuated_domains_.contains(domain);
}

const known_target* target_directory::Find(const target_id& id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

bool target_directory::AcceptsNewWork(const known_target& target) const {
  return !target.leaving && !IsEvacuated(target.entry.domain);
}

void target_directory::MarkLeaving(known_target& target, timestamp now) {
  target.missing_deadline.reset();
  if (target.leaving)
    return;
  target.leaving = true;
  target.leaving_since = now;
  // Passes a copy because a handler may change the directory.
  const known_target departed = target;
  for (const departure_handler& handler : departure_handlers_)
    handler(departed);
}

}  // namespace wist
