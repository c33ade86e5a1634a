#include <algorithm>
#include <map>
#include <optional>
#include <random>

#include "admission/admission_module.h"

namespace wist {
namespace {

constexpr milliseconds kReportValidity{5000};
constexpr char kAnyWorkspace[] = "*";

// Dispatches every request immediately by a load balancing policy that ignores
// generation lengths.
class baseline_admission final : public i_admission {
 public:
  baseline_admission(baseline_policy policy,
                     std::shared_ptr<const i_target_gate> gate,
                     std::uint64_t seed)
      : policy_(policy), gate_(std::move(gate)), random_(seed) {}

  void ApplyConfiguration(const configuration_body& body, timestamp) override {
    for (const target_spec& spec : body.targets)
      targets_[spec.id].spec = spec;
    rules_.clear();
    for (const rule_spec& rule : body.rules)
      rules_[{rule.workspace, rule.service}] = rule.targets;
  }

  request_number Submit(const admission_request& request, timestamp) override {
    queue_.push_back({++last_number_, request});
    return last_number_;
  }

  std::vector<admission_decision> ProcessQueue(timestamp now) override {
    std::vector<admission_decision> decisions;
    for (const auto& [number, request] : queue_) {
      const auto chosen = ChooseTarget(request, now);
      if (!chosen) {
        decisions.push_back(
            request_shed{number, shed_reason::no_target, now + seconds(1)});
        continue;
      }
      target_state& target = targets_[*chosen];
      ++target.outstanding;
      target_by_running_request_[number] = *chosen;
      decisions.push_back(
          request_admitted{number, *chosen, target.report.cold});
    }
    queue_.clear();
    return decisions;
  }

  void CancelQueued(request_number) override {}
  void OnProgress(request_number, std::int64_t, timestamp) override {}

  void OnGenerationEnd(request_number request,
                       generation_end,
                       timestamp) override {
    const auto found = target_by_running_request_.find(request);
    if (found == target_by_running_request_.end())
      return;
    --targets_[found->second].outstanding;
    target_by_running_request_.erase(found);
  }

  void OnReport(const target_id& target,
                const target_report& report,
                timestamp) override {
    targets_[target].report = report;
    targets_[target].failed = false;
  }

  void OnTargetFailure(const target_id& target, timestamp) override {
    targets_[target].failed = true;
  }

  std::vector<target_id> UsedTargets() const override {
    std::vector<target_id> used;
    for (const auto& [id, state] : targets_)
      used.push_back(id);
    return used;
  }

  std::vector<target_tally> CollectTallies(timestamp) override { return {}; }
  void OnGrant(const quota_grant&) override {}
  void SetInstanceCount(int) override {}

 private:
  struct target_state {
    target_spec spec;
    target_report report;
    bool failed = false;
    int outstanding = 0;
  };

  std::vector<target_id> UsableTargets(const admission_request& request,
                                       timestamp now) {
    std::vector<target_id> usable;
    auto rule = rules_.find({request.workspace, request.service});
    if (rule == rules_.end())
      rule = rules_.find({workspace_id(kAnyWorkspace), request.service});
    if (rule == rules_.end())
      return usable;
    for (const target_id& id : rule->second) {
      const target_state& target = targets_[id];
      const bool fresh = now < target.report.taken_at + kReportValidity;
      const bool excluded =
          std::find(request.excluded.begin(), request.excluded.end(), id) !=
          request.excluded.end();
      if (fresh && !excluded && !target.failed &&
          gate_->MayDispatch(target.spec, now))
        usable.push_back(id);
    }
    return usable;
  }

  std::optional<target_id> ChooseTarget(const admission_request& request,
                                        timestamp now) {
    const std::vector<target_id> usable = UsableTargets(request, now);
    if (usable.empty())
      return std::nullopt;
    switch (policy_) {
      case baseline_policy::round_robin:
        return usable[round_robin_index_++ % usable.size()];
      case baseline_policy::least_outstanding:
        return *std::min_element(
            usable.begin(), usable.end(), [&](const auto& a, const auto& b) {
              return targets_[a].outstanding < targets_[b].outstanding;
            });
      case baseline_policy::two_choices:
        return ChooseOfTwo(usable);
    }
    return std::nullopt;
  }

  // Power of two choices: draws two targets at random and returns the one that
  // reported fewer waiting requests, or less memory in use if these are equal.
  target_id ChooseOfTwo(const std::vector<target_id>& usable) {
    std::uniform_int_distribution<std::size_t> index_distribution(
        0, usable.size() - 1);
    const target_id& a = usable[index_distribution(random_)];
    const target_id& b = usable[index_distribution(random_)];
    const auto load = [&](const target_id& id) {
      const target_report& report = targets_[id].report;
      return std::pair(report.waiting, report.memory_used);
    };
    return load(b) < load(a) ? b : a;
  }

  const baseline_policy policy_;
  const std::shared_ptr<const i_target_gate> gate_;
  std::mt19937_64 random_;
  std::size_t round_robin_index_ = 0;
  std::map<target_id, target_state> targets_;
  std::map<std::pair<workspace_id, service_id>, std::vector<target_id>> rules_;
  std::vector<std::pair<request_number, admission_request>> queue_;
  std::map<request_number, target_id> target_by_running_request_;
  request_number last_number_ = 0;
};

}  // namespace

std::unique_ptr<i_admission> MakeBaselineAdmission(
    baseline_policy policy,
    std::shared_ptr<const i_target_gate> gate,
    std::uint64_t seed) {
  return std::make_unique<baseline_admission>(policy, std::move(gate), seed);
}

}  // namespace wist
