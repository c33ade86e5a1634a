#include "follower/store_mirror.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace wist {
namespace {

// Number of changes kept for watches that start from an earlier revision, at
// least. Each entry may have one renewal in the log, so that it grows with
// them.
constexpr std::size_t kMinLogEntries = 512;
constexpr std::size_t kLogEntriesPerItem = 2;

}  // namespace

void store_mirror::SetUpdateHandler(std::function<void()> handler) {
  update_handler_ = std::move(handler);
}

void store_mirror::SetAll(const std::map<std::string, store_change>& items) {
  items_ = items;
  change_log_.clear();
  last_logged_.clear();
  // The next Confirm() sets it.
  log_start_revision_.reset();
}

void store_mirror::Apply(const store_change& change, change_kind kind) {
  if (change.value)
    items_[change.key] = change;
  else
    items_.erase(change.key);
  if (kind == change_kind::replaces_earlier) {
    for (auto entry = change_log_.begin(); entry != change_log_.end();) {
      const auto earlier = entry++;
      if (earlier->change.key == change.key)
        EraseLogged(earlier);
    }
  }
  const auto last = last_logged_.find(change.key);
  logged_change logged{change, kind == change_kind::renewal, std::nullopt,
                       std::max(change.revision, next_position_)};
  if (last != last_logged_.end() && last->second->is_renewal) {
    // A reader that missed the last renewal before a removal cannot find out
    // whether a later entry is older than the removed one.
    if (kind == change_kind::ordinary)
      logged.preceding_renewal = last->second->change;
    EraseLogged(last->second);
  }
  change_log_.push_back(std::move(logged));
  last_logged_[change.key] = std::prev(change_log_.end());
  if (change_log_.size() <=
      std::max(kMinLogEntries, kLogEntriesPerItem * items_.size()))
    return;
  log_start_revision_ = std::max(log_start_revision_.value_or(store_revision()),
                                 change_log_.front().position);
  EraseLogged(change_log_.begin());
}

void store_mirror::ApplyRemovals(
    const std::map<std::string, store_change>& items,
    store_revision revision) {
  AddGap(revision);
  next_position_ = revision;
  std::vector<store_change> removals;
  for (const auto& [key, item] : items_) {
    if (!items.contains(key))
      removals.push_back({key, std::nullopt, revision});
  }
  for (const store_change& removal : removals)
    Apply(removal);
}

bool store_mirror::Contains(const store_change& entry) const {
  const auto found = items_.find(entry.key);
  return found != items_.end() && found->second == entry;
}

bool store_mirror::ContainsValue(const store_change& entry) const {
  const auto found = items_.find(entry.key);
  return found != items_.end() && found->second.value == entry.value;
}

void store_mirror::EraseLogged(std::list<logged_change>::iterator entry) {
  const auto last = last_logged_.find(entry->change.key);
  if (last != last_logged_.end() && last->second == entry)
    last_logged_.erase(last);
  change_log_.erase(entry);
}

void store_mirror::Confirm(store_revision revision, timestamp confirmed_at) {
  if (!log_start_revision_)
    log_start_revision_ = revision;
  if (revision.era > revision_.era)
    AddGap(revision);
  revision_ = std::max(revision_, revision);
  next_position_ = {revision_.era, revision_.number + 1};
  confirmed_at_ =
      confirmed_at_ ? std::max(*confirmed_at_, confirmed_at) : confirmed_at;
  if (update_handler_)
    update_handler_();
}

microseconds store_mirror::ContentAge(timestamp now) const {
  return std::max(microseconds(0), now - *confirmed_at_);
}

range_result store_mirror::ReadRange(const std::string& prefix,
                                     timestamp now) const {
  if (!confirmed_at_)
    return store_error::unavailable;
  range_page page;
  page.at_revision = revision_;
  page.age = ContentAge(now);
  for (auto item = items_.lower_bound(prefix);
       item != items_.end() && item->first.starts_with(prefix); ++item)
    page.items.push_back(item->second);
  return page;
}

std::optional<watch_result> store_mirror::Watch(const std::string& prefix,
                                                store_revision since_revision,
                                                timestamp now) const {
  if (!confirmed_at_)
    return store_error::unavailable;
  // The caller has already seen a later revision than this mirror.
  if (since_revision > revision_)
    return std::nullopt;
  if (!HasChangesSince(since_revision))
    return store_error::history_gone;
  watch_page page;
  page.at_revision = revision_;
  page.age = ContentAge(now);
  for (const logged_change& logged : change_log_) {
    if (logged.is_renewal || logged.position <= since_revision ||
        !logged.change.key.starts_with(prefix))
      continue;
    if (logged.preceding_renewal)
      page.changes.push_back(*logged.preceding_renewal);
    page.changes.push_back(logged.change);
  }
  if (page.changes.empty())
    return std::nullopt;
  page.has_gap = HasGapAfter(since_revision);
  return page;
}

// A reader at a revision that the mirror never had, since it read elsewhere,
// may have entries that the mirror did not have before nor has now.
bool store_mirror::HasChangesSince(store_revision revision) const {
  if (log_start_revision_ && revision < *log_start_revision_)
    return false;
  // Revisions without an era may be those of different eras.
  if (revision.era == 0 && revision_.era > 0)
    return false;
  return std::none_of(gaps_.begin(), gaps_.end(), [&](const revision_gap& gap) {
    return gap.from < revision && revision < gap.to;
  });
}

bool store_mirror::HasGapAfter(store_revision revision) const {
  return std::any_of(gaps_.begin(), gaps_.end(), [&](const revision_gap& gap) {
    return revision < gap.to;
  });
}

void store_mirror::AddGap(store_revision revision) {
  if (!confirmed_at_ || revision <= revision_ ||
      (!gaps_.empty() && gaps_.back().to == revision))
    return;
  // The log does not reach back to gaps that end before its start.
  std::erase_if(gaps_, [&](const revision_gap& gap) {
    return log_start_revision_ && gap.to <= *log_start_revision_;
  });
  gaps_.push_back({revision_, revision});
}

watch_result store_mirror::EmptyWatchResult(store_revision since_revision,
                                            timestamp now) const {
  // A mirror that is behind the caller cannot confirm that nothing changed.
  if (!confirmed_at_ || since_revision > revision_)
    return store_error::unavailable;
  watch_page page;
  page.at_revision = revision_;
  page.age = ContentAge(now);
  page.has_gap = HasGapAfter(since_revision);
  return page;
}

}  // namespace wist
