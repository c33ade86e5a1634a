#include "directory/target_directory.h"

#include <algorithm>

namespace wist {
namespace {

// Targets that left are remembered this long, so that a late entry of the same
// start does not bring them back.
constexpr seconds kForgetAfter{120};

bool IsOlder(const target_entry& entry, const target_entry& held) {
  if (entry.started_at != held.started_at)
    return entry.started_at < held.started_at;
  return entry.sequence < held.sequence;
}

}  // namespace

void target_directory::SubscribeToLeaves(leave_handler handler) {
  leave_handlers_.push_back(std::move(handler));
}

void target_directory::Put(const target_entry& entry, timestamp now) {
  auto found = targets_.find(entry.id);
  if (found != targets_.end()) {
    known_target& held = found->second;
    if (IsOlder(entry, held.entry))
      return;
    const bool same_start = entry.started_at == held.entry.started_at;
    if (same_start && held.leaving && held.entry.leaving)
      return;
    if (!same_start)
      Leave(held, now);
  }
  known_target& target = targets_[entry.id];
  const bool was_leaving = target.leaving;
  const timestamp left_since = target.leaving_since;
  target = {};
  target.entry = entry;
  target.cold_deadline = now + entry.cold_for;
  if (!entry.leaving)
    return;
  target.leaving = was_leaving;
  target.leaving_since = left_since;
  Leave(target, now);
}

void target_directory::Remove(const target_id& id,
                              bool during_outage,
                              timestamp now) {
  const auto found = targets_.find(id);
  if (found == targets_.end())
    return;
  known_target& target = found->second;
  if (during_outage && !target.leaving) {
    if (!target.missing_deadline)
      target.missing_deadline = now + missing_grace_;
    return;
  }
  Leave(target, now);
}

void target_directory::Expire(timestamp now) {
  for (auto& [id, target] : targets_) {
    if (target.missing_deadline && now >= *target.missing_deadline)
      Leave(target, now);
  }
  std::erase_if(targets_, [&](const auto& entry) {
    return entry.second.leaving &&
           now >= entry.second.leaving_since + kForgetAfter;
  });
}

void target_directory::SetEvacuated(std::set<domain_id> domains) {
  evacuated_ = std::move(domains);
}

bool target_directory::IsEvacuated(const domain_id& domain) const {
  return evacuated_.contains(domain);
}

const known_target* target_directory::Find(const target_id& id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

bool target_directory::Takes(const known_target& target) const {
  return !target.leaving && !IsEvacuated(target.entry.domain);
}

void target_directory::Leave(known_target& target, timestamp now) {
  target.missing_deadline.reset();
  if (target.leaving)
    return;
  target.leaving = true;
  target.leaving_since = now;
  // A copy: a handler may change the directory.
  const known_target left = target;
  for (const leave_handler& handler : leave_handlers_)
    handler(left);
}

}  // namespace wist
