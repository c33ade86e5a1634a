#include "rollout/rollout_tracker.h"

#include <utility>

namespace wist {

rollout_tracker::rollout_tracker(const rollout_settings& settings)
    : settings_(settings) {}

void rollout_tracker::SetServices(std::set<service_id>) {}

void rollout_tracker::SetTargets(std::vector<rollout_target>) {}

void rollout_tracker::OnRequest(const service_id&,
                                const decoded_rollout_request&,
                                std::int64_t,
                                const rollout_time&) {}

void rollout_tracker::OnRequestRemoved(const service_id&, const rollout_time&) {
}

void rollout_tracker::OnStatus(const service_id&,
                               const rollout_status&,
                               std::int64_t,
                               const rollout_time&) {}

void rollout_tracker::OnStatusMissing(const service_id&,
                                      std::int64_t,
                                      const rollout_time&) {}

void rollout_tracker::OnResponse(const service_id&,
                                 const sample_stratum&,
                                 const version_name&,
                                 const response_sample&) {}

void rollout_tracker::SetOpenRuns(
    const service_id&,
    const std::map<version_name, std::uint64_t>&) {}

void rollout_tracker::SetFleetReport(const rollout_id&, fleet_report) {}

std::vector<service_event> rollout_tracker::Advance(const rollout_time&) {
  return {};
}

const rollout_view& rollout_tracker::ViewOf(const service_id&) const {
  static const rollout_view kNone;
  return kNone;
}

const version_samples* rollout_tracker::OwnSamples(const service_id&) const {
  return nullptr;
}

std::vector<rollout_id> rollout_tracker::ActiveRollouts() const {
  return {};
}

std::vector<status_write> rollout_tracker::TakeWrites(const rollout_time&) {
  return {};
}

}  // namespace wist
