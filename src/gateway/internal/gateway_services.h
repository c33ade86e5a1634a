#ifndef GATEWAY_INTERNAL_GATEWAY_SERVICES_H_
#define GATEWAY_INTERNAL_GATEWAY_SERVICES_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "directory/target_directory.h"
#include "framework/logging/i_logger.h"
#include "framework/net/i_http_caller.h"
#include "framework/net/i_scheduler.h"
#include "gateway/i_dialect.h"
#include "gateway/internal/gateway_metrics.h"
#include "gateway/internal/i_version_policy.h"
#include "gateway/internal/request_buffers.h"
#include "gateway/internal/response_buffers.h"
#include "limits/crash_ledger.h"
#include "limits/window_retry_budget.h"
#include "relay/path_monitor.h"
#include "relay/relay_selector.h"
#include "routing/configuration_tracker.h"
#include "selection/target_selector.h"

namespace wist {

// Instance count assumed until the store has been read. A high value keeps each
// instance's share of a shared budget small.
inline constexpr std::size_t kAssumedInstanceCount = 16;

// The responses that an instance holds may take its memory limit divided by
// this number. The rest is left for its other state and for copies of responses
// while they are encoded.
inline constexpr std::size_t kResponseMemoryDivisor = 4;

// State and dependencies shared by all exchanges of one gateway.
struct gateway_services {
  const gateway_settings& settings;
  i_scheduler& scheduler;
  i_http_caller& caller;
  const i_dialect& dialect;
  configuration_tracker& latest_configuration;
  target_directory& directory;
  target_selector& selector;
  i_logger& logger;
  gateway_metrics& metrics;
  // Called when this instance's load on a target changes.
  std::function<void()> on_load_change;
  // Number of instances that share the budgets.
  std::size_t instance_count = kAssumedInstanceCount;
  std::map<service_id, window_retry_budget> retry_budgets;
  crash_ledger crashes{};
  // Called when a run ended on a target without a complete response, with the
  // number of events that it had produced.
  std::function<void(const run_fingerprint&,
                     std::int64_t event_count,
                     const target_entry&)>
      on_run_broken =
          [](const run_fingerprint&, std::int64_t, const target_entry&) {};
  // Called for a request that is subject to a quarantine. Returns whether it
  // may be let through as a trial; the handler then receives whether it is.
  std::function<bool(const quarantine&, std::function<void(bool)>)>
      on_quarantined_request =
          [](const quarantine&, const std::function<void(bool)>&) {
            return false;
          };
  // Called for a response that is valid in HTTP and not in the protocol of the
  // deployment. Others are reported by the caller of HTTP.
  invalid_response_observer on_invalid_response = [](const invalid_response&) {
  };
  // Null unless roll-outs are enabled.
  i_version_policy* versions = nullptr;
  response_buffers buffers{settings.memory_limit_bytes /
                           kResponseMemoryDivisor};
  // Both share this budget.
  request_buffers requests{CallerMemoryBytes(settings), buffers, scheduler};
  // Set by a graceful stop: new requests are refused after `accept_deadline`,
  // and requests in progress are aborted at `stop_deadline`.
  std::optional<timestamp> accept_deadline;
  std::optional<timestamp> stop_deadline;
  path_monitor paths{};
  relay_selector relays{};

  // Record the outcome of a new connection to a target, begun at `started_at`.
  void OnTargetUnreachable(const target_entry& target, timestamp started_at);
  void OnTargetConnected(timestamp started_at);

  // Whether requests are sent through other instances, since this one has no
  // path to the targets.
  bool RelaysRequests() const {
    return paths.IsLost() && relays.HasInstances();
  }

  // Applies what a target stated in the head of a response.
  void OnTargetSignals(const target_entry& target,
                       const target_signals& signals,
                       const std::string& request_id);
  // Applies what a target stated to the instance that relayed its response, and
  // what holds for all instances.
  void OnRelayedSignals(const target_id& target,
                        const target_signals& signals,
                        const std::string& request_id);
  void OnBrittleSignals(const target_entry& target,
                        const target_signals& signals,
                        const std::string& request_id);

  // Returns the constraints on the versions that may run a request, to be tried
  // one after another.
  std::vector<version_constraint> VersionConstraints(
      const service_id& service,
      const std::string& request_id,
      bool avoids_new = false) const;

  // Whether a roll-out moves the runs on the target to another version.
  bool IsBeingLeft(const target_entry& target) const {
    return versions && versions->IsBeingLeft(target);
  }

  // Chooses a target under the first constraint that leaves one; the receiver
  // of a run on `from` if it is not null.
  selection Choose(selection_request request,
                   const std::vector<version_constraint>& constraints,
                   const target_id* from = nullptr);

  // Whether a run that another target worked on may be sent to this one now. To
  // be called right before the send.
  bool AcceptsRun(const target_id& target) const;

  // Whether a run may be sent back to a target that it was about to leave.
  bool AcceptsReturn(const target_id& target) const;

  retry_window_settings RetrySettings() const {
    return {settings.retry_window, settings.retry_ratio, settings.retry_slack};
  }

  window_retry_budget& RetryBudgetOf(const service_id& service) {
    return retry_budgets.try_emplace(service, RetrySettings()).first->second;
  }
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_GATEWAY_SERVICES_H_
