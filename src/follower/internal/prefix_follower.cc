#include "follower/prefix_follower.h"

#include <algorithm>

namespace wist {
namespace {

// Spreads the retries of many instances over this part of the pause.
constexpr double kJitter = 0.4;

}  // namespace

std::string_view StoreFaultName(store_fault fault) {
  switch (fault) {
    case store_fault::unavailable:
      return "unavailable";
    case store_fault::history_gone:
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
      random_(seed) {}

void prefix_follower::Start() {
  BeginRange();
}

void prefix_follower::BeginRange() {
  items_.clear();
  range_revision_ = 0;
  range_age_ = microseconds(0);
  asked_at_ = scheduler_.Now();
  ReadPage("");
}

void prefix_follower::ReadPage(const std::string& after_key) {
  store_.ReadRange(prefix_, after_key,
                   [this](range_result result) { OnPage(std::move(result)); });
}

void prefix_follower::OnPage(range_result result) {
  if (const auto* fault = std::get_if<store_fault>(&result))
    return OnFault(*fault);
  const auto& page = std::get<range_page>(result);
  // Pages are read at different revisions: the watch goes on from the first,
  // and sees again what later pages had already.
  if (range_revision_ == 0)
    range_revision_ = page.at_revision;
  if (page.age > settings_.max_age)
    return OnFault(store_fault::unavailable);
  range_age_ = std::max(range_age_, page.age);
  for (const store_change& item : page.items) {
    if (item.value)
      items_[item.key] = item;
  }
  if (page.has_more && !page.items.empty())
    return ReadPage(page.items.back().key);
  OnSuccess();
  revision_ = range_revision_;
  listener_.OnSnapshot(items_, AfterOutage());
  items_.clear();
  listener_.OnConfirmed(*revision_, asked_at_ - range_age_);
  BeginWatch();
}

void prefix_follower::BeginWatch() {
  asked_at_ = scheduler_.Now();
  store_.Watch(prefix_, *revision_, settings_.watch_wait,
               [this](watch_result result) { OnWatch(std::move(result)); });
}

void prefix_follower::OnWatch(watch_result result) {
  if (const auto* fault = std::get_if<store_fault>(&result))
    return OnFault(*fault);
  const auto& page = std::get<watch_page>(result);
  if (page.age > settings_.max_age)
    return OnFault(store_fault::unavailable);
  OnSuccess();
  for (const store_change& change : page.changes)
    listener_.OnChange(change, AfterOutage());
  revision_ = std::max(*revision_, page.at_revision);
  if (page.changes.empty()) {
    // The store held the call for the whole wait and still had nothing newer.
    // An answer that came sooner says that of the moment of the call only.
    const bool waited = scheduler_.Now() >= asked_at_ + settings_.watch_wait;
    const timestamp confirmed_at =
        waited ? asked_at_ + settings_.watch_wait : asked_at_;
    listener_.OnConfirmed(*revision_, confirmed_at - page.age);
    return BeginWatch();
  }
  listener_.OnConfirmed(*revision_, asked_at_ - page.age);
  Later(settings_.change_pause, &prefix_follower::BeginWatch);
}

void prefix_follower::OnFault(store_fault fault) {
  if (fault == store_fault::history_gone) {
    revision_.reset();
    return Later(milliseconds(0), &prefix_follower::BeginRange);
  }
  if (!lost_) {
    lost_ = true;
    listener_.OnLost(fault);
  }
  milliseconds pause = settings_.first_retry_pause;
  for (int i = 0; i < faults_ && pause < settings_.longest_retry_pause; ++i)
    pause *= 2;
  pause = std::min(pause, settings_.longest_retry_pause);
  ++faults_;
  const double spread =
      std::uniform_real_distribution<double>(1 - kJitter, 1)(random_);
  Later(
      milliseconds(static_cast<std::int64_t>(
          static_cast<double>(pause.count()) * spread)),
      revision_ ? &prefix_follower::BeginWatch : &prefix_follower::BeginRange);
}

void prefix_follower::OnSuccess() {
  faults_ = 0;
  if (!lost_)
    return;
  lost_ = false;
  grace_deadline_ = scheduler_.Now() + settings_.outage_grace;
  listener_.OnRegained();
}

bool prefix_follower::AfterOutage() const {
  return grace_deadline_ && scheduler_.Now() < *grace_deadline_;
}

void prefix_follower::Later(milliseconds pause,
                            void (prefix_follower::*step)()) {
  timer_ = scheduler_.RunAt(scheduler_.Now() + pause,
                            [this, step] { (this->*step)(); });
}

}  // namespace wist
