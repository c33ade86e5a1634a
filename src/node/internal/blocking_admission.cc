#include "node/internal/blocking_admission.h"

#include "admission/admission_module.h"

namespace wist {

blocking_admission::blocking_admission(const node_settings& settings,
                                       std::shared_ptr<const i_clock> clock,
                                       std::shared_ptr<cluster_state> cluster)
    : clock_(std::move(clock)),
      cluster_(std::move(cluster)),
      admission_(MakeForecastAdmission({},
                                       cluster_,
                                       settings.instance,
                                       settings.domain)) {}

admission_decision blocking_admission::Admit(const admission_request& request) {
  std::unique_lock lock(mutex_);
  const request_number number = admission_->Submit(request, clock_->Now());
  ++waiting_;
  ProcessQueueLocked();
  decision_available_.wait(lock, [&] { return decisions_.contains(number); });
  --waiting_;
  const admission_decision decision = decisions_.extract(number).mapped();
  return decision;
}

bool blocking_admission::MaySend(const request_admitted& admitted) {
  std::lock_guard lock(mutex_);
  const auto spec = targets_.find(admitted.target);
  if (spec == targets_.end())
    return false;
  const timestamp now = clock_->Now();
  if (!cluster_->MayDispatch(spec->second, now))
    return false;
  if (!reported_cold_[admitted.target])
    return true;
  std::int32_t running = 0;
  for (const auto& [number, target] : running_)
    running += target == admitted.target ? 1 : 0;
  return running <= cluster_->ColdRequestLimit(spec->second, now);
}

void blocking_admission::OnProgress(request_number request,
                                    std::int64_t tokens_out) {
  std::lock_guard lock(mutex_);
  admission_->OnProgress(request, tokens_out, clock_->Now());
}

void blocking_admission::OnGenerationEnd(request_number request,
                                         generation_end end) {
  std::lock_guard lock(mutex_);
  running_.erase(request);
  admission_->OnGenerationEnd(request, end, clock_->Now());
  ProcessQueueLocked();
}

void blocking_admission::OnTargetFailure(const target_id& target) {
  std::lock_guard lock(mutex_);
  admission_->OnTargetFailure(target, clock_->Now());
}

void blocking_admission::ApplyConfiguration(const configuration_body& body) {
  std::lock_guard lock(mutex_);
  admission_->ApplyConfiguration(body, clock_->Now());
  targets_.clear();
  for (const target_spec& target : body.targets)
    targets_[target.id] = target;
  ProcessQueueLocked();
}

void blocking_admission::OnReport(const target_id& target,
                                  const target_report& report) {
  std::lock_guard lock(mutex_);
  reported_cold_[target] = report.cold;
  admission_->OnReport(target, report, clock_->Now());
  ProcessQueueLocked();
}

void blocking_admission::SetInstanceCount(int count) {
  std::lock_guard lock(mutex_);
  admission_->SetInstanceCount(count);
}

std::vector<target_spec> blocking_admission::UsedTargets() const {
  std::lock_guard lock(mutex_);
  std::vector<target_spec> used;
  for (const target_id& id : admission_->UsedTargets()) {
    const auto spec = targets_.find(id);
    if (spec != targets_.end())
      used.push_back(spec->second);
  }
  return used;
}

std::vector<target_tally> blocking_admission::CollectTallies() {
  std::lock_guard lock(mutex_);
  return admission_->CollectTallies(clock_->Now());
}

void blocking_admission::OnGrants(const std::vector<quota_grant>& grants) {
  std::lock_guard lock(mutex_);
  for (const quota_grant& grant : grants)
    admission_->OnGrant(grant);
  ProcessQueueLocked();
}

void blocking_admission::ProcessQueue() {
  std::lock_guard lock(mutex_);
  ProcessQueueLocked();
}

void blocking_admission::ProcessQueueLocked() {
  const auto decisions = admission_->ProcessQueue(clock_->Now());
  for (const admission_decision& decision : decisions) {
    std::visit(
        [&](const auto& outcome) { decisions_[outcome.request] = decision; },
        decision);
    if (const auto* admitted = std::get_if<request_admitted>(&decision))
      running_[admitted->request] = admitted->target;
  }
  if (!decisions.empty())
    decision_available_.notify_all();
}

std::vector<cold_load> blocking_admission::ColdLoads() const {
  std::lock_guard lock(mutex_);
  std::map<target_id, std::int32_t> running;
  for (const auto& [number, target] : running_)
    ++running[target];
  std::vector<cold_load> loads;
  for (const auto& [target, cold] : reported_cold_) {
    if (cold)
      loads.push_back({target, running[target], waiting_});
  }
  return loads;
}

}  // namespace wist
