#include <signal.h>

#include <set>
#include <vector>

#include "follower/prefix_follower.h"
#include "framework/base/hashing.h"
#include "framework/http/invalid_response_log.h"
#include "gateway/gateway_module.h"
#include "gateway/internal/caller_channels.h"
#include "gateway/internal/crash_detector.h"
#include "gateway/internal/quarantine_registry.h"
#include "gateway/internal/rollout_controller.h"
#include "gateway/internal/status_listener.h"
#include "gateway/internal/stop_schedule.h"
#include "gateway/internal/store_view.h"
#include "peers/load_exchange.h"
#include "peers/mirror_server.h"
#include "peers/watch_tree_reader.h"

namespace wist {
namespace {

// Interval at which buffered log lines are written.
constexpr milliseconds kLogFlushInterval{100};

// Interval of the checks for expired state and of the readiness check.
constexpr milliseconds kCheckInterval{200};

// Delay after which runs in progress are checked for new quarantines.
constexpr milliseconds kCrashCheckDelay{5};

// The settings file may change without a signal, so it is polled.
constexpr milliseconds kReloadInterval{1000};

// Interval of the log lines that count the calls to the store.
constexpr milliseconds kStoreCallLogInterval{5000};

constexpr milliseconds kStopCheckInterval{50};

// Reason for which connections are closed at their limit.
constexpr char kNoDescriptor[] = "no_descriptor";

// Interval of the log lines that count refused and closed callers.
constexpr milliseconds kShedLogInterval{1000};

// Size of the kernel's receive buffer of connections to the peers' port, whose
// requests are short.
constexpr int kInternalReceiveBufferBytes = 16'384;

class gateway final : public i_gateway {
 public:
  gateway(const gateway_settings& settings,
          const gateway_dependencies& dependencies)
      : settings_(settings),
        dependencies_(dependencies),
        invalid_responses_(dependencies.logger,
                           [this](const std::string& rule) {
                             metrics_.OnInvalidResponse(rule);
                           }),
        caller_(MakeHttpCaller(dependencies.loop,
                               dependencies.loop,
                               [this](const invalid_response& response) {
                                 OnInvalidResponse(response);
                               })),
        selector_({settings.domain}, directory_, Seed()),
        services_{settings_,
                  dependencies.loop,
                  *caller_,
                  dependencies.dialect,
                  latest_configuration_,
                  directory_,
                  selector_,
                  dependencies.logger,
                  metrics_,
                  [] {}},
        watch_reader_(
            dependencies.store,
            *caller_,
            dependencies.loop,
            [this](const std::set<std::string>& unusable, bool store_refuses) {
              return ChooseWatchParent(unusable, store_refuses);
            },
            [this](const std::string& cause) { OnStoreCall(cause); }),
        store_view_(settings_,
                    dependencies.dialect,
                    watch_reader_,
                    dependencies.store,
                    services_,
                    Seed(),
                    [this](const std::string& cause) { OnStoreCall(cause); }),
        mirror_server_(store_view_.mirror(),
                       dependencies.loop,
                       settings_.max_internal_connections,
                       [this](const std::shared_ptr<i_channel>& channel) {
                         services_.buffers.AddUnsent(channel, {});
                       }),
        load_exchange_(
            {},
            store_view_.Self(),
            StartedAt(),
            dependencies.loop,
            [this] { return CollectLocalReport(); },
            [this](const target_load& load) {
              selector_.SetOthersLoad(load, dependencies_.loop.Now());
            },
            [this](const crash_notice& notice) {
              services_.crashes.OnNotice(notice, dependencies_.loop.Now());
              ScheduleCrashCheck();
            }),
        crash_detector_(dependencies.loop,
                        dependencies.loop,
                        services_.crashes,
                        dependencies.logger,
                        [this](const run_fingerprint& run) {
                          quarantines_.OnCrashObserved(run);
                          ScheduleCrashCheck();
                          load_exchange_.ScheduleReport();
                        }),
        quarantines_(services_.crashes,
                     dependencies.store,
                     dependencies.loop,
                     dependencies.logger,
                     [this] { return load_exchange_.neighbors().IsRoot(); }) {
    services_.buffers.SetObserver([this](const std::string& source,
                                         std::size_t bytes,
                                         std::size_t total_bytes) {
      metrics_.OnResponseGivenUp();
      dependencies_.logger.Write(
          log_level::warning, "response_given_up",
          {{"source", source},
           {"bytes", static_cast<std::int64_t>(bytes)},
           {"total_bytes", static_cast<std::int64_t>(total_bytes)}});
    });
    services_.on_invalid_response = [this](const invalid_response& response) {
      OnInvalidResponse(response);
    };
    services_.requests.SetObserver([this](request_buffers::shed_reason reason) {
      OnShed(reason == request_buffers::shed_reason::slow ? "slow" : "no_room");
    });
    dependencies.loop.SetErrorReporter(
        [this](const std::string& subject, const std::string& cause) {
          metrics_.OnHandlerFailure();
          dependencies_.logger.Write(log_level::error, "handler_failed",
                                     {{"peer", subject}, {"cause", cause}});
        });
    services_.on_load_change = [this] { load_exchange_.ScheduleReport(); };
    services_.on_run_broken = [this](const run_fingerprint& run,
                                     std::int64_t event_count,
                                     const target_entry& target) {
      crash_detector_.OnRunBroken(run, event_count, target);
    };
    services_.on_quarantined_request = [this](const quarantine& refusing,
                                              std::function<void(bool)> done) {
      return quarantines_.OnQuarantinedRequest(refusing, std::move(done));
    };
    store_view_.SubscribeToQuarantines([this](const store_change& change) {
      quarantines_.OnStoreChange(change);
    });
    store_view_.SubscribeToInstances([this] { OnInstancesChanged(); });
    store_view_.SubscribeToLoss([this] { mirror_server_.OnSourceLost(); });
    directory_.SubscribeToDepartures(
        [this](const known_target& target) { OnTargetLeaving(target); });
    store_view_.SubscribeToConfiguration([this] {
      selector_.ApplyConfiguration(latest_configuration_.table());
      CheckLargestRequest();
    });
    if (settings.rollouts_enabled)
      EnableRollouts();
  }

  void Run() override {
    dependencies_.logger.Write(log_level::info, "start",
                               {{"instance", settings_.instance},
                                {"domain", settings_.domain.text()},
                                {"version", std::string(WIST_VERSION)}});
    status_ = std::make_unique<status_listener>(
        dependencies_.loop, settings_.ready_listen, settings_.metrics_listen,
        settings_.max_internal_connections, [this] { return IsReady(); },
        [this] { return MetricsText(); });
    dependencies_.loop.Listen(
        settings_.listen,
        [this](std::shared_ptr<i_channel> channel) { Accept(channel); },
        {ReceiveBufferBytes(settings_)});
    if (settings_.relay_listen) {
      dependencies_.loop.Listen(*settings_.relay_listen,
                                [this](std::shared_ptr<i_channel> channel) {
                                  Accept(channel, /*is_relay=*/true);
                                },
                                {ReceiveBufferBytes(settings_)});
    }
    peer_port_ = dependencies_.loop.OpenDatagramPort(
        settings_.peer_listen,
        [this](std::string_view bytes, const http_address& sender) {
          load_exchange_.OnDatagram(bytes, sender);
        });
    load_exchange_.Start(*peer_port_);
    dependencies_.loop.Listen(
        settings_.peer_listen,
        [this](const std::shared_ptr<i_channel>& channel) {
          mirror_server_.Accept(channel);
        },
        {kInternalReceiveBufferBytes});
    dependencies_.loop.AddSignalHandler(SIGHUP, [this] { Reload(); });
    dependencies_.loop.AddSignalHandler(SIGTERM, [this] { StartStopping(); });
    dependencies_.loop.AddSignalHandler(SIGINT, [this] { StartStopping(); });
    store_view_.Start();
    FlushLog();
    RunPeriodicChecks();
    if (rollouts_)
      rollouts_->Start();
    dependencies_.loop.Run();
    load_exchange_.Detach();
    dependencies_.logger.Write(
        log_level::info, "stop",
        {{"cut", static_cast<std::int64_t>(BusyConnections())},
         {"unsent_bytes",
          static_cast<std::int64_t>(caller_channels_.UnsentBytes())}});
    dependencies_.logger.Flush();
  }

  void OnInvalidResponse(const invalid_response& response) override {
    invalid_responses_.Report(response, dependencies_.loop.Now());
  }

 private:
  void EnableRollouts() {
    rollout_environment environment;
    environment.is_decider = [this] {
      return load_exchange_.neighbors().IsRoot();
    };
    environment.is_store_reachable = [this] {
      return store_view_.IsReachable();
    };
    environment.other_instance_count = [this] {
      return services_.instance_count - 1;
    };
    environment.others_sums = [this] {
      return load_exchange_.OthersRollouts();
    };
    environment.on_store_call = [this](const std::string& cause) {
      OnStoreCall(cause);
    };
    environment.on_runs_to_move = [this] {
      // Iterates over a copy, since connections may be removed meanwhile.
      const auto connections = connections_;
      for (const auto& connection : connections)
        connection->OnVersionsChanged();
    };
    rollouts_ = std::make_unique<rollout_controller>(
        services_, dependencies_.store, dependencies_.clock,
        std::move(environment));
    services_.versions = rollouts_.get();
    store_view_.SubscribeToRollouts([this](const store_change& change) {
      rollouts_->OnStoreChange(change);
    });
    load_exchange_.EnableRollouts([this] { return rollouts_->OwnSums(); });
  }

  std::uint32_t Seed() const {
    return static_cast<std::uint32_t>(StableHash(settings_.instance));
  }

  std::int64_t StartedAt() const {
    return std::chrono::duration_cast<microseconds>(
               dependencies_.clock->CalendarNow().time_since_epoch())
        .count();
  }

  void OnInstancesChanged() {
    const std::vector<known_instance> others = store_view_.OtherInstances();
    load_exchange_.SetInstances(others);
    services_.relays.SetInstances(settings_.domain, others);
    services_.instance_count = others.size() + 1;
    const auto ordinal = std::count_if(
        others.begin(), others.end(),
        [&](const auto& other) { return other.name < settings_.instance; });
    selector_.SetPosition(
        {services_.instance_count, static_cast<std::size_t>(ordinal)});
  }

  local_report CollectLocalReport() {
    const timestamp now = dependencies_.loop.Now();
    local_report report{
        selector_.OwnLoads(now),
        services_.crashes.RecentNotices(now, last_notice_number_)};
    last_notice_number_ = services_.crashes.LastNoticeNumber();
    return report;
  }

  // Returns from where to read the store's changes.
  mirror_source ChooseWatchParent(const std::set<std::string>& unusable,
                                  bool store_refuses) {
    return load_exchange_.neighbors().ChooseSource(unusable, store_refuses,
                                                   dependencies_.loop.Now());
  }

  void OnStoreCall(const std::string& cause) {
    metrics_.OnStoreCall(cause);
    ++store_calls_[cause];
  }

  void LogStoreCalls() {
    if (store_calls_.empty())
      return;
    log_fields fields;
    for (const auto& [cause, count] : store_calls_)
      fields.push_back({cause, count});
    dependencies_.logger.Write(log_level::info, "store_calls", fields);
    store_calls_.clear();
  }

  // Applies the limits below at once; other settings take effect only after a
  // restart.
  void Reload() {
    const auto changed = dependencies_.reload_settings();
    if (!changed)
      return;
    settings_.key_validity = changed->key_validity;
    settings_.stop_limit = changed->stop_limit;
    settings_.memory_limit_bytes = changed->memory_limit_bytes;
    settings_.caller_memory_bytes = changed->caller_memory_bytes;
    services_.buffers.SetLimit(settings_.memory_limit_bytes /
                               kResponseMemoryDivisor);
    services_.requests.SetLimit(CallerMemoryBytes(settings_));
    CheckLargestRequest();
    settings_.retry_ratio = changed->retry_ratio;
    settings_.retry_slack = changed->retry_slack;
    settings_.retry_window = changed->retry_window;
    for (auto& [service, budget] : services_.retry_budgets)
      budget.SetSettings(services_.RetrySettings());
    dependencies_.logger.Write(log_level::info, "reload",
                               {{"instance", settings_.instance}});
  }

  // An instance that can't confirm its configuration can't determine whether an
  // API key was revoked, so it would refuse the requests that need one.
  bool IsReady() const {
    return !services_.stop_deadline && latest_configuration_.table() &&
           store_view_.HasSnapshot() &&
           latest_configuration_.IsFresh(dependencies_.loop.Now(),
                                         settings_.key_validity);
  }

  std::string MetricsText() {
    const auto age =
        latest_configuration_.ConfirmationAge(dependencies_.loop.Now());
    metrics_.SetConfigurationAge(
        age ? std::chrono::duration<double>(*age).count() : -1);
    metrics_.SetQuarantines(services_.crashes.Quarantines().size());
    if (rollouts_)
      rollouts_->UpdateMetrics();
    metrics_.SetDroppedLogLines(dependencies_.logger.DroppedLineCount());
    return metrics_.Text();
  }

  void Accept(const std::shared_ptr<i_channel>& channel,
              bool is_relay = false) {
    if (caller_channels_.count() >= settings_.max_connections && !MakeRoom()) {
      OnShed(kNoDescriptor);
      return channel->Abort();
    }
    caller_channels_.Add(channel);
    const auto connection = std::make_shared<caller_connection>(
        services_, channel, [this](caller_connection* ended) { Remove(ended); },
        is_relay);
    connections_.insert(connection);
    if (services_.stop_deadline)
      connection->StartDraining();
    connection->Start();
  }

  // Closes a connection if all descriptors for callers are in use. Returns
  // whether there is room for another one.
  bool MakeRoom() {
    caller_channels_.ForgetEnded();
    if (caller_channels_.count() < settings_.max_connections)
      return true;
    if (!caller_channels_.CloseOne(connections_, dependencies_.loop.Now()))
      return false;
    OnShed(kNoDescriptor);
    return true;
  }

  void OnShed(const std::string& reason) {
    metrics_.OnShed(reason);
    ++shed_[reason];
  }

  // One line for all requests and connections that were refused or closed since
  // the last one, so that a crowd can't flood the log.
  void LogShed() {
    if (shed_.empty())
      return;
    if (const auto closed = shed_.extract(kNoDescriptor)) {
      dependencies_.logger.Write(log_level::warning, "too_many_channels",
                                 {{"closed", closed.mapped()}});
    }
    if (shed_.empty())
      return;
    log_fields fields;
    for (const auto& [reason, count] : shed_)
      fields.push_back({reason, count});
    fields.push_back({"request_bytes", static_cast<std::int64_t>(
                                           services_.requests.total_bytes())});
    fields.push_back({"limit_bytes", static_cast<std::int64_t>(
                                         services_.requests.limit_bytes())});
    dependencies_.logger.Write(log_level::warning, "requests_shed", fields);
    shed_.clear();
  }

  // The limit of bodies may change with the configuration, while the budget is
  // a setting of this instance: the operators have to change one of them.
  void CheckLargestRequest() {
    const auto table = latest_configuration_.table();
    if (!table)
      return;
    const std::size_t needed = RequestMemoryBytes(
        static_cast<std::size_t>(table->configuration().limits.max_body_bytes));
    const std::size_t available =
        LargeRequestBytes(services_.requests.limit_bytes());
    if (std::exchange(largest_request_fits_, needed <= available) &&
        !largest_request_fits_) {
      dependencies_.logger.Write(
          log_level::error, "largest_request_does_not_fit",
          {{"needed_bytes", static_cast<std::int64_t>(needed)},
           {"available_bytes", static_cast<std::int64_t>(available)}});
    }
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

  void OnTargetLeaving(const known_target& target) {
    dependencies_.logger.Write(log_level::info, "target_leaves",
                               {{"target", target.entry.id.text()},
                                {"domain", target.entry.domain.text()},
                                {"sequence", target.entry.sequence}});
    // Iterates over a copy, since connections may be removed during the calls.
    const auto connections = connections_;
    for (const auto& connection : connections)
      connection->OnTargetLeaving(target.entry.id);
  }

  // Notices of crashes come in series, so they are handled together.
  void ScheduleCrashCheck() {
    if (crash_check_timer_)
      return;
    crash_check_timer_ = dependencies_.loop.RunAt(
        dependencies_.loop.Now() + kCrashCheckDelay, [this] {
          crash_check_timer_.reset();
          if (services_.crashes.Quarantines().empty())
            return;
          // Iterates over a copy, since connections may be removed meanwhile.
          const auto connections = connections_;
          for (const auto& connection : connections)
            connection->OnCrashesChanged();
        });
  }

  // Periodic tasks are scheduled before they run, so that an exception does not
  // end them.
  void FlushLog() {
    flush_timer_ = dependencies_.loop.RunAt(
        dependencies_.loop.Now() + kLogFlushInterval, [this] { FlushLog(); });
    dependencies_.logger.Flush();
  }

  void RunPeriodicChecks() {
    const timestamp now = dependencies_.loop.Now();
    check_timer_ = dependencies_.loop.RunAt(now + kCheckInterval,
                                            [this] { RunPeriodicChecks(); });
    directory_.Expire(now);
    selector_.PruneRemovedTargets();
    services_.crashes.Expire(now);
    quarantines_.Check();
    services_.buffers.RemoveSentChannels();
    caller_channels_.ForgetEnded();
    if (now >= reload_due_) {
      reload_due_ = now + kReloadInterval;
      Reload();
    }
    if (now >= store_call_log_due_) {
      store_call_log_due_ = now + kStoreCallLogInterval;
      LogStoreCalls();
    }
    if (now >= shed_log_due_) {
      shed_log_due_ = now + kShedLogInterval;
      LogShed();
    }
    const bool ready = IsReady();
    if (ready != was_ready_) {
      was_ready_ = ready;
      if (!ready)
        CloseIdleConnections();
      const auto age = latest_configuration_.ConfirmationAge(now);
      dependencies_.logger.Write(
          log_level::info, "readiness",
          {{"ready", ready},
           {"configuration", latest_configuration_.version()},
           {"configuration_age_ms", age ? ToMilliseconds(*age) : -1.0}});
    }
  }

  // Requests on existing connections would be refused here. Callers that have
  // to reconnect are routed to instances that are ready.
  void CloseIdleConnections() {
    const auto connections = connections_;
    for (const auto& connection : connections)
      connection->CloseIfIdle();
  }

  void StartStopping() {
    if (services_.stop_deadline)
      return;
    const timestamp now = dependencies_.loop.Now();
    stop_ = MakeStopSchedule(now, settings_.stop_limit);
    services_.stop_deadline = stop_->answer_deadline;
    services_.accept_deadline = stop_->accept_deadline;
    dependencies_.logger.Write(
        log_level::info, "stopping",
        {{"in_flight", static_cast<std::int64_t>(BusyConnections())}});
    for (const auto& connection : connections_)
      connection->StartDraining();
    CheckStop();
  }

  void CheckStop() {
    const timestamp now = dependencies_.loop.Now();
    stop_timer_ = dependencies_.loop.RunAt(now + kStopCheckInterval,
                                           [this] { CheckStop(); });
    caller_channels_.ForgetEnded();
    switch (NextStopStep(*stop_, now, caller_channels_.count())) {
      case stop_step::accept:
        return;
      case stop_step::drain:
        return CloseIdleConnections();
      case stop_step::answer:
        AnswerRequestsInProgress();
        return CloseIdleConnections();
      case stop_step::exit:
        // A process that was paused may have missed the step before.
        AnswerRequestsInProgress();
        return dependencies_.loop.Stop();
    }
  }

  void AnswerRequestsInProgress() {
    // Iterates over a copy, since connections are removed meanwhile.
    const auto connections = connections_;
    for (const auto& connection : connections)
      connection->OnStopDeadline();
  }

  gateway_settings settings_;
  const gateway_dependencies dependencies_;
  gateway_metrics metrics_;
  invalid_response_log invalid_responses_;
  const std::unique_ptr<i_http_caller> caller_;
  configuration_tracker latest_configuration_;
  target_directory directory_;
  target_selector selector_;
  gateway_services services_;
  watch_tree_reader watch_reader_;
  store_view store_view_;
  mirror_server mirror_server_;
  load_exchange load_exchange_;
  crash_detector crash_detector_;
  quarantine_registry quarantines_;
  // Null unless roll-outs are enabled.
  std::unique_ptr<rollout_controller> rollouts_;
  std::unique_ptr<i_datagram_port> peer_port_;
  // Number of the last crash notice that was passed on.
  std::uint64_t last_notice_number_ = 0;
  timestamp reload_due_{};
  timestamp store_call_log_due_{};
  // Calls to the store since the last log line, by cause.
  std::map<std::string, std::int64_t> store_calls_;
  timestamp shed_log_due_{};
  // Refused and closed callers since the last log line, by reason.
  std::map<std::string, std::int64_t> shed_;
  bool largest_request_fits_ = true;
  std::unique_ptr<status_listener> status_;
  std::set<std::shared_ptr<caller_connection>> connections_;
  caller_channels caller_channels_;
  std::optional<stop_schedule> stop_;
  bool was_ready_ = false;
  std::unique_ptr<i_timer> flush_timer_;
  std::unique_ptr<i_timer> check_timer_;
  std::unique_ptr<i_timer> stop_timer_;
  std::unique_ptr<i_timer> crash_check_timer_;
};

}  // namespace

std::unique_ptr<i_gateway> MakeGateway(
    const gateway_settings& settings,
    const gateway_dependencies& dependencies) {
  return std::make_unique<gateway>(settings, dependencies);
}

}  // namespace wist
