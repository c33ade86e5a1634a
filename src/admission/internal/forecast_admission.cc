#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>

#include "admission/admission_module.h"
#include "admission/internal/fair_queue.h"
#include "admission/internal/length_model.h"
#include "admission/internal/target_load_tracker.h"
#include "framework/base/hashing.h"

namespace wist {
namespace {

// The forecast of a running generation is updated after this many tokens.
constexpr std::int64_t kTokensPerForecastRenewal = 16;

// Weight of a new observation in exponentially weighted moving averages.
constexpr double kEwmaWeight = 0.1;

constexpr char kAnyWorkspace[] = "*";

class forecast_admission final : public i_admission {
 public:
  forecast_admission(const admission_settings& settings,
                     std::shared_ptr<const i_target_gate> gate,
                     const instance_id& self,
                     const domain_id& domain)
      : settings_(settings),
        gate_(std::move(gate)),
        self_(self),
        domain_(domain) {}

  void ApplyConfiguration(const configuration_body& body,
                          timestamp now) override {
    for (const workspace_spec& workspace : body.workspaces)
      queue_.SetShare(workspace.id, workspace.share_permille);
    UpdateTargets(body, now);
    rules_.clear();
    for (const rule_spec& rule : body.rules)
      rules_[{rule.workspace, rule.service}] = SelectSubset(rule);
  }

  request_number Submit(const admission_request& request,
                        timestamp now) override {
    const request_number number = ++last_number_;
    if (const auto shed = ShedOnSubmit(number, request, now))
      submit_decisions_.push_back(*shed);
    else
      queue_.Push({number, request});
    return number;
  }

  std::vector<admission_decision> ProcessQueue(timestamp now) override {
    std::vector<admission_decision> decisions;
    decisions.swap(submit_decisions_);
    for (const target_id& target : used_targets_)
      FindTarget(target)->CheckTokenPace(now);
    ShedExpired(now, decisions);
    queue_.OfferAll([&](const queued_request& queued) {
      return TryAdmit(queued, now, decisions)
                 ? fair_queue::offer_result::accepted
                 : fair_queue::offer_result::blocked;
    });
    return decisions;
  }

  void CancelQueued(request_number request) override { queue_.Remove(request); }

  void OnProgress(request_number request,
                  std::int64_t tokens_out,
                  timestamp now) override {
    const auto found = running_.find(request);
    if (found == running_.end())
      return;
    running_generation& running = found->second;
    if (running.output_tokens == 0 && tokens_out > 0)
      RecordFirstTokenLatency(now - running.sent_at);
    running.target->OnToken(now);
    running.lengths->OnGrowth(running.output_tokens, tokens_out);
    running.service_lengths->OnGrowth(running.output_tokens, tokens_out);
    running.output_tokens = tokens_out;
    if (tokens_out < running.forecast_at_tokens + kTokensPerForecastRenewal)
      return;
    const memory_forecast renewed =
        ForecastOf(*running.lengths, running.prompt_tokens, tokens_out);
    running.target->ReplaceOwnForecast(running.forecast, renewed);
    running.forecast = renewed;
    running.forecast_at_tokens = tokens_out;
  }

  void OnGenerationEnd(request_number request,
                       generation_end end,
                       timestamp now) override {
    const auto found = running_.find(request);
    if (found == running_.end())
      return;
    running_generation& running = found->second;
    if (end == generation_end::finished) {
      running.lengths->OnFinished(running.output_tokens);
      running.service_lengths->OnFinished(running.output_tokens);
    }
    running.target->RemoveOwnForecast(running.forecast, now);
    running_.erase(found);
  }

  void OnReport(const target_id& target,
                const target_report& report,
                timestamp) override {
    if (target_load_tracker* tracker = FindTarget(target))
      tracker->OnReport(report);
  }

  void OnTargetFailure(const target_id& target, timestamp now) override {
    if (target_load_tracker* tracker = FindTarget(target))
      tracker->OnFailure(now);
  }

  std::vector<target_id> UsedTargets() const override { return used_targets_; }

  std::vector<target_tally> CollectTallies(timestamp now) override {
    std::vector<target_tally> tallies;
    const double queued =
        static_cast<double>(queue_.size()) /
        static_cast<double>(std::max<std::size_t>(1, used_targets_.size()));
    for (const target_id& target : used_targets_) {
      target_load_tracker* tracker = FindTarget(target);
      if (tracker && tracker->IsTallyDue(queued, now))
        tallies.push_back(tracker->TakeTally(queued, now));
    }
    return tallies;
  }

  void OnGrant(const quota_grant& grant) override {
    if (target_load_tracker* tracker = FindTarget(grant.target))
      tracker->OnGrant(grant);
  }

  void SetInstanceCount(int count) override {
    instance_count_ = std::max(1, count);
  }

 private:
  using rule_key = std::pair<workspace_id, service_id>;

  struct running_generation {
    target_load_tracker* target = nullptr;
    length_model* lengths = nullptr;
    length_model* service_lengths = nullptr;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    std::int64_t forecast_at_tokens = 0;
    memory_forecast forecast;
    timestamp sent_at;
  };

  struct candidate {
    target_load_tracker* target = nullptr;
    double planned_share = 0;
  };

  void UpdateTargets(const configuration_body& body, timestamp now) {
    std::set<domain_id> out_domains;
    for (const domain_spec& domain : body.domains) {
      if (domain.state == domain_state::out)
        out_domains.insert(domain.id);
    }
    for (const target_spec& spec : body.targets) {
      if (spec.kind != service_kind::generation)
        continue;
      if (!FindTarget(spec.id))
        targets_.emplace(spec.id, std::make_unique<target_load_tracker>(spec));
      target_load_tracker& tracker = *FindTarget(spec.id);
      tracker.SetSpec(spec);
      const bool unavailable = spec.state == target_state::leaving ||
                               out_domains.contains(spec.domain);
      if (unavailable)
        unavailable_targets_.insert(spec.id);
      else if (unavailable_targets_.erase(spec.id) > 0)
        tracker.OnRejoin(now);
    }
    // Targets that were removed from the configuration are kept because
    // generations may still run on them. No rule refers to them any more.
    used_targets_.clear();
  }

  // Returns the subset of the targets of `rule` that this instance uses.
  // Targets in its own failure domain come first; within each group, rendezvous
  // hashing ranks them, so that a bounded number of instances use each target.
  std::vector<target_id> SelectSubset(const rule_spec& rule) {
    std::vector<std::pair<std::uint64_t, target_id>> ranked;
    for (const target_id& id : rule.targets) {
      const target_load_tracker* tracker = FindTarget(id);
      if (!tracker)
        continue;
      const bool local = tracker->spec().domain == domain_;
      const std::uint64_t rank =
          StableHash(self_.text() + "/" + id.text()) >> 1;
      ranked.emplace_back(local ? rank : rank | (1ull << 63), id);
    }
    std::sort(ranked.begin(), ranked.end());
    if (ranked.size() > settings_.subset_size)
      ranked.resize(settings_.subset_size);
    std::vector<target_id> subset;
    for (const auto& [rank, id] : ranked) {
      subset.push_back(id);
      if (std::find(used_targets_.begin(), used_targets_.end(), id) ==
          used_targets_.end())
        used_targets_.push_back(id);
    }
    return subset;
  }

  const std::vector<target_id>* RuleTargets(const admission_request& request) {
    auto found = rules_.find({request.workspace, request.service});
    if (found == rules_.end())
      found = rules_.find({workspace_id(kAnyWorkspace), request.service});
    return found == rules_.end() ? nullptr : &found->second;
  }

  std::optional<request_shed> ShedOnSubmit(request_number number,
                                           const admission_request& request,
                                           timestamp now) {
    if (!RuleTargets(request))
      return request_shed{number, shed_reason::no_target, now + seconds(1)};
    if (queue_.size() >= settings_.max_queued)
      return request_shed{number, shed_reason::queue_full,
                          now + ExpectedWait(request)};
    const microseconds wait = ExpectedWait(request);
    if (now + wait + first_token_mean_ > request.first_token_deadline)
      return request_shed{number, shed_reason::deadline, now + wait};
    return std::nullopt;
  }

  // Estimates how long a new request would wait in the queue.
  microseconds ExpectedWait(const admission_request& request) const {
    const auto ahead = queue_.size() == 0 ? 0 : queue_.CountAhead(request);
    return microseconds(static_cast<std::int64_t>(
        static_cast<double>(ahead) *
        static_cast<double>(admission_interval_mean_.count())));
  }

  void ShedExpired(timestamp now, std::vector<admission_decision>& decisions) {
    const auto expired =
        queue_.RemoveMatching([&](const queued_request& queued) {
          return now + first_token_mean_ > queued.request.first_token_deadline;
        });
    for (const queued_request& queued : expired) {
      decisions.push_back(request_shed{queued.number, shed_reason::deadline,
                                       now + ExpectedWait(queued.request)});
    }
  }

  bool TryAdmit(const queued_request& queued,
                timestamp now,
                std::vector<admission_decision>& decisions) {
    const admission_request& request = queued.request;
    length_model& lengths = WorkspaceLengths(request);
    const memory_forecast added = ForecastOf(lengths, request.prompt_tokens, 0);
    const auto chosen = ChooseTarget(request, added, lengths, now);
    if (!chosen)
      return false;
    target_load_tracker& target = *chosen->target;
    target.AddOwnForecast(added, now);
    if (!request.prefix.empty())
      target.RecordPrefix(request.prefix, now + settings_.prefix_validity);
    running_generation running;
    running.target = &target;
    running.lengths = &lengths;
    running.service_lengths = &ServiceLengths(request.service);
    running.prompt_tokens = request.prompt_tokens;
    running.forecast = added;
    running.sent_at = now;
    running_[queued.number] = running;
    queue_.Charge(
        request.workspace,
        static_cast<double>(request.prompt_tokens) + lengths.MeanLength());
    RecordAdmission(now);
    decisions.push_back(
        request_admitted{queued.number, target.spec().id, target.cold()});
    return true;
  }

  std::optional<candidate> ChooseTarget(const admission_request& request,
                                        const memory_forecast& added,
                                        const length_model& lengths,
                                        timestamp now) {
    std::optional<candidate> least_loaded;
    std::optional<candidate> cached;
    for (const target_id& id : *RuleTargets(request)) {
      target_load_tracker* tracker = FindTarget(id);
      const auto share = PlannedShare(tracker, request, added, lengths, now);
      if (!share)
        continue;
      if (!least_loaded || *share < least_loaded->planned_share)
        least_loaded = candidate{tracker, *share};
      const bool prefix_cached = !request.prefix.empty() &&
                                 tracker->IsPrefixCached(request.prefix, now);
      if (prefix_cached && (!cached || *share < cached->planned_share))
        cached = candidate{tracker, *share};
    }
    // A prefix that is wrongly assumed to be cached costs only one prefill. The
    // slack bounds the preference, so that requests with a frequently used
    // prefix are spread over several targets.
    if (cached && cached->planned_share <= least_loaded->planned_share +
                                               settings_.prefix_affinity_slack)
      return cached;
    return least_loaded;
  }

  // Returns the planned share of the target's memory with the request
  // included, or nullopt if the target cannot accept the request now.
  std::optional<double> PlannedShare(target_load_tracker* tracker,
                                     const admission_request& request,
                                     const memory_forecast& added,
                                     const length_model& lengths,
                                     timestamp now) {
    if (!tracker || !tracker->IsUsable(now, settings_.report_validity) ||
        !gate_->MayDispatch(tracker->spec(), now))
      return std::nullopt;
    const auto& excluded = request.excluded;
    if (std::find(excluded.begin(), excluded.end(), tracker->spec().id) !=
        excluded.end())
      return std::nullopt;
    if (tracker->cold()) {
      const bool allowed = tracker->own_running() <
                           gate_->ColdRequestLimit(tracker->spec(), now);
      // A cold target warms up by running requests, so it is preferred until it
      // runs as many as it is allowed.
      return allowed ? std::optional<double>(0.0) : std::nullopt;
    }
    const double running = tracker->EstimateRunning(instance_count_, now);
    if (settings_.max_running_per_target > 0 &&
        running >= settings_.max_running_per_target)
      return std::nullopt;
    const double share =
        tracker->PlannedShare(added, lengths, settings_, instance_count_, now);
    if (share > 1 && running > 0)
      return std::nullopt;
    return share;
  }

  length_model& ServiceLengths(const service_id& service) {
    return *lengths_by_service_
                .try_emplace(service, std::make_unique<length_model>())
                .first->second;
  }

  length_model& WorkspaceLengths(const admission_request& request) {
    auto& model = lengths_by_rule_[{request.workspace, request.service}];
    if (!model)
      model = std::make_unique<length_model>(&ServiceLengths(request.service));
    return *model;
  }

  target_load_tracker* FindTarget(const target_id& id) {
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : found->second.get();
  }

  void RecordFirstTokenLatency(microseconds latency) {
    UpdateMean(first_token_mean_, latency);
  }

  void RecordAdmission(timestamp now) {
    if (last_admission_)
      UpdateMean(admission_interval_mean_, now - *last_admission_);
    last_admission_ = now;
  }

  static void UpdateMean(microseconds& mean, microseconds observed) {
    const auto change = static_cast<double>((observed - mean).count());
    mean += microseconds(static_cast<std::int64_t>(change * kEwmaWeight));
  }

  const admission_settings settings_;
  const std::shared_ptr<const i_target_gate> gate_;
  const instance_id self_;
  const domain_id domain_;
  int instance_count_ = 1;

  std::unordered_map<target_id, std::unique_ptr<target_load_tracker>> targets_;
  std::set<target_id> unavailable_targets_;
  std::vector<target_id> used_targets_;
  std::map<rule_key, std::vector<target_id>> rules_;
  std::map<service_id, std::unique_ptr<length_model>> lengths_by_service_;
  std::map<rule_key, std::unique_ptr<length_model>> lengths_by_rule_;

  fair_queue queue_;
  std::vector<admission_decision> submit_decisions_;
  std::unordered_map<request_number, running_generation> running_;
  request_number last_number_ = 0;

  microseconds first_token_mean_{50'000};
  microseconds admission_interval_mean_{0};
  std::optional<timestamp> last_admission_;
};

}  // namespace

std::unique_ptr<i_admission> MakeForecastAdmission(
    const admission_settings& settings,
    std::shared_ptr<const i_target_gate> gate,
    const instance_id& self,
    const domain_id& domain) {
  return std::make_unique<forecast_admission>(settings, std::move(gate), self,
                                              domain);
}

}  // namespace wist
