#include "gateway/internal/store_view.h"

#include <stdexcept>

namespace wist {
namespace {

// Requests under a withdrawn key stop within a few seconds, so the operators'
// keys are asked for this often.
constexpr milliseconds kOperatorWatchWait{2500};

// Targets write their entries when something changes; a watch that waits this
// long also finds a channel that went silent.
constexpr milliseconds kTargetWatchWait{4000};

// Where instances announce themselves to each other.
constexpr char kInstancePrefix[] = "wist/instances/";

// Instances change rarely, and word of them is not urgent.
constexpr milliseconds kInstanceWatchWait{20'000};

// An entry outlives its instance by this long at the most. It is renewed early
// enough to bridge an outage of the store.
constexpr milliseconds kAnnounceValidity{180'000};
constexpr milliseconds kAnnouncePause{90'000};
constexpr milliseconds kAnnounceRetryPause{2000};

follower_settings FollowerSettings(const gateway_settings& settings,
                                   milliseconds watch_wait) {
  follower_settings follower;
  follower.watch_wait = watch_wait;
  follower.outage_grace = settings.missing_grace;
  return follower;
}

}  // namespace

store_view::store_view(const gateway_settings& settings,
                       const gateway_parts& parts,
                       gateway_services& services,
                       std::uint32_t seed)
    : settings_(settings),
      store_(parts.store),
      dialect_(parts.dialect),
      services_(services),
      operator_(*this),
      targets_(*this),
      instances_(*this),
      operator_follower_(parts.dialect.OperatorPrefix(),
                         FollowerSettings(settings, kOperatorWatchWait),
                         parts.store,
                         parts.loop,
                         operator_,
                         seed),
      target_follower_(parts.dialect.TargetPrefix(),
                       FollowerSettings(settings, kTargetWatchWait),
                       parts.store,
                       parts.loop,
                       targets_,
                       seed + 1),
      instance_follower_(kInstancePrefix,
                         FollowerSettings(settings, kInstanceWatchWait),
                         parts.store,
                         parts.loop,
                         instances_,
                         seed + 2) {}

void store_view::SubscribeToInstances(
    std::function<void(const std::vector<http_address>&)> handler) {
  instances_handler_ = std::move(handler);
}

void store_view::SubscribeToConfiguration(std::function<void()> handler) {
  configuration_handlers_.push_back(std::move(handler));
}

void store_view::Start() {
  operator_follower_.Start();
  target_follower_.Start();
  instance_follower_.Start();
  Announce();
}

void store_view::Announce() {
  const timestamp now = services_.scheduler.Now();
  announce_timer_ =
      services_.scheduler.RunAt(now + kAnnouncePause, [this] { Announce(); });
  const http_address& address = settings_.peer_listen;
  store_.PutForAWhile(kInstancePrefix + settings_.instance,
                      address.host + ":" + std::to_string(address.port),
                      kAnnounceValidity, [this](bool done) {
                        if (done)
                          return;
                        services_.logger.Write(log_level::warning,
                                               "announce_failed", {});
                        announce_timer_ = services_.scheduler.RunAt(
                            services_.scheduler.Now() + kAnnounceRetryPause,
                            [this] { Announce(); });
                      });
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
    for (const auto& handler : configuration_handlers_)
      handler();
  } catch (const std::invalid_argument& error) {
    services_.logger.Write(log_level::error, "configuration_unreadable",
                           {{"reason", std::string(error.what())}});
  }
}

void store_view::SetEvacuated(const std::set<domain_id>& domains) {
  std::string names;
  for (const domain_id& domain : domains)
    names += (names.empty() ? "" : ",") + domain.text();
  services_.logger.Write(log_level::info, "evacuated_domains",
                         {{"domains", names}});
  services_.directory.SetEvacuated(domains);
}

void store_view::PutTarget(const std::string& key, const std::string& value) {
  const auto entry = dialect_.DecodeTarget(key, value);
  if (entry)
    return services_.directory.Put(*entry, services_.scheduler.Now());
  services_.logger.Write(log_level::warning, "target_entry_unreadable",
                         {{"key", key}});
}

void store_view::LogLost(const std::string& prefix, store_fault fault) {
  services_.metrics.OnStoreCall("lost");
  services_.logger.Write(
      log_level::warning, "store_lost",
      {{"prefix", prefix}, {"reason", std::string(StoreFaultName(fault))}});
}

void store_view::LogRegained(const std::string& prefix) {
  services_.logger.Write(log_level::info, "store_regained",
                         {{"prefix", prefix}});
}

void store_view::operator_listener::OnSnapshot(
    const std::map<std::string, std::string>& items,
    bool) {
  std::set<domain_id> now_evacuated;
  for (const auto& [key, value] : items) {
    if (view.dialect_.IsConfigurationKey(key))
      view.TakeConfiguration(value);
    else if (const auto domain = view.dialect_.EvacuatedDomain(key))
      now_evacuated.insert(*domain);
  }
  if (now_evacuated == evacuated)
    return;
  evacuated = std::move(now_evacuated);
  view.SetEvacuated(evacuated);
}

void store_view::operator_listener::OnChange(const store_change& change, bool) {
  if (view.dialect_.IsConfigurationKey(change.key)) {
    if (change.value)
      view.TakeConfiguration(*change.value);
    return;
  }
  const auto domain = view.dialect_.EvacuatedDomain(change.key);
  if (!domain)
    return;
  if (change.value)
    evacuated.insert(*domain);
  else
    evacuated.erase(*domain);
  view.SetEvacuated(evacuated);
}

void store_view::operator_listener::OnConfirmed(timestamp confirmed_at) {
  view.services_.belief.Confirm(view.services_.belief.version(), confirmed_at);
}

void store_view::operator_listener::OnLost(store_fault fault) {
  view.LogLost("operator", fault);
}

void store_view::operator_listener::OnRegained() {
  view.LogRegained("operator");
}

void store_view::target_listener::OnSnapshot(
    const std::map<std::string, std::string>& items,
    bool after_outage) {
  has_snapshot = true;
  std::set<target_id> present;
  for (const auto& [key, value] : items) {
    present.insert(view.dialect_.TargetOfKey(key));
    view.PutTarget(key, value);
  }
  std::vector<target_id> missing;
  for (const auto& [id, target] : view.services_.directory.targets()) {
    if (!present.contains(id))
      missing.push_back(id);
  }
  for (const target_id& id : missing) {
    view.services_.directory.Remove(id, after_outage,
                                    view.services_.scheduler.Now());
  }
}

void store_view::target_listener::OnChange(const store_change& change,
                                           bool after_outage) {
  if (change.value)
    return view.PutTarget(change.key, *change.value);
  view.services_.directory.Remove(view.dialect_.TargetOfKey(change.key),
                                  after_outage, view.services_.scheduler.Now());
}

void store_view::target_listener::OnLost(store_fault fault) {
  view.LogLost("targets", fault);
}

void store_view::target_listener::OnRegained() {
  view.LogRegained("targets");
}

void store_view::instance_listener::OnSnapshot(
    const std::map<std::string, std::string>& items,
    bool) {
  addresses = items;
  Tell();
}

void store_view::instance_listener::OnChange(const store_change& change, bool) {
  if (change.value)
    addresses[change.key] = *change.value;
  else
    addresses.erase(change.key);
  Tell();
}

void store_view::instance_listener::Tell() const {
  std::vector<http_address> others;
  for (const auto& [key, address] : addresses) {
    if (key == kInstancePrefix + view.settings_.instance)
      continue;
    try {
      others.push_back(ParseHttpAddress(address));
    } catch (const std::invalid_argument& error) {
      view.services_.logger.Write(
          log_level::warning, "instance_entry_unreadable",
          {{"key", key}, {"reason", std::string(error.what())}});
    }
  }
  if (view.instances_handler_)
    view.instances_handler_(others);
}

}  // namespace wist
