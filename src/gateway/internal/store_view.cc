#include "gateway/internal/store_view.h"

#include <stdexcept>
#include <utility>

#include "gateway/internal/quarantine_registry.h"
#include "peers/watch_tree_reader.h"

namespace wist {
namespace {

// A single watch covers all keys, so that each poll costs one call.
constexpr char kAllKeys[] = "";

// Maximum wait of a watch call. Other instances read this instance's mirror, so
// the age of its content adds to theirs, and changes have to take effect on all
// instances within seconds.
constexpr milliseconds kWatchTimeout{600};

// Changes that arrive within this time are fetched in one call.
constexpr milliseconds kChangeBatchDelay{10};

// Longest pause after a failed read. Most reads go to the parent in the watch
// tree, which may have found another source by then.
constexpr milliseconds kMaxRetryPause{300};

// Returns the era as the store states it; -1 if it states none.
std::int64_t StatedEra(store_revision revision) {
  return revision.era - 1;
}

follower_settings FollowerSettings(const gateway_settings& settings) {
  follower_settings follower;
  follower.watch_wait = kWatchTimeout;
  follower.max_age = kMaxMirrorAge;
  follower.change_pause = kChangeBatchDelay;
  follower.max_retry_pause = kMaxRetryPause;
  follower.outage_grace = settings.outage_grace;
  return follower;
}

}  // namespace

store_view::store_view(const gateway_settings& settings,
                       const i_dialect& dialect,
                       i_store_reader& reader,
                       i_async_store& writer,
                       gateway_services& services,
                       std::uint32_t seed,
                       std::function<void(const std::string&)> on_store_call)
    : settings_(settings),
      dialect_(dialect),
      services_(services),
      announcer_(
          Self(),
          writer,
          services.scheduler,
          [&services] {
            services.logger.Write(log_level::warning, "announce_failed", {});
          },
          std::move(on_store_call)),
      follower_(kAllKeys,
                FollowerSettings(settings),
                reader,
                services.scheduler,
                *this,
                seed) {}

void store_view::SubscribeToConfiguration(std::function<void()> handler) {
  configuration_handler_ = std::move(handler);
}

void store_view::SubscribeToInstances(std::function<void()> handler) {
  instances_handler_ = std::move(handler);
}

void store_view::SubscribeToQuarantines(
    std::function<void(const store_change&)> handler) {
  quarantine_handler_ = std::move(handler);
}

void store_view::SubscribeToRollouts(
    std::function<void(const store_change&)> handler) {
  rollout_handler_ = std::move(handler);
}

void store_view::SubscribeToLoss(std::function<void()> handler) {
  loss_handler_ = std::move(handler);
}

void store_view::Start() {
  announcer_.Start(settings_.is_first_start,
                   [this](const std::vector<known_instance>& others) {
                     OnAnnouncedInstances(others);
                   });
}

void store_view::OnAnnouncedInstances(
    const std::vector<known_instance>& others) {
  for (const known_instance& instance : others)
    instances_[instance.name] = instance;
  // The store is read through one of them.
  if (instances_handler_)
    instances_handler_();
  follower_.Start();
}

known_instance store_view::Self() const {
  return {
      settings_.instance, settings_.domain, settings_.peer_listen,
      settings_.link_mbps,
      settings_.relay_listen ? settings_.relay_listen->port : std::uint16_t{0}};
}

std::vector<known_instance> store_view::OtherInstances() const {
  std::vector<known_instance> others;
  others.reserve(instances_.size());
  for (const auto& [name, instance] : instances_)
    others.push_back(instance);
  return others;
}

void store_view::OnSnapshot(const std::map<std::string, store_change>& items,
                            store_revision revision,
                            std::optional<timestamp> grace_deadline) {
  // After a lost history the mirror records the differences as changes, so that
  // its readers do not have to read everything again.
  const bool is_first = !std::exchange(has_snapshot_, true);
  if (is_first)
    mirror_.SetAll(items);
  else
    mirror_.ApplyRemovals(items, revision);
  for (const auto& [key, item] : items) {
    if (!is_first && !IsKnownToReaders(item))
      mirror_.Apply(item, KindOf(item));
    ApplyChange(item, grace_deadline);
  }
  RemoveMissing(items, grace_deadline);
}

void store_view::OnChange(const store_change& change,
                          std::optional<timestamp> grace_deadline) {
  mirror_.Apply(change, KindOf(change));
  ApplyChange(change, grace_deadline);
}

// In a new era all entries have other revisions. Nothing refers to that of the
// configuration, which is by far the largest value.
bool store_view::IsKnownToReaders(const store_change& item) const {
  return mirror_.Contains(item) ||
         (dialect_.IsConfigurationKey(item.key) && mirror_.ContainsValue(item));
}

change_kind store_view::KindOf(const store_change& change) const {
  // Only the newest version of the configuration is kept for readers of the
  // mirror, since it is by far the largest value.
  if (dialect_.IsConfigurationKey(change.key))
    return change_kind::replaces_earlier;
  if (!change.value || !change.key.starts_with(dialect_.TargetPrefix()))
    return change_kind::ordinary;
  // All other changes of a target are kept: a deregistration followed by an
  // older entry still counts.
  const auto entry = dialect_.DecodeTarget(change.key, *change.value);
  return entry && services_.directory.IsRenewal(*entry,
                                                services_.scheduler.Now())
             ? change_kind::renewal
             : change_kind::ordinary;
}

void store_view::OnConfirmed(store_revision revision, timestamp confirmed_at) {
  if (std::exchange(have_instances_changed_, false) && instances_handler_)
    instances_handler_();
  services_.latest_configuration.Confirm(
      services_.latest_configuration.version(), confirmed_at);
  if (mirror_.HasContent() && revision.era > mirror_.revision().era &&
      !mirror_.ContainsKey(std::string(kInstancePrefix) + settings_.instance))
    announcer_.OnEntryMissing();
  mirror_.Confirm(revision, confirmed_at);
  is_reachable_ = true;
  is_behind_logged_ = false;
}

void store_view::OnStoreLost(store_error error) {
  is_reachable_ = false;
  services_.metrics.OnStoreLost();
  services_.logger.Write(log_level::warning, "store_lost",
                         {{"reason", std::string(StoreErrorName(error))}});
  if (loss_handler_)
    loss_handler_();
}

void store_view::OnStoreRegained() {
  services_.logger.Write(log_level::info, "store_regained", {});
}

void store_view::OnHistoryGone(store_revision revision) {
  services_.metrics.OnStoreHistoryGone();
  services_.logger.Write(
      log_level::warning, "store_history_gone",
      {{"revision", revision.number}, {"era", StatedEra(revision)}});
}

void store_view::OnNewEra(store_revision revision,
                          store_revision latest_revision) {
  services_.metrics.OnStoreEra();
  services_.logger.Write(
      log_level::warning, "store_era",
      {{"era", StatedEra(revision)},
       {"replaces", StatedEra(latest_revision)},
       {"revision", revision.number},
       {"latest_revision", latest_revision.number},
       {"configuration", services_.latest_configuration.version()}});
  era_grace_deadline_ = services_.scheduler.Now() + settings_.outage_grace;
  era_grace_timer_ = services_.scheduler.RunAt(
      era_grace_deadline_, [this] { SetEvacuated(stored_evacuations_); });
}

void store_view::OnRangeBehind(store_revision revision,
                               store_revision latest_revision) {
  services_.metrics.OnStoreBehind();
  if (std::exchange(is_behind_logged_, true))
    return;
  services_.logger.Write(log_level::warning, "store_behind",
                         {{"revision", revision.number},
                          {"era", StatedEra(revision)},
                          {"latest_revision", latest_revision.number},
                          {"latest_era", StatedEra(latest_revision)}});
}

void store_view::ApplyChange(const store_change& change,
                             std::optional<timestamp> grace_deadline) {
  if (dialect_.IsConfigurationKey(change.key)) {
    if (change.value)
      ApplyConfiguration(*change.value);
  } else if (const auto domain = dialect_.EvacuatedDomain(change.key)) {
    std::set<domain_id> domains = stored_evacuations_;
    if (change.value)
      domains.insert(*domain);
    else
      domains.erase(*domain);
    SetEvacuated(std::move(domains));
  } else if (change.key.starts_with(dialect_.TargetPrefix())) {
    ApplyTarget(change, grace_deadline);
  } else if (change.key.starts_with(kInstancePrefix)) {
    ApplyInstance(change);
  } else if (change.key.starts_with(kQuarantinePrefix)) {
    ApplyQuarantine(change);
  } else if (IsRolloutKey(change.key)) {
    ApplyRollout(change);
  }
}

bool store_view::IsRolloutKey(const std::string& key) const {
  return rollout_handler_ && (dialect_.RolloutRequestService(key) ||
                              dialect_.RolloutStatusService(key));
}

void store_view::ApplyRollout(const store_change& change) {
  if (change.value)
    rollout_keys_.insert(change.key);
  else
    rollout_keys_.erase(change.key);
  rollout_handler_(change);
}

void store_view::ApplyQuarantine(const store_change& change) {
  if (change.value)
    quarantine_keys_.insert(change.key);
  else
    quarantine_keys_.erase(change.key);
  if (quarantine_handler_)
    quarantine_handler_(change);
}

void store_view::ApplyConfiguration(const std::string& value) {
  try {
    routing_configuration configuration = dialect_.DecodeConfiguration(value);
    // The follower calls OnConfirmed after the changes, which sets the time.
    const timestamp unconfirmed{};
    const std::int64_t previous_version =
        services_.latest_configuration.version();
    if (!services_.latest_configuration.UpdateIfNewer(std::move(configuration),
                                                      unconfirmed))
      return;
    const auto table = services_.latest_configuration.table();
    services_.logger.Write(
        log_level::info, "configuration",
        {{"version", services_.latest_configuration.version()},
         {"replaces", previous_version},
         {"routes",
          static_cast<std::int64_t>(table->configuration().routes.size())}});
    if (configuration_handler_)
      configuration_handler_();
  } catch (const std::invalid_argument& error) {
    services_.logger.Write(log_level::error, "configuration_unreadable",
                           {{"reason", std::string(error.what())}});
  }
}

void store_view::ApplyTarget(const store_change& change,
                             std::optional<timestamp> grace_deadline) {
  const timestamp now = services_.scheduler.Now();
  if (!change.value) {
    services_.directory.Remove(dialect_.TargetIdFromKey(change.key),
                               grace_deadline, now);
    return;
  }
  if (const auto entry = dialect_.DecodeTarget(change.key, *change.value)) {
    const known_target* held = services_.directory.Find(entry->id);
    const bool has_other_version =
        !held || held->entry.version != entry->version;
    services_.directory.Upsert(*entry, now);
    // A new version must not receive requests before it is identified as one.
    if (rollout_handler_ && has_other_version)
      rollout_handler_(change);
    return;
  }
  services_.logger.Write(log_level::warning, "target_entry_unreadable",
                         {{"key", change.key}});
}

void store_view::ApplyInstance(const store_change& change) {
  const std::string name = change.key.substr(kInstancePrefix.size());
  std::optional<announcement> entry;
  if (change.value) {
    entry = DecodeAnnouncement(name, *change.value);
    if (!entry)
      services_.logger.Write(log_level::warning, "instance_entry_unreadable",
                             {{"key", change.key}});
  }
  if (name == settings_.instance) {
    if (!change.value)
      announcer_.OnEntryMissing();
    return;
  }
  if (!entry) {
    have_instances_changed_ |= instances_.erase(name) > 0;
    return;
  }
  known_instance& known = instances_[name];
  if (known == entry->instance)
    return;
  known = entry->instance;
  have_instances_changed_ = true;
}

void store_view::RemoveMissing(const std::map<std::string, store_change>& items,
                               std::optional<timestamp> grace_deadline) {
  std::vector<target_id> missing;
  for (const auto& [id, target] : services_.directory.targets()) {
    if (!items.contains(dialect_.TargetPrefix() + id.text()))
      missing.push_back(id);
  }
  for (const target_id& id : missing) {
    services_.directory.Remove(id, grace_deadline, services_.scheduler.Now());
  }
  const std::set<std::string> quarantine_keys = quarantine_keys_;
  for (const std::string& key : quarantine_keys) {
    if (!items.contains(key))
      ApplyQuarantine({key, std::nullopt, 0});
  }
  const std::set<std::string> rollout_keys = rollout_keys_;
  for (const std::string& key : rollout_keys) {
    if (!items.contains(key))
      ApplyRollout({key, std::nullopt, 0});
  }
  std::set<domain_id> domains;
  for (const auto& [key, item] : items) {
    if (const auto domain = dialect_.EvacuatedDomain(key))
      domains.insert(*domain);
  }
  SetEvacuated(std::move(domains));
  have_instances_changed_ |=
      std::erase_if(instances_, [&](const auto& entry) {
        return !items.contains(std::string(kInstancePrefix) + entry.first);
      }) > 0;
  if (!items.contains(std::string(kInstancePrefix) + settings_.instance))
    announcer_.OnEntryMissing();
}

void store_view::SetEvacuated(std::set<domain_id> stored) {
  stored_evacuations_ = std::move(stored);
  std::set<domain_id> domains = stored_evacuations_;
  if (services_.scheduler.Now() < era_grace_deadline_)
    domains.insert(evacuated_.begin(), evacuated_.end());
  if (domains == evacuated_)
    return;
  evacuated_ = std::move(domains);
  std::string names;
  for (const domain_id& domain : evacuated_)
    names += (names.empty() ? "" : ",") + domain.text();
  services_.logger.Write(log_level::info, "evacuated_domains",
                         {{"domains", names}});
  services_.directory.SetEvacuated(evacuated_);
}

}  // namespace wist
