#ifndef ROLLOUT_ROLLOUT_TRACKER_H_
#define ROLLOUT_ROLLOUT_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "rollout/rollout_types.h"
#include "rollout/rollout_view.h"
#include "rollout/service_rollout.h"

namespace wist {

// One instance's view of all roll-outs. Not thread-safe; reads no clock. Rows
// that were read together from the store, as one snapshot, are passed in
// without a call of `Advance` between them.
class rollout_tracker {
 public:
  explicit rollout_tracker(const rollout_settings& settings);

  // Services of the configuration.
  void SetServices(std::set<service_id> services);
  // All registered targets.
  void SetTargets(std::vector<rollout_target> targets);

  // The key of the roll-out request of `service` has this content. A repeated
  // or lower revision is ignored.
  void OnRequest(const service_id& service,
                 const decoded_rollout_request& request,
                 std::int64_t revision,
                 const rollout_time& time);
  void OnRequestRemoved(const service_id& service);
  void OnStatus(const service_id& service,
                const rollout_status& status,
                std::int64_t revision);
  // The status key does not exist (`revision` 0), or its content cannot be
  // decoded.
  void OnStatusMissing(const service_id& service, std::int64_t revision);

  // A response that this instance received. Ignored without an active roll-out.
  void OnResponse(const service_id& service,
                  const sample_stratum& stratum,
                  const version_name& version,
                  const response_sample& sample);
  // Open runs of this instance on targets of each version of the service.
  void SetOpenRuns(const service_id& service,
                   const std::map<version_name, std::uint64_t>& open_runs);
  // Ignored if `id` is not the active roll-out.
  void SetFleetReport(const rollout_id& id, fleet_report report);
  void SetStoreReachable(bool reachable) { store_reachable_ = reachable; }

  // Judges the samples and advances the phases. To be called after inputs and
  // at least every 100 ms while a roll-out is active. Returns what changed.
  std::vector<service_event> Advance(const rollout_time& time);

  // Views as of the last `Advance`.
  const rollout_view& ViewOf(const service_id& service) const;
  // Samples of this instance, to be reported; null without an active roll-out.
  const version_samples* OwnSamples(const service_id& service) const;
  // Services with an active roll-out.
  std::vector<rollout_id> ActiveRollouts() const;

  // Status writes that are due. Called only by an instance that may decide.
  std::vector<status_write> TakeWrites(const rollout_time& time);

 private:
  service_rollout& At(const service_id& service);

  const rollout_settings settings_;
  bool store_reachable_ = true;
  std::set<service_id> configured_;
  std::map<service_id, std::vector<rollout_target>> targets_;
  std::map<service_id, service_rollout> services_;
};

}  // namespace wist

#endif  // ROLLOUT_ROLLOUT_TRACKER_H_
