#include "follower/prefix_follower.h"

#include <algorithm>

namespace wist {
namespace {

// Fraction of the pause by which it is shortened at random, so that many
// instances do not retry at the same time.
constexpr double kRetryJitter = 0.4;

}  // namespace

std::string_view StoreErrorName(store_error error) {
  switch (error) {
    case store_error::unavailable:
      return "unavailable";
    case store_error::history_gone:
      return "history_gone";
  }
  return "unknown";
}

prefix_follower::prefix_follower(std::string prefix,
                                 const follower_settings& settings,
                                 i_store_reader& store,
                                 i_scheduler& scheduler,
                                 i_prefix_listener& listener,
                                 std::uint32_t seed)
    : prefix_(std::move(prefix)),
      settings_(settings),
      store_(store),
      scheduler_(scheduler),
      listener_(listener),
      jitter_random_(seed) {}

void prefix_follower::Start() {
  StartRangeRead();
}

void prefix_follower::StartRangeRead() {
  items_.clear();
  range_revision_.reset();
  max_page_age_ = microseconds(0);
  called_at_ = scheduler_.Now();
  ReadPage("");
}

void prefix_follower::ReadPage(const std::string& after_key) {
  store_.ReadRange(prefix_, after_key, [this](range_result result) {
    OnRangePage(std::move(result));
  });
}

void prefix_follower::OnRangePage(range_result result) {
  if (const auto* error = std::get_if<store_error>(&result))
    return OnError(*error);
  const auto& page = std::get<range_page>(result);
  // The pages may be read at different revisions. The watch continues from the
  // revision of the first one, and returns again changes that later pages
  // already contain.
  const bool is_first_page = !range_revision_;
  if (is_first_page)
    range_revision_ = page.at_revision;
  if (page.age > settings_.max_age)
    return OnError(store_error::unavailable);
  if (is_first_page && IsBehind(page)) {
    listener_.OnRangeBehind(page.at_revision, latest_revision_);
    return RunAfter(settings_.initial_retry_pause,
                    &prefix_follower::StartRangeRead);
  }
  // Together the pages would be no content that the store ever had.
  if (page.at_revision.era != range_revision_->era)
    return RunAfter(settings_.initial_retry_pause,
                    &prefix_follower::StartRangeRead);
  max_page_age_ = std::max(max_page_age_, page.age);
  for (const store_change& item : page.items) {
    if (item.value)
      items_[item.key] = item;
  }
  if (page.has_more && !page.items.empty())
    return ReadPage(page.items.back().key);
  OnSuccess();
  EnterEraOf(*range_revision_);
  revision_ = range_revision_;
  latest_revision_ = *range_revision_;
  behind_deadline_.reset();
  listener_.OnSnapshot(items_, *revision_, GraceDeadline());
  items_.clear();
  Confirm(called_at_ - max_page_age_);
  StartWatch();
}

// Whether the source lacks changes that are known here. Entries that it lacks
// would be taken for removed ones. A source that remains behind for longer than
// its content may be old has lost them. One of an earlier era never becomes the
// store's content again.
bool prefix_follower::IsBehind(const range_page& first_page) {
  if (first_page.at_revision >= latest_revision_) {
    behind_deadline_.reset();
    return false;
  }
  if (first_page.at_revision.era < latest_revision_.era)
    return true;
  const timestamp now = scheduler_.Now();
  if (!behind_deadline_)
    behind_deadline_ = now + settings_.max_age;
  return now < *behind_deadline_;
}

void prefix_follower::StartWatch() {
  called_at_ = scheduler_.Now();
  store_.Watch(prefix_, *revision_, settings_.watch_wait,
               [this](watch_result result) { OnWatchPage(std::move(result)); });
}

void prefix_follower::OnWatchPage(watch_result result) {
  if (const auto* error = std::get_if<store_error>(&result))
    return OnError(*error);
  const auto& page = std::get<watch_page>(result);
  if (page.age > settings_.max_age)
    return OnError(store_error::unavailable);
  if (page.at_revision.era < revision_->era)
    return OnError(store_error::unavailable);
  OnSuccess();
  EnterEraOf(page.at_revision);
  if (page.has_gap)
    listener_.OnGap(page.at_revision);
  for (const store_change& change : page.changes)
    listener_.OnChange(change, GraceDeadline());
  revision_ = std::max(*revision_, page.at_revision);
  latest_revision_ = *revision_;
  if (page.changes.empty()) {
    // An empty response of the store after the whole wait confirms that there
    // was no change until the end of the wait. An earlier one confirms only the
    // time of the call.
    const bool is_mirror_page =
        page.age > microseconds(0) || page.held > microseconds(0);
    const bool waited = !is_mirror_page &&
                        scheduler_.Now() >= called_at_ + settings_.watch_wait;
    const timestamp confirmed_at =
        waited ? called_at_ + settings_.watch_wait : called_at_;
    Confirm(confirmed_at + page.held - page.age);
    return StartWatch();
  }
  // The page was created no sooner than its source held the call.
  Confirm(called_at_ + page.held - page.age);
  RunAfter(settings_.change_pause, &prefix_follower::StartWatch);
}

void prefix_follower::Confirm(timestamp confirmed_at) {
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  listener_.OnConfirmed(*revision_, confirmed_at);
}

void prefix_follower::OnError(store_error error) {
  if (error == store_error::history_gone) {
    listener_.OnHistoryGone(revision_.value_or(store_revision()));
    revision_.reset();
    return RunAfter(milliseconds(0), &prefix_follower::StartRangeRead);
  }
  if (!store_lost_) {
    store_lost_ = true;
    listener_.OnStoreLost(error);
  }
  milliseconds pause = settings_.initial_retry_pause;
  for (int i = 0; i < consecutive_errors_ && pause < settings_.max_retry_pause;
       ++i)
    pause *= 2;
  pause = std::min(pause, settings_.max_retry_pause);
  ++consecutive_errors_;
  const double jitter_factor = std::uniform_real_distribution<double>(
      1 - kRetryJitter, 1)(jitter_random_);
  RunAfter(milliseconds(static_cast<std::int64_t>(
               static_cast<double>(pause.count()) * jitter_factor)),
           revision_ ? &prefix_follower::StartWatch
                     : &prefix_follower::StartRangeRead);
}

void prefix_follower::OnSuccess() {
  consecutive_errors_ = 0;
  if (!store_lost_)
    return;
  store_lost_ = false;
  // After a short outage a removal may have been acknowledged at any time since
  // the last confirmation, and its target be used no longer than the grace.
  const timestamp now = scheduler_.Now();
  const bool is_short = now < confirmed_at_ + settings_.shortest_outage;
  grace_deadline_ =
      std::max(grace_deadline_.value_or(timestamp()),
               (is_short ? confirmed_at_ : now) + settings_.outage_grace);
  listener_.OnStoreRegained();
}

// Entries that the copy lacks are removed like those that expire in an outage.
void prefix_follower::EnterEraOf(store_revision revision) {
  if (latest_revision_ == store_revision() ||
      revision.era <= latest_revision_.era)
    return;
  grace_deadline_ = scheduler_.Now() + settings_.outage_grace;
  listener_.OnNewEra(revision, latest_revision_);
}

std::optional<timestamp> prefix_follower::GraceDeadline() const {
  return grace_deadline_ && scheduler_.Now() < *grace_deadline_
             ? grace_deadline_
             : std::nullopt;
}

void prefix_follower::RunAfter(milliseconds pause,
                               void (prefix_follower::*step)()) {
  step_timer_ = scheduler_.RunAt(scheduler_.Now() + pause,
                                 [this, step] { (this->*step)(); });
}

}  // namespace wist
