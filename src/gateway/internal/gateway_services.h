#ifndef GATEWAY_INTERNAL_GATEWAY_SERVICES_H_
#define GATEWAY_INTERNAL_GATEWAY_SERVICES_H_

#include <functional>
#include <map>
#include <optional>

#include "directory/target_directory.h"
#include "framework/logging/i_logger.h"
#include "framework/net/i_http_caller.h"
#include "framework/net/i_scheduler.h"
#include "gateway/i_dialect.h"
#include "gateway/internal/gateway_metrics.h"
#include "limits/crash_ledger.h"
#include "limits/window_retry_budget.h"
#include "routing/configuration_belief.h"
#include "selection/target_selector.h"

namespace wist {

// Instances assumed before the store was read: too many keeps each one's part
// of a shared budget small.
inline constexpr std::size_t kAssumedInstances = 16;

// What all exchanges of one gateway share.
struct gateway_services {
  const gateway_settings& settings;
  i_scheduler& scheduler;
  i_http_caller& caller;
  const i_dialect& dialect;
  configuration_belief& belief;
  target_directory& directory;
  target_selector& selector;
  i_logger& logger;
  gateway_metrics& metrics;
  // Told when the loads of this instance changed.
  std::function<void()> on_load_change;
  // Instances that share budgets; an assumption until they are known.
  std::size_t instance_count = kAssumedInstances;
  std::map<service_id, window_retry_budget> budgets;
  crash_ledger crashes = {};
  // Told of a run that ended on a target without an answer.
  std::function<void(request_digest, const target_entry&)> on_run_broken =
      [](request_digest, const target_entry&) {};
  // Set by a planned stop: no request is taken after the first, and none is
  // served after the second.
  std::optional<timestamp> accept_deadline;
  std::optional<timestamp> stop_deadline;

  retry_window_settings RetrySettings() const {
    return {settings.retry_window, settings.retry_ratio, settings.retry_slack};
  }

  window_retry_budget& BudgetOf(const service_id& service) {
    return budgets.try_emplace(service, RetrySettings()).first->second;
  }
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_GATEWAY_SERVICES_H_
