#ifndef GATEWAY_INTERNAL_ROLLOUT_CONTROLLER_H_
#define GATEWAY_INTERNAL_ROLLOUT_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "follower/i_async_store.h"
#include "framework/base/i_clock.h"
#include "gateway/internal/gateway_services.h"
#include "gateway/internal/i_version_policy.h"
#include "peers/peer_report.h"
#include "rollout/rollout_tracker.h"

namespace wist {

// Where a rollout_controller learns the state of the fleet from, and what it
// causes.
struct rollout_environment {
  // Whether this instance may write statuses.
  std::function<bool()> is_decider;
  std::function<bool()> is_store_reachable;
  std::function<std::size_t()> other_instance_count;
  std::function<std::vector<rollout_sums>()> others_sums;
  std::function<void(const std::string& cause)> on_store_call;
  // Called while runs have to leave the old version.
  std::function<void()> on_runs_to_move;
};

// Connects the roll-out tracker with the store, the exchanges and the reports
// of other instances. Not thread-safe.
class rollout_controller final : public i_version_policy {
 public:
  // The references have to outlive the controller.
  rollout_controller(gateway_services& services,
                     i_async_store& store,
                     std::shared_ptr<const i_clock> clock,
                     rollout_environment environment);
  ~rollout_controller() override;

  void Start();

  // Handles a change of a roll-out request, of a status or of a target.
  void OnStoreChange(const store_change& change);

  // Returns the sums of this instance for the active roll-outs.
  std::vector<rollout_sums> OwnSums() const;

  void UpdateMetrics();

  // i_version_policy:
  std::vector<version_constraint> ConstraintsFor(
      const service_id& service,
      const std::string& request_id,
      bool avoids_new) const override;
  bool IsBeingLeft(const target_entry& target) const override;
  void OnResponse(const route_spec& route,
                  const target_entry& target,
                  const response_sample& sample) override;
  std::shared_ptr<void> BeginRun(const target_entry& target) override;

 private:
  using open_run_counts =
      std::map<service_id, std::map<version_name, std::uint64_t>>;

  // A status write of this instance for one service.
  struct write_state {
    bool is_pending = false;
    // When a write ended without a response. It may be executed still, so that
    // the next one waits for the content of the store after this time.
    std::optional<timestamp> unknown_since;
  };

  rollout_time Now() const;
  void ScheduleCheck(timestamp due);
  void Check();
  void SetInputs(timestamp now);
  void WriteStatuses(const rollout_time& time);
  bool MayWrite(const service_id& service, timestamp now);
  void Write(const status_write& write);
  void Log(const service_event& event);

  gateway_services& services_;
  i_async_store& store_;
  const std::shared_ptr<const i_clock> clock_;
  const rollout_environment environment_;
  rollout_tracker tracker_;
  // Shared with the objects that count open runs, which may outlive this one.
  const std::shared_ptr<open_run_counts> open_runs_;
  std::map<service_id, write_state> writes_;
  timestamp move_due_{};
  timestamp check_due_{};
  std::unique_ptr<i_timer> check_timer_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_ROLLOUT_CONTROLLER_H_
