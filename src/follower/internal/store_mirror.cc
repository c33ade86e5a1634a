#include "follower/store_mirror.h"

#include <algorithm>

namespace wist {
namespace {

// Changes kept for watches that lag behind.
constexpr std::size_t kMaxLog = 512;

}  // namespace

void store_mirror::Subscribe(std::function<void()> handler) {
  handler_ = std::move(handler);
}

void store_mirror::SetAll(const std::map<std::string, store_change>& items) {
  items_ = items;
  log_.clear();
  // Set by the confirmation that follows.
  log_begin_ = -1;
}

void store_mirror::Apply(const store_change& change, bool only_newest) {
  if (change.value)
    items_[change.key] = change;
  else
    items_.erase(change.key);
  if (only_newest) {
    std::erase_if(log_, [&](const store_change& earlier) {
      return earlier.key == change.key;
    });
  }
  log_.push_back(change);
  if (log_.size() <= kMaxLog)
    return;
  log_begin_ = std::max(log_begin_, log_.front().revision);
  log_.pop_front();
}

void store_mirror::Confirm(std::int64_t revision, timestamp confirmed_at) {
  if (log_begin_ < 0)
    log_begin_ = revision;
  revision_ = std::max(revision_, revision);
  confirmed_at_ =
      confirmed_at_ ? std::max(*confirmed_at_, confirmed_at) : confirmed_at;
  if (handler_)
    handler_();
}

microseconds store_mirror::Age(timestamp now) const {
  return std::max(microseconds(0), now - *confirmed_at_);
}

range_result store_mirror::ReadRange(const std::string& prefix,
                                     timestamp now) const {
  if (!confirmed_at_)
    return store_fault::unavailable;
  range_page page;
  page.at_revision = revision_;
  page.age = Age(now);
  for (auto item = items_.lower_bound(prefix);
       item != items_.end() && item->first.starts_with(prefix); ++item)
    page.items.push_back(item->second);
  return page;
}

std::optional<watch_result> store_mirror::Watch(const std::string& prefix,
                                                std::int64_t since_revision,
                                                timestamp now) const {
  if (!confirmed_at_)
    return store_fault::unavailable;
  // A caller that knows more than this copy has nothing to learn from it.
  if (since_revision > revision_)
    return std::nullopt;
  if (since_revision < log_begin_)
    return store_fault::history_gone;
  watch_page page;
  page.at_revision = revision_;
  page.age = Age(now);
  for (const store_change& change : log_) {
    if (change.revision > since_revision && change.key.starts_with(prefix))
      page.changes.push_back(change);
  }
  if (page.changes.empty())
    return std::nullopt;
  return page;
}

watch_result store_mirror::Unchanged(std::int64_t since_revision,
                                     timestamp now) const {
  // This copy is behind the caller, so its word confirms nothing.
  if (!confirmed_at_ || since_revision > revision_)
    return store_fault::unavailable;
  return watch_page{{}, revision_, Age(now)};
}

}  // namespace wist
