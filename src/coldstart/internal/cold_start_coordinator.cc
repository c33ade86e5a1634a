#include <algorithm>
#include <map>
#include <optional>

#include "coldstart/coldstart_module.h"

namespace wist {
namespace {

class cold_start_coordinator final : public i_cold_start_coordinator {
 public:
  explicit cold_start_coordinator(const cold_start_settings& settings)
      : settings_(settings) {}

  void ApplyConfiguration(const configuration_body& body) override {
    std::map<domain_id, domain_spec> domains;
    for (const domain_spec& domain : body.domains)
      domains[domain.id] = domain;
    for (const target_spec& target : body.targets)
      targets_[target.id].pooled_limit =
          PooledLimit(target, domains[target.domain]);
  }

  void OnLease(const kv_lease& lease, timestamp now) override {
    if (!lease_ || lease.fencing_number > lease_->fencing_number)
      StartEpoch(now);
    lease_ = lease;
  }

  void OnReport(const target_id& target,
                const target_report& report,
                timestamp now) override {
    const auto found = targets_.find(target);
    if (found == targets_.end())
      return;
    target_state& state = found->second;
    if (!report.cold) {
      // Requests to a warm target need no permit and are not counted.
      state.warm = true;
      state.requests_without_permit.reset();
      return;
    }
    if (state.warm) {
      state.warm = false;
      state.reports_valid_from = now + settings_.cold_report_propagation;
    }
    // A report that was taken earlier may miss requests that were sent since.
    if (report.taken_at < state.reports_valid_from)
      return;
    const std::int32_t total = report.running + report.waiting;
    state.requests_without_permit =
        std::min(state.requests_without_permit.value_or(total), total);
  }

  std::vector<cold_permit> IssuePermits(
      const instance_id& member,
      const std::vector<cold_permit_request>& requests,
      timestamp now) override {
    std::vector<cold_permit> permits;
    for (const cold_permit_request& request : requests)
      permits.push_back(IssuePermit(member, request, now));
    return permits;
  }

 private:
  struct outstanding_permit {
    std::int32_t count = 0;
    timestamp deadline;
  };

  struct target_state {
    std::int32_t pooled_limit = 0;
    bool warm = false;
    // Upper bound on the requests that run on the target without a valid permit
    // of this epoch; unknown until a report taken at reports_valid_from or
    // later.
    std::optional<std::int32_t> requests_without_permit;
    // Cold reports that were taken before this time are ignored.
    timestamp reports_valid_from;
    std::map<instance_id, outstanding_permit> outstanding_permits;
  };

  void StartEpoch(timestamp now) {
    for (auto& [id, state] : targets_) {
      state.requests_without_permit.reset();
      state.reports_valid_from = now + settings_.cold_report_propagation;
      state.outstanding_permits.clear();
    }
  }

  // Counts the requests of expired permits as requests without a permit,
  // because they may continue to run on the target.
  void ExpirePermits(target_state& state, timestamp now) {
    for (auto it = state.outstanding_permits.begin();
         it != state.outstanding_permits.end();) {
      if (it->second.deadline > now) {
        ++it;
        continue;
      }
      if (state.requests_without_permit && it->second.count > 0) {
        *state.requests_without_permit += it->second.count;
        state.reports_valid_from = now + settings_.safety_margin;
      }
      it = state.outstanding_permits.erase(it);
    }
  }

  cold_permit IssuePermit(const instance_id& member,
                          const cold_permit_request& request,
                          timestamp now) {
    cold_permit permit;
    permit.target = request.target;
    if (!lease_ || now + settings_.safety_margin >= lease_->deadline)
      return permit;
    const auto found = targets_.find(request.target);
    if (found == targets_.end())
      return permit;
    target_state& state = found->second;
    ExpirePermits(state, now);
    if (!state.requests_without_permit)
      return permit;
    std::int32_t permitted_to_others = 0;
    for (const auto& [id, outstanding] : state.outstanding_permits) {
      if (id != member)
        permitted_to_others += outstanding.count;
    }
    const std::int32_t available =
        std::max(0, state.pooled_limit - *state.requests_without_permit -
                        permitted_to_others);
    const std::int32_t requested =
        std::max(0, request.running) + std::max(0, request.wanted);
    permit.count = std::min(requested, available);
    permit.epoch = lease_->fencing_number;
    const microseconds remaining_lease =
        lease_->deadline - now - settings_.safety_margin;
    permit.valid_for =
        std::min(settings_.permit_validity,
                 std::chrono::duration_cast<milliseconds>(remaining_lease));
    // Requests that already run stay counted even if they exceed the permit.
    outstanding_permit& outstanding = state.outstanding_permits[member];
    outstanding.count = std::max(permit.count, request.running);
    outstanding.deadline =
        now + settings_.permit_validity + settings_.safety_margin;
    return permit;
  }

  const cold_start_settings settings_;
  std::optional<kv_lease> lease_;
  std::map<target_id, target_state> targets_;
};

}  // namespace

std::unique_ptr<i_cold_start_coordinator> MakeColdStartCoordinator(
    const cold_start_settings& settings) {
  return std::make_unique<cold_start_coordinator>(settings);
}

}  // namespace wist
