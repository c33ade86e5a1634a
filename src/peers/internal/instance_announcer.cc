#include "peers/instance_announcer.h"

#include <utility>

namespace wist {
namespace {

// An entry remains in the store for at most this long after its instance ended.
// It is renewed early enough to survive a store outage.
constexpr milliseconds kEntryTtl{180'000};
constexpr milliseconds kRenewalInterval{90'000};
constexpr milliseconds kRetryDelay{2000};

// At the first start the list is read when the others have announced
// themselves; instances start within some tenths of a second.
constexpr milliseconds kFirstListDelay{1000};

}  // namespace

instance_announcer::instance_announcer(
    const known_instance& self,
    i_async_store& store,
    i_scheduler& scheduler,
    std::function<void()> on_failure,
    std::function<void(const std::string&)> on_store_call)
    : self_(self),
      store_(store),
      scheduler_(scheduler),
      on_failure_(std::move(on_failure)),
      on_store_call_(std::move(on_store_call)) {}

void instance_announcer::Start(bool is_first_start, list_handler on_list) {
  on_list_ = std::move(on_list);
  is_first_start_ = is_first_start;
  if (!is_first_start)
    return ReadList();
  Announce();
  list_timer_ = scheduler_.RunAt(scheduler_.Now() + kFirstListDelay,
                                 [this] { ReadList(); });
}

void instance_announcer::ReadList() {
  on_store_call_("instances");
  store_.ReadRecent(std::string(kInstancePrefix),
                    [this](const range_result& result) { OnList(result); });
}

void instance_announcer::OnList(const range_result& result) {
  std::vector<known_instance> others;
  if (const auto* page = std::get_if<range_page>(&result)) {
    for (const store_change& item : page->items) {
      const std::string name = item.key.substr(kInstancePrefix.size());
      const auto entry = DecodeAnnouncement(name, item.value.value_or(""));
      if (!entry)
        continue;
      if (name != self_.name)
        others.push_back(entry->instance);
      else if (entry->instance == self_)
        lease_ = entry->lease;
    }
  }
  if (!is_first_start_ && lease_)
    Renew();
  else if (!is_first_start_)
    Announce();
  std::exchange(on_list_, nullptr)(others);
}

void instance_announcer::Announce() {
  if (std::exchange(is_announcing_, true))
    return;
  lease_.reset();
  on_store_call_("announce_lease");
  store_.CreateLease(kEntryTtl, [this](std::optional<store_lease> lease) {
    if (lease)
      return Write(*lease);
    OnFailure(&instance_announcer::Announce);
  });
}

void instance_announcer::Write(store_lease lease) {
  on_store_call_("announce_entry");
  store_.PutUnderLease(std::string(kInstancePrefix) + self_.name,
                       EncodeAnnouncement(self_, lease), lease,
                       [this, lease](bool written) {
                         if (!written)
                           return OnFailure(&instance_announcer::Announce);
                         is_announcing_ = false;
                         lease_ = lease;
                         ScheduleRenewal();
                       });
}

void instance_announcer::Renew() {
  if (!lease_)
    return Announce();
  on_store_call_("announce_renewal");
  store_.RenewLease(*lease_, [this](lease_renewal renewal) {
    switch (renewal) {
      case lease_renewal::renewed:
        return ScheduleRenewal();
      case lease_renewal::ended:
        return Announce();
      case lease_renewal::unknown:
        return OnFailure(&instance_announcer::Renew);
    }
  });
}

void instance_announcer::ScheduleRenewal() {
  timer_ = scheduler_.RunAt(scheduler_.Now() + kRenewalInterval,
                            [this] { Renew(); });
}

void instance_announcer::OnFailure(void (instance_announcer::*next_step)()) {
  on_failure_();
  is_announcing_ = false;
  timer_ = scheduler_.RunAt(scheduler_.Now() + kRetryDelay,
                            [this, next_step] { (this->*next_step)(); });
}

void instance_announcer::OnEntryMissing() {
  if (lease_)
    Announce();
}

}  // namespace wist
