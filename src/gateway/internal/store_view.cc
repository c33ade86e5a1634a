#include "gateway/internal/store_view.h"

#include <stdexcept>

#include "peers/shared_store.h"

namespace wist {
namespace {

// One watch over all keys costs a single call.
constexpr char kEverything[] = "";

// How long a watch waits. Other instances read this one's copy, so its age adds
// to theirs; changes have to be in force within seconds everywhere.
constexpr milliseconds kWatchWait{600};

// Changes that come within this time are taken together.
constexpr milliseconds kChangePause{10};

// Where instances announce themselves to each other.
constexpr std::string_view kInstancePrefix = "wist/instances/";

// An entry outlives its instance by this long at the most. It is renewed early
// enough to bridge an outage of the store.
constexpr milliseconds kAnnounceValidity{180'000};
constexpr milliseconds kAnnouncePause{90'000};
constexpr milliseconds kAnnounceRetryPause{2000};

follower_settings FollowerSettings(const gateway_settings& settings) {
  follower_settings follower;
  follower.watch_wait = kWatchWait;
  follower.max_age = kMaxCopyAge;
  follower.change_pause = kChangePause;
  follower.outage_grace = settings.missing_grace;
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
      follower_(kEverything,
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
          settings_.link_rate};
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
      services_.scheduler.Now() + kAnnouncePause, [this] { Announce(); });
  writer_.PutForAWhile(
      std::string(kInstancePrefix) + settings_.instance, EncodeInstance(Self()),
      kAnnounceValidity, [this](bool done) {
        if (done)
          return;
        services_.logger.Write(log_level::warning, "announce_failed", {});
        announce_timer_ = services_.scheduler.RunAt(
            services_.scheduler.Now() + kAnnounceRetryPause,
            [this] { Announce(); });
      });
}

void store_view::OnSnapshot(const std::map<std::string, store_change>& items,
                            bool after_outage) {
  has_snapshot_ = true;
  mirror_.SetAll(items);
  for (const auto& [key, item] : items)
    Take(item, after_outage);
  RemoveMissing(items, after_outage);
}

void store_view::OnChange(const store_change& change, bool after_outage) {
  // Of the configuration, the largest value by far, only the newest counts.
  // Each change of a target does: a leave that is followed by an older word
  // holds.
  mirror_.Apply(change, dialect_.IsConfigurationKey(change.key));
  Take(change, after_outage);
}

void store_view::OnConfirmed(std::int64_t revision, timestamp confirmed_at) {
  services_.belief.Confirm(services_.belief.version(), confirmed_at);
  mirror_.Confirm(revision, confirmed_at);
}

void store_view::OnLost(store_fault fault) {
  services_.metrics.OnStoreCall("lost");
  services_.logger.Write(log_level::warning, "store_lost",
                         {{"reason", std::string(StoreFaultName(fault))}});
  if (loss_handler_)
    loss_handler_();
}

void store_view::OnRegained() {
  services_.logger.Write(log_level::info, "store_regained", {});
}

void store_view::Take(const store_change& change, bool after_outage) {
  if (dialect_.IsConfigurationKey(change.key)) {
    if (change.value)
      TakeConfiguration(*change.value);
  } else if (const auto domain = dialect_.EvacuatedDomain(change.key)) {
    std::set<domain_id> domains = evacuated_;
    if (change.value)
      domains.insert(*domain);
    else
      domains.erase(*domain);
    SetEvacuated(std::move(domains));
  } else if (change.key.starts_with(dialect_.TargetPrefix())) {
    TakeTarget(change, after_outage);
  } else if (change.key.starts_with(kInstancePrefix)) {
    TakeInstance(change);
  }
}

void store_view::TakeConfiguration(const std::string& value) {
  try {
    routing_configuration configuration = dialect_.DecodeConfiguration(value);
    // Confirmed by the call's own OnConfirmed, which follows.
    const timestamp unconfirmed{};
    const std::int64_t held = services_.belief.version();
    if (!services_.belief.Offer(std::move(configuration), unconfirmed))
      return;
    const auto table = services_.belief.table();
    services_.logger.Write(
        log_level::info, "configuration",
        {{"version", services_.belief.version()},
         {"replaces", held},
         {"routes",
          static_cast<std::int64_t>(table->configuration().routes.size())}});
    if (configuration_handler_)
      configuration_handler_();
  } catch (const std::invalid_argument& error) {
    services_.logger.Write(log_level::error, "configuration_unreadable",
                           {{"reason", std::string(error.what())}});
  }
}

void store_view::TakeTarget(const store_change& change, bool after_outage) {
  const timestamp now = services_.scheduler.Now();
  if (!change.value) {
    services_.directory.Remove(dialect_.TargetOfKey(change.key), after_outage,
                               now);
    return;
  }
  if (const auto entry = dialect_.DecodeTarget(change.key, *change.value))
    return services_.directory.Put(*entry, now);
  services_.logger.Write(log_level::warning, "target_entry_unreadable",
                         {{"key", change.key}});
}

void store_view::TakeInstance(const store_change& change) {
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
