#include "follower/store_mirror.h"

#include <algorithm>

namespace wist {
namespace {

// Number of changes kept for watches that start from an earlier revision.
constexpr std::size_t kMaxLogEntries = 512;

}  // namespace

void store_mirror::SetUpdateHandler(std::function<void()> handler) {
  update_handler_ = std::move(handler);
}

void store_mirror::SetAll(const std::map<std::string, store_change>& items) {
  items_ = items;
  change_log_.clear();
  // The next Confirm() sets it.
  log_start_revision_ = -1;
}

void store_mirror::Apply(const store_change& change, bool drop_earlier) {
  if (change.value)
    items_[change.key] = change;
  else
    items_.erase(change.key);
  if (drop_earlier) {
    std::erase_if(change_log_, [&](const store_change& earlier) {
      return earlier.key == change.key;
    });
  }
  change_log_.push_back(change);
  if (change_log_.size() <= kMaxLogEntries)
    return;
  log_start_revision_ =
      std::max(log_start_revision_, change_log_.front().revision);
  change_log_.pop_front();
}

void store_mirror::Confirm(std::int64_t revision, timestamp confirmed_at) {
  if (log_start_revision_ < 0)
    log_start_revision_ = revision;
  revision_ = std::max(revision_, revision);
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
                                                std::int64_t since_revision,
                                                timestamp now) const {
  if (!confirmed_at_)
    return store_error::unavailable;
  // The caller has already seen a later revision than this mirror.
  if (since_revision > revision_)
    return std::nullopt;
  if (since_revision < log_start_revision_)
    return store_error::history_gone;
  watch_page page;
  page.at_revision = revision_;
  page.age = ContentAge(now);
  for (const store_change& change : change_log_) {
    if (change.revision > since_revision && change.key.starts_with(prefix))
      page.changes.push_back(change);
  }
  if (page.changes.empty())
    return std::nullopt;
  return page;
}

watch_result store_mirror::EmptyWatchResult(std::int64_t since_revision,
                                            timestamp now) const {
  // A mirror that is behind the caller cannot confirm that nothing changed.
  if (!confirmed_at_ || since_revision > revision_)
    return store_error::unavailable;
  return watch_page{{}, revision_, ContentAge(now)};
}

}  // namespace wist
