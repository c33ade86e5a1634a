#include "gateway/internal/store_view.h"

#include <stdexcept>

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

// Prefix of the entries by which instances discover each other.
constexpr std::string_view kInstancePrefix = "wist/instances/";

// An entry remains in the store for at most this long after its instance ended.
// It is renewed early enough to survive a store outage.
constexpr milliseconds kAnnouncementTtl{180'000};
constexpr milliseconds kAnnouncementInterval{90'000};
constexpr milliseconds kAnnouncementRetryDelay{2000};

follower_settings FollowerSettings(const gateway_settings& settings) {
  follower_settings follower;
  follower.watch_wait = kWatchTimeout;
  follower.max_age = kMaxMirrorAge;
  follower.change_pause = kChangeBatchDelay;
  follower.outage_grace = settings.outage_grace;
  return follower;
}

}  // namespace

store_view::store_view(const gateway_settings& settings,
                       const i_dialect& dialect,
                       i_store_reader& reader,
                       i_async_store& writer,
                       gateway_services& services,
                       std::uint32_t seed)
    : settings_(settings),
      dialect_(dialect),
      writer_(writer),
      services_(services),
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

void store_view::SubscribeToLoss(std::function<void()> handler) {
  loss_handler_ = std::move(handler);
}

void store_view::Start() {
  follower_.Start();
  Announce();
}

known_instance store_view::Self() const {
  return {settings_.instance, settings_.domain, settings_.peer_listen,
          settings_.link_mbps};
}

std::vector<known_instance> store_view::OtherInstances() const {
  std::vector<known_instance> others;
  for (const auto& [name, instance] : instances_) {
    if (name != settings_.instance)
      others.push_back(instance);
  }
  return others;
}

void store_view::Announce() {
  announce_timer_ = services_.scheduler.RunAt(
      services_.scheduler.Now() + kAnnouncementInterval,
      [this] { Announce(); });
  writer_.PutWithTtl(
      std::string(kInstancePrefix) + settings_.instance, EncodeInstance(Self()),
      kAnnouncementTtl, [this](bool written) {
        if (written)
          return;
        services_.logger.Write(log_level::warning, "announce_failed", {});
        announce_timer_ = services_.scheduler.RunAt(
            services_.scheduler.Now() + kAnnouncementRetryDelay,
            [this] { Announce(); });
      });
}

void store_view::OnSnapshot(const std::map<std::string, store_change>& items,
                            bool after_outage) {
  has_snapshot_ = true;
  mirror_.SetAll(items);
  for (const auto& [key, item] : items)
    ApplyChange(item, after_outage);
  RemoveMissing(items, after_outage);
}

void store_view::OnChange(const store_change& change, bool after_outage) {
  // Only the newest version of the configuration is kept for readers of the
  // mirror, since it is by far the largest value. All changes of a target are
  // kept: a deregistration followed by an older entry still counts.
  mirror_.Apply(change, dialect_.IsConfigurationKey(change.key));
  ApplyChange(change, after_outage);
}

void store_view::OnConfirmed(std::int64_t revision, timestamp confirmed_at) {
  services_.latest_configuration.Confirm(
      services_.latest_configuration.version(), confirmed_at);
  mirror_.Confirm(revision, confirmed_at);
}

void store_view::OnStoreLost(store_error error) {
  services_.metrics.OnStoreCall("lost");
  services_.logger.Write(log_level::warning, "store_lost",
                         {{"reason", std::string(StoreErrorName(error))}});
  if (loss_handler_)
    loss_handler_();
}

void store_view::OnStoreRegained() {
  services_.logger.Write(log_level::info, "store_regained", {});
}

void store_view::ApplyChange(const store_change& change, bool after_outage) {
  if (dialect_.IsConfigurationKey(change.key)) {
    if (change.value)
      ApplyConfiguration(*change.value);
  } else if (const auto domain = dialect_.EvacuatedDomain(change.key)) {
    std::set<domain_id> domains = evacuated_;
    if (change.value)
      domains.insert(*domain);
    else
      domains.erase(*domain);
    SetEvacuated(std::move(domains));
  } else if (change.key.starts_with(dialect_.TargetPrefix())) {
    ApplyTarget(change, after_outage);
  } else if (change.key.starts_with(kInstancePrefix)) {
    ApplyInstance(change);
  }
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

void store_view::ApplyTarget(const store_change& change, bool after_outage) {
  const timestamp now = services_.scheduler.Now();
  if (!change.value) {
    services_.directory.Remove(dialect_.TargetIdFromKey(change.key),
                               after_outage, now);
    return;
  }
  if (const auto entry = dialect_.DecodeTarget(change.key, *change.value))
    return services_.directory.Upsert(*entry, now);
  services_.logger.Write(log_level::warning, "target_entry_unreadable",
                         {{"key", change.key}});
}

void store_view::ApplyInstance(const store_change& change) {
  const std::string name = change.key.substr(kInstancePrefix.size());
  instances_.erase(name);
  if (change.value) {
    if (const auto instance = DecodeInstance(name, *change.value))
      instances_[name] = *instance;
    else
      services_.logger.Write(log_level::warning, "instance_entry_unreadable",
                             {{"key", change.key}});
  }
  if (instances_handler_)
    instances_handler_();
}

void store_view::RemoveMissing(const std::map<std::string, store_change>& items,
                               bool after_outage) {
  std::vector<target_id> missing;
  for (const auto& [id, target] : services_.directory.targets()) {
    if (!items.contains(dialect_.TargetPrefix() + id.text()))
      missing.push_back(id);
  }
  for (const target_id& id : missing) {
    services_.directory.Remove(id, after_outage, services_.scheduler.Now());
  }
  std::set<domain_id> domains;
  for (const auto& [key, item] : items) {
    if (const auto domain = dialect_.EvacuatedDomain(key))
      domains.insert(*domain);
  }
  SetEvacuated(std::move(domains));
  std::erase_if(instances_, [&](const auto& entry) {
    return !items.contains(std::string(kInstancePrefix) + entry.first);
  });
  if (instances_handler_)
    instances_handler_();
}

void store_view::SetEvacuated(std::set<domain_id> domains) {
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
