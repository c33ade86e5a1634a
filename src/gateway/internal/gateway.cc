#include <signal.h>

#include <set>

#include "follower/prefix_follower.h"
#include "framework/base/hashing.h"
#include "gateway/gateway_module.h"
#include "gateway/internal/caller_connection.h"
#include "gateway/internal/crash_watch.h"
#include "gateway/internal/status_listener.h"
#include "gateway/internal/store_view.h"
#include "peers/load_exchange.h"
#include "peers/mirror_server.h"
#include "peers/shared_store.h"

namespace wist {
namespace {

// How often held log lines are written.
constexpr milliseconds kLogFlushPause{100};

// How often beliefs are checked for their age.
constexpr milliseconds kCheckPause{200};

// The settings file may change without a signal, so it is looked at this often.
constexpr milliseconds kReloadPause{1000};

// A stopping instance goes on accepting for this long: the balancer asks once a
// second and needs two answers.
constexpr milliseconds kStopAcceptSpan{2600};
constexpr milliseconds kStopCheckPause{50};

// A stopping process ends by itself this long before it would be killed.
constexpr milliseconds kStopMargin{150};

class gateway final : public i_gateway {
 public:
  gateway(const gateway_settings& settings, const gateway_parts& parts)
      : settings_(settings),
        parts_(parts),
        caller_(MakeHttpCaller(parts.loop, parts.loop)),
        directory_(settings.missing_grace),
        selector_({settings.domain}, directory_, Seed()),
        services_{settings_,  parts.loop, *caller_,     parts.dialect, belief_,
                  directory_, selector_,  parts.logger, metrics_,      [] {}},
        shared_store_(
            parts.store,
            *caller_,
            parts.loop,
            [this](const std::set<std::string>& unusable, bool store_refuses) {
              return WatchParentNow(unusable, store_refuses);
            }),
        view_(settings_,
              parts.dialect,
              shared_store_,
              parts.store,
              services_,
              Seed()),
        mirror_server_(view_.mirror(), parts.loop),
        loads_(
            {},
            settings.instance,
            StartedAt(),
            parts.loop,
            [this] {
              return own_word{selector_.OwnLoads(parts_.loop.Now()),
                              services_.crashes.Notices(parts_.loop.Now())};
            },
            [this](const load_word& word) { OnWord(word); }),
        crash_watch_(parts.loop,
                     parts.loop,
                     services_.crashes,
                     parts.logger,
                     [this] { loads_.OnLoadChange(); }) {
    services_.on_load_change = [this] { loads_.OnLoadChange(); };
    services_.on_run_broken = [this](request_digest digest,
                                     const target_entry& target) {
      crash_watch_.OnRunBroken(digest, target);
    };
    view_.SubscribeToInstances([this] { OnInstances(); });
    view_.SubscribeToLoss([this] { mirror_server_.OnSourceLost(); });
    directory_.SubscribeToLeaves(
        [this](const known_target& target) { OnTargetLeaves(target); });
    view_.SubscribeToConfiguration(
        [this] { selector_.ApplyConfiguration(belief_.table()); });
  }

  void Run() override {
    parts_.logger.Write(log_level::info, "start",
                        {{"instance", settings_.instance},
                         {"domain", settings_.domain.text()},
                         {"version", std::string(WIST_VERSION)}});
    status_ = std::make_unique<status_listener>(
        parts_.loop, settings_.ready_listen, settings_.metrics_listen,
        [this] { return Ready(); }, [this] { return MetricsText(); });
    parts_.loop.Listen(settings_.listen,
                       [this](std::shared_ptr<i_channel> channel) {
                         Accept(std::move(channel));
                       });
    peer_port_ = parts_.loop.OpenDatagramPort(
        settings_.peer_listen,
        [this](std::string_view bytes, const http_address&) {
          loads_.OnDatagram(bytes);
        });
    loads_.Start(*peer_port_);
    parts_.loop.Listen(settings_.peer_listen,
                       [this](std::shared_ptr<i_channel> channel) {
                         mirror_server_.Accept(std::move(channel));
                       });
    parts_.loop.OnSignal(SIGHUP, [this] { Reload(); });
    parts_.loop.OnSignal(SIGTERM, [this] { BeginStopping(); });
    parts_.loop.OnSignal(SIGINT, [this] { BeginStopping(); });
    view_.Start();
    FlushLog();
    Check();
    parts_.loop.Run();
    parts_.logger.Write(
        log_level::info, "stop",
        {{"cut", static_cast<std::int64_t>(BusyConnections())}});
    parts_.logger.Flush();
  }

 private:
  std::uint32_t Seed() const {
    return static_cast<std::uint32_t>(StableHash(settings_.instance));
  }

  std::int64_t StartedAt() const {
    return std::chrono::duration_cast<microseconds>(
               parts_.clock->CalendarNow().time_since_epoch())
        .count();
  }

  void OnInstances() {
    std::vector<http_address> addresses;
    for (const known_instance& instance : view_.OtherInstances())
      addresses.push_back(instance.address);
    loads_.SetPeers(std::move(addresses));
    services_.instance_count = view_.OtherInstances().size() + 1;
    selector_.SetInstanceCount(services_.instance_count);
  }

  void OnWord(const load_word& word) {
    const timestamp now = parts_.loop.Now();
    selector_.SetPeerLoads(word.instance, word.loads, now);
    for (const crash_notice& notice : word.crashes)
      services_.crashes.OnNotice(notice, now);
  }

  // Whom this instance asks for the store's changes now.
  std::optional<known_instance> WatchParentNow(
      const std::set<std::string>& unusable,
      bool store_refuses) {
    std::vector<known_instance> live;
    for (const known_instance& instance : view_.OtherInstances()) {
      if (loads_.HeardLately(instance.name) &&
          !unusable.contains(instance.name))
        live.push_back(instance);
    }
    return WatchParent(view_.Self(), live, store_refuses);
  }

  // Bounds take effect at once; addresses stay those of the start.
  void Reload() {
    const auto changed = parts_.reload();
    if (!changed)
      return;
    settings_.key_validity = changed->key_validity;
    settings_.stop_limit = changed->stop_limit;
    settings_.retry_ratio = changed->retry_ratio;
    settings_.retry_slack = changed->retry_slack;
    settings_.retry_window = changed->retry_window;
    for (auto& [service, budget] : services_.budgets)
      budget.SetSettings(services_.RetrySettings());
    parts_.logger.Write(log_level::info, "reload",
                        {{"instance", settings_.instance}});
  }

  bool Ready() const {
    return !services_.stop_deadline && belief_.table() && view_.HasSnapshot() &&
           belief_.IsFresh(parts_.loop.Now(), settings_.key_validity);
  }

  std::string MetricsText() {
    const auto age = belief_.Age(parts_.loop.Now());
    metrics_.SetConfigurationAge(
        age ? std::chrono::duration<double>(*age).count() : -1);
    metrics_.SetDroppedLogLines(parts_.logger.DroppedLines());
    return metrics_.Text();
  }

  void Accept(std::shared_ptr<i_channel> channel) {
    if (connections_.size() >= settings_.max_channels) {
      parts_.logger.Write(log_level::warning, "too_many_channels", {});
      return channel->Abort();
    }
    const auto connection = std::make_shared<caller_connection>(
        services_, std::move(channel),
        [this](caller_connection* ended) { Remove(ended); });
    connections_.insert(connection);
    if (services_.stop_deadline)
      connection->BeginStopping();
    connection->Start();
  }

  void Remove(caller_connection* ended) {
    std::erase_if(connections_, [&](const auto& connection) {
      return connection.get() == ended;
    });
  }

  std::size_t BusyConnections() const {
    std::size_t busy = 0;
    for (const auto& connection : connections_)
      busy += connection->IsBusy() ? 1 : 0;
    return busy;
  }

  void OnTargetLeaves(const known_target& target) {
    parts_.logger.Write(log_level::info, "target_leaves",
                        {{"target", target.entry.id.text()},
                         {"domain", target.entry.domain.text()},
                         {"sequence", target.entry.sequence}});
    // A copy: connections may end while they are told.
    const auto connections = connections_;
    for (const auto& connection : connections)
      connection->OnTargetLeaves(target.entry.id);
  }

  void FlushLog() {
    parts_.logger.Flush();
    flush_timer_ = parts_.loop.RunAt(parts_.loop.Now() + kLogFlushPause,
                                     [this] { FlushLog(); });
  }

  void Check() {
    const timestamp now = parts_.loop.Now();
    directory_.Expire(now);
    selector_.Expire();
    services_.crashes.Expire(now);
    if (now >= reload_due_) {
      reload_due_ = now + kReloadPause;
      Reload();
    }
    const bool ready = Ready();
    if (ready != was_ready_) {
      was_ready_ = ready;
      if (!ready)
        CloseIdleConnections();
      const auto age = belief_.Age(now);
      parts_.logger.Write(
          log_level::info, "readiness",
          {{"ready", ready},
           {"configuration", belief_.version()},
           {"configuration_age_ms", age ? ToMilliseconds(*age) : -1.0}});
    }
    check_timer_ = parts_.loop.RunAt(now + kCheckPause, [this] { Check(); });
  }

  // Callers on kept channels would meet refusals here; new channels lead to
  // instances that are ready.
  void CloseIdleConnections() {
    const auto connections = connections_;
    for (const auto& connection : connections)
      connection->CloseIfIdle();
  }

  void BeginStopping() {
    if (services_.stop_deadline)
      return;
    const timestamp now = parts_.loop.Now();
    services_.stop_deadline = now + settings_.stop_limit - kStopMargin;
    services_.accept_deadline = now + kStopAcceptSpan;
    parts_.logger.Write(
        log_level::info, "stopping",
        {{"in_flight", static_cast<std::int64_t>(BusyConnections())}});
    for (const auto& connection : connections_)
      connection->BeginStopping();
    CheckStop();
  }

  void CheckStop() {
    const timestamp now = parts_.loop.Now();
    const bool accepting = now < *services_.accept_deadline;
    if (now >= *services_.stop_deadline ||
        (!accepting && BusyConnections() == 0))
      return parts_.loop.Stop();
    if (!accepting)
      CloseIdleConnections();
    stop_timer_ =
        parts_.loop.RunAt(now + kStopCheckPause, [this] { CheckStop(); });
  }

  gateway_settings settings_;
  const gateway_parts parts_;
  gateway_metrics metrics_;
  const std::unique_ptr<i_http_caller> caller_;
  configuration_belief belief_;
  target_directory directory_;
  target_selector selector_;
  gateway_services services_;
  shared_store shared_store_;
  store_view view_;
  mirror_server mirror_server_;
  load_exchange loads_;
  crash_watch crash_watch_;
  std::unique_ptr<i_datagram_port> peer_port_;
  timestamp reload_due_{};
  std::unique_ptr<status_listener> status_;
  std::set<std::shared_ptr<caller_connection>> connections_;
  bool was_ready_ = false;
  std::unique_ptr<i_timer> flush_timer_;
  std::unique_ptr<i_timer> check_timer_;
  std::unique_ptr<i_timer> stop_timer_;
};

}  // namespace

std::unique_ptr<i_gateway> MakeGateway(const gateway_settings& settings,
                                       const gateway_parts& parts) {
  return std::make_unique<gateway>(settings, parts);
}

}  // namespace wist
