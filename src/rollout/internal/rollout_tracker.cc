#include "rollout/rollout_tracker.h"

#include <utility>

namespace wist {

rollout_tracker::rollout_tracker(const rollout_settings& settings)
    : settings_(settings) {}

service_rollout& rollout_tracker::At(const service_id& service) {
  return services_.try_emplace(service, service, settings_).first->second;
}

void rollout_tracker::SetServices(std::set<service_id> services) {
  configured_ = std::move(services);
}

void rollout_tracker::SetTargets(std::vector<rollout_target> targets) {
  targets_.clear();
  for (rollout_target& target : targets) {
    At(target.service);
    targets_[target.service].push_back(std::move(target));
  }
}

void rollout_tracker::OnRequest(const service_id& service,
                                const decoded_rollout_request& request,
                                std::int64_t revision,
                                const rollout_time& time) {
  At(service).OnRequest(request, revision, time);
}

void rollout_tracker::OnRequestRemoved(const service_id& service) {
  At(service).OnRequestRemoved();
}

void rollout_tracker::OnStatus(const service_id& service,
                               const rollout_status& status,
                               std::int64_t revision) {
  At(service).OnStatus(status, revision);
}

void rollout_tracker::OnStatusMissing(const service_id& service,
                                      std::int64_t revision) {
  At(service).OnStatus(std::nullopt, revision);
}

void rollout_tracker::OnResponse(const service_id& service,
                                 const sample_stratum& stratum,
                                 const version_name& version,
                                 const response_sample& sample) {
  At(service).OnResponse(stratum, version, sample);
}

void rollout_tracker::SetOpenRuns(
    const service_id& service,
    const std::map<version_name, std::uint64_t>& open_runs) {
  At(service).SetOpenRuns(open_runs);
}

void rollout_tracker::SetFleetReport(const rollout_id& id,
                                     fleet_report report) {
  At(id.service).SetFleetReport(id, std::move(report));
}

std::vector<service_event> rollout_tracker::Advance(const rollout_time& time) {
  std::vector<service_event> events;
  for (auto& [service, rollout] : services_) {
    rollout.Advance(configured_.contains(service), targets_[service], time,
                    events);
  }
  return events;
}

const rollout_view& rollout_tracker::ViewOf(const service_id& service) const {
  static const rollout_view kNone;
  const auto found = services_.find(service);
  return found == services_.end() ? kNone : found->second.view();
}

const version_samples* rollout_tracker::OwnSamples(
    const service_id& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.own_samples();
}

std::vector<rollout_id> rollout_tracker::ActiveRollouts() const {
  std::vector<rollout_id> active;
  for (const auto& [service, rollout] : services_) {
    if (rollout.view().active)
      active.push_back(*rollout.view().active);
  }
  return active;
}

std::vector<status_write> rollout_tracker::TakeWrites(
    const rollout_time& time) {
  std::vector<status_write> writes;
  if (!store_reachable_)
    return writes;
  for (auto& [service, rollout] : services_) {
    if (auto write = rollout.TakeWrite(time.now))
      writes.push_back(std::move(*write));
  }
  return writes;
}

}  // namespace wist
