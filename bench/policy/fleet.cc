#include "bench/policy/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <stdexcept>

#include "admission/admission_module.h"
#include "bench/policy/bench_gate.h"
#include "bench/policy/workload.h"
#include "coldstart/coldstart_module.h"
#include "quota/quota_module.h"
#include "stand_ins/engine/engine_model.h"

namespace wist::bench {
namespace {

using stand_ins::engine_event;
using stand_ins::engine_event_kind;
using stand_ins::engine_model;

constexpr timestamp kStart{seconds(1000)};
constexpr milliseconds kLinkDelay{1};
constexpr milliseconds kPollInterval{250};
constexpr milliseconds kPermitInterval{1000};
constexpr milliseconds kProcessQueueInterval{20};
constexpr milliseconds kStallThreshold{200};
constexpr milliseconds kFirstTokenObjective{1900};
constexpr milliseconds kCallerTimeout{10'000};
constexpr milliseconds kLeaseValidity{10'000};
constexpr int kMaxAttempts = 3;

struct deployment_size {
  int domains = 3;
  int instances = 9;
  int engines = 10;
};

deployment_size DeploymentSizeOf(const std::string& deployment) {
  if (deployment == "korrigan")
    return {/*domains=*/3, /*instances=*/9, /*engines=*/10};
  if (deployment == "guild")
    return {/*domains=*/4, /*instances=*/8, /*engines=*/12};
  throw std::invalid_argument("unknown deployment '" + deployment + "'");
}

baseline_policy ParseBaselinePolicy(const std::string& policy) {
  if (policy == "round_robin")
    return baseline_policy::round_robin;
  if (policy == "least_outstanding")
    return baseline_policy::least_outstanding;
  if (policy == "two_choices")
    return baseline_policy::two_choices;
  throw std::invalid_argument("unknown policy '" + policy + "'");
}

struct request_state {
  request_parameters parameters;
  std::size_t instance = 0;
  timestamp arrived_at;
  std::optional<timestamp> first_token_at;
  std::optional<timestamp> last_token_at;
  std::optional<std::size_t> engine;
  request_number number = 0;
  int attempts = 0;
  std::int64_t tokens = 0;
  bool ended = false;
};

struct instance_state {
  instance_id id;
  domain_id domain;
  std::shared_ptr<bench_gate> gate;
  std::unique_ptr<i_admission> admission;
  std::map<request_number, std::size_t> requests;
};

struct engine_state {
  target_spec spec;
  std::unique_ptr<engine_model> model;
  bool crashed = false;
  std::uint64_t latest_wake_up = 0;  // Earlier ones are ignored.
  std::optional<timestamp> cold_since;
};

class fleet_simulation {
 public:
  explicit fleet_simulation(const run_settings& settings)
      : settings_(settings),
        deployment_(DeploymentSizeOf(settings.deployment)),
        workload_(DeploymentWorkspaces(settings.event == "long_tail_lengths"),
                  settings.seed,
                  settings.event == "hot_prefix" ? 0.4 : 0.0),
        random_(settings.seed * 7919 + 17) {
    if (settings_.event == "report_lag")
      settings_.engine.report_lag = milliseconds(3000);
    CreateEngines();
    CreateInstances();
    metrics_.relative_workspace_service.resize(workload_.workspaces().size());
  }

  run_metrics Run() {
    SchedulePeriodicTasks();
    ScheduleEvent();
    const timestamp end = At(settings_.warm_up_seconds + settings_.seconds);
    while (!queue_.empty() && queue_.top().at <= end) {
      const scheduled_event next = queue_.top();
      queue_.pop();
      now_ = next.at;
      next.action();
    }
    for (const engine_state& engine : engines_) {
      metrics_.preemptions += engine.model->counters().preemptions;
      metrics_.cold_violations += engine.model->counters().cold_violations;
    }
    metrics_.preemptions -= preemptions_before_;
    metrics_.measured_seconds = settings_.seconds;
    return metrics_;
  }

 private:
  struct scheduled_event {
    timestamp at;
    std::uint64_t sequence_number = 0;
    std::function<void()> action;
    bool operator>(const scheduled_event& other) const {
      return std::pair(at, sequence_number) >
             std::pair(other.at, other.sequence_number);
    }
  };

  static timestamp At(double seconds_from_start) {
    return kStart +
           microseconds(static_cast<std::int64_t>(seconds_from_start * 1e6));
  }

  bool IsMeasuring() const { return now_ >= At(settings_.warm_up_seconds); }

  void Schedule(timestamp at, std::function<void()> action) {
    queue_.push({at, ++last_sequence_number_, std::move(action)});
  }

  void ScheduleRepeating(timestamp first,
                         microseconds interval,
                         const std::function<void()>& action) {
    Schedule(first, [this, first, interval, action] {
      action();
      ScheduleRepeating(first + interval, interval, action);
    });
  }

  domain_id DomainOf(int index) const {
    return domain_id(fmt::format("domain-{}", index % deployment_.domains));
  }

  configuration_body MakeConfiguration() const {
    configuration_body body;
    for (int i = 0; i < deployment_.domains; ++i)
      body.domains.push_back({DomainOf(i), "region", domain_state::in, 4});
    rule_spec rule{workspace_id("*"), service_id("generate"), {}};
    for (const engine_state& engine : engines_) {
      body.targets.push_back(engine.spec);
      rule.targets.push_back(engine.spec.id);
    }
    for (const workspace_load& workspace : workload_.workspaces()) {
      body.workspaces.push_back({workspace_id(workspace.name),
                                 workspace.share_permille, 1'000'000,
                                 workspace.priority});
    }
    service_spec service;
    service.id = service_id("generate");
    body.services.push_back(service);
    body.rules.push_back(rule);
    return body;
  }

  void CreateEngines() {
    for (int i = 0; i < deployment_.engines; ++i) {
      engine_state engine;
      engine.spec.id = target_id(fmt::format("engine-{}", i));
      engine.spec.domain = DomainOf(i);
      engine.spec.memory_tokens = settings_.engine.memory_tokens;
      engine.spec.cold_bearable_requests =
          settings_.engine.cold_bearable_requests;
      engine.model = std::make_unique<engine_model>(settings_.engine, kStart);
      engines_.push_back(std::move(engine));
    }
  }

  void CreateInstances() {
    const bool uses_forecast = settings_.policy == "forecast";
    for (int i = 0; i < deployment_.instances; ++i) {
      instance_state instance;
      instance.id = instance_id(fmt::format("instance-{}", i));
      instance.domain = DomainOf(i);
      instance.gate =
          std::make_shared<bench_gate>(instance.domain, kStart - seconds(60));
      instance.gate->limits_cold_requests = uses_forecast;
      if (uses_forecast) {
        instance.admission = MakeForecastAdmission(
            settings_.admission, instance.gate, instance.id, instance.domain);
      } else {
        instance.admission = MakeBaselineAdmission(
            ParseBaselinePolicy(settings_.policy), instance.gate,
            settings_.seed * 31 + static_cast<std::uint64_t>(i));
      }
      instances_.push_back(std::move(instance));
    }
    const configuration_body body = MakeConfiguration();
    for (instance_state& instance : instances_) {
      instance.admission->ApplyConfiguration(body, now_);
      instance.admission->SetInstanceCount(deployment_.instances);
      instance.gate->cold_start_limiter->ApplyConfiguration(body);
    }
    for (int i = 0; i < deployment_.domains; ++i) {
      auto& coordinator = coordinators_[DomainOf(i)];
      coordinator = MakeColdStartCoordinator({});
      coordinator->ApplyConfiguration(body);
      quota_allocators_[DomainOf(i)] = MakeQuotaAllocator();
    }
  }

  void SchedulePeriodicTasks() {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      const microseconds offset = microseconds(random_() % 250'000);
      ScheduleRepeating(kStart + offset / 10, kPollInterval,
                        [this, i] { PollReports(i); });
      ScheduleRepeating(kStart + offset * 4, settings_.tally_interval,
                        [this, i] { ExchangeTallies(i); });
      ScheduleRepeating(kStart + offset * 2, kPermitInterval,
                        [this, i] { ExchangePermits(i); });
      ScheduleRepeating(kStart + offset / 20, kProcessQueueInterval,
                        [this, i] { ProcessQueue(i); });
    }
    ScheduleRepeating(kStart, seconds(2), [this] { RenewLeases(); });
    Schedule(At(settings_.warm_up_seconds), [this] {
      for (const engine_state& engine : engines_)
        preemptions_before_ += engine.model->counters().preemptions;
    });
    ScheduleArrival();
  }

  double ArrivalRate() const {
    const double capacity = EngineCapacity(settings_.engine, workload_) *
                            static_cast<double>(deployment_.engines);
    return capacity * settings_.load * rate_factor_;
  }

  void ScheduleArrival() {
    const auto interval = microseconds(
        static_cast<std::int64_t>(workload_.DrawInterval(ArrivalRate()) * 1e6));
    Schedule(now_ + interval, [this] {
      OnArrival();
      ScheduleArrival();
    });
  }

  void OnArrival() {
    request_state request;
    request.parameters = workload_.DrawRequest();
    request.instance = random_() % instances_.size();
    request.arrived_at = now_;
    requests_.push_back(request);
    if (IsMeasuring())
      ++metrics_.requests;
    Submit(requests_.size() - 1);
  }

  void Submit(std::size_t index) {
    request_state& request = requests_[index];
    const workspace_load& workspace =
        workload_.workspaces()[request.parameters.workspace];
    admission_request submission;
    submission.workspace = workspace_id(workspace.name);
    submission.service = service_id("generate");
    submission.prompt_tokens = request.parameters.prompt_tokens;
    submission.priority = workspace.priority;
    submission.first_token_deadline = request.arrived_at + kFirstTokenObjective;
    submission.prefix = request.parameters.prefix;
    submission.prefix_tokens = request.parameters.prefix_tokens;
    instance_state& instance = instances_[request.instance];
    request.number = instance.admission->Submit(submission, now_);
    instance.requests[request.number] = index;
    ProcessQueue(request.instance);
  }

  void ProcessQueue(std::size_t instance_index) {
    instance_state& instance = instances_[instance_index];
    for (const admission_decision& decision :
         instance.admission->ProcessQueue(now_)) {
      if (const auto* admitted = std::get_if<request_admitted>(&decision)) {
        const std::size_t index = instance.requests.at(admitted->request);
        const std::size_t engine = EngineIndex(admitted->target);
        requests_[index].engine = engine;
        Schedule(now_ + kLinkDelay,
                 [this, index, engine] { DispatchToEngine(index, engine); });
      } else {
        const auto& shed = std::get<request_shed>(decision);
        const std::size_t index = instance.requests.at(shed.request);
        instance.requests.erase(shed.request);
        requests_[index].ended = true;
        if (IsMeasuring())
          ++metrics_.refusals["not_run"];
      }
    }
  }

  std::size_t EngineIndex(const target_id& id) const {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].spec.id == id)
        return i;
    }
    throw std::logic_error(
        "admission chose a target that is not an engine of the deployment");
  }

  void DispatchToEngine(std::size_t index, std::size_t engine_index) {
    request_state& request = requests_[index];
    engine_state& engine = engines_[engine_index];
    if (IsMeasuring())
      ++metrics_.dispatches;
    ++request.attempts;
    CountOutDispatch(engine);
    if (engine.crashed) {
      instances_[request.instance].admission->OnTargetFailure(engine.spec.id,
                                                              now_);
      return OnAttemptFailed(index);
    }
    stand_ins::generation_request generation;
    generation.id = std::to_string(index);
    generation.prompt_tokens = request.parameters.prompt_tokens;
    generation.output_tokens = request.parameters.output_tokens;
    generation.prefix = request.parameters.prefix;
    generation.prefix_tokens = request.parameters.prefix_tokens;
    if (!engine.model->Submit(generation, now_)) {
      HandleEngineEvents(engine_index, engine.model->Crash(now_));
      return;
    }
    Schedule(request.arrived_at + kCallerTimeout,
             [this, index] { AbandonRequest(index); });
    ScheduleEngineStep(engine_index);
  }

  // Counts a dispatch to a domain that was taken out more than 3 s ago. Until
  // then, instances may not have received the change.
  void CountOutDispatch(const engine_state& engine) {
    const auto out = out_since_.find(engine.spec.domain);
    if (out != out_since_.end() && now_ > out->second + seconds(3))
      ++metrics_.dispatches_to_out_domains;
  }

  // Cancels the request if its caller timed out waiting for the first token.
  void AbandonRequest(std::size_t index) {
    request_state& request = requests_[index];
    if (request.ended || request.first_token_at || !request.engine)
      return;
    engines_[*request.engine].model->Cancel(std::to_string(index));
    EndRequest(index, generation_end::cancelled);
    if (IsMeasuring())
      ++metrics_.abandoned;
  }

  void EndRequest(std::size_t index, generation_end end) {
    request_state& request = requests_[index];
    request.ended = true;
    instance_state& instance = instances_[request.instance];
    instance.admission->OnGenerationEnd(request.number, end, now_);
    instance.requests.erase(request.number);
    ProcessQueue(request.instance);
  }

  // Ends a failed attempt. Resubmits the request unless it has received a
  // token, has had kMaxAttempts attempts or has missed its first-token
  // objective.
  void OnAttemptFailed(std::size_t index) {
    EndRequest(index, generation_end::failed);
    request_state& request = requests_[index];
    if (request.first_token_at || request.attempts >= kMaxAttempts ||
        now_ > request.arrived_at + kFirstTokenObjective) {
      if (IsMeasuring())
        ++metrics_.lost;
      return;
    }
    request.ended = false;
    request.engine.reset();
    Submit(index);
  }

  void ScheduleEngineStep(std::size_t engine_index) {
    engine_state& engine = engines_[engine_index];
    const auto next = engine.model->NextStepAt();
    if (!next)
      return;
    const std::uint64_t wake_up = ++engine.latest_wake_up;
    Schedule(*next, [this, engine_index, wake_up] {
      engine_state& stepped_engine = engines_[engine_index];
      if (stepped_engine.latest_wake_up != wake_up ||
          !stepped_engine.model->NextStepAt())
        return;
      HandleEngineEvents(engine_index, stepped_engine.model->Step());
      ScheduleEngineStep(engine_index);
    });
  }

  void HandleEngineEvents(std::size_t engine_index,
                          const std::vector<engine_event>& events) {
    for (const engine_event& event : events) {
      const std::size_t index = std::stoul(event.generation);
      switch (event.kind) {
        case engine_event_kind::token:
          OnToken(index);
          break;
        case engine_event_kind::finished:
          OnFinished(index);
          break;
        case engine_event_kind::preempted:
          break;
        case engine_event_kind::lost:
          instances_[requests_[index].instance].admission->OnTargetFailure(
              engines_[engine_index].spec.id, now_);
          OnAttemptFailed(index);
          break;
      }
    }
    UpdateSecondsToWarm(engines_[engine_index]);
  }

  void UpdateSecondsToWarm(engine_state& engine) {
    if (engine.model->cold() && !engine.cold_since)
      engine.cold_since = now_;
    if (!engine.model->cold() && engine.cold_since) {
      metrics_.seconds_to_warm =
          std::max(metrics_.seconds_to_warm,
                   ToMilliseconds(now_ - *engine.cold_since) / 1000);
      engine.cold_since.reset();
    }
  }

  void OnToken(std::size_t index) {
    request_state& request = requests_[index];
    ++request.tokens;
    if (IsMeasuring()) {
      ++metrics_.tokens;
      if (!request.first_token_at)
        metrics_.first_token.Record(now_ - request.arrived_at);
      else
        RecordTokenGap(now_ - *request.last_token_at);
    }
    if (!request.first_token_at)
      request.first_token_at = now_;
    request.last_token_at = now_;
    instances_[request.instance].admission->OnProgress(request.number,
                                                       request.tokens, now_);
  }

  void RecordTokenGap(microseconds gap) {
    metrics_.between_tokens.Record(gap);
    metrics_.longest_stall = std::max(metrics_.longest_stall, gap);
    if (gap > kStallThreshold)
      metrics_.stall_time += gap - kStallThreshold;
  }

  void OnFinished(std::size_t index) {
    request_state& request = requests_[index];
    if (IsMeasuring()) {
      ++metrics_.finished;
      const bool in_time =
          *request.first_token_at <= request.arrived_at + kFirstTokenObjective;
      if (in_time) {
        ++metrics_.finished_in_time;
        const auto tokens = static_cast<std::uint64_t>(request.tokens);
        metrics_.goodput_tokens += tokens;
        RecordWorkspaceService(request, static_cast<double>(tokens));
      }
    }
    EndRequest(index, generation_end::finished);
  }

  // Adds tokens relative to the demand of the workspace. Fairness is computed
  // from these values, since demand is roughly proportional to the shares of
  // the workspaces.
  void RecordWorkspaceService(const request_state& request, double tokens) {
    const workspace_load& workspace =
        workload_.workspaces()[request.parameters.workspace];
    metrics_.relative_workspace_service[request.parameters.workspace] +=
        tokens / workspace.weight / workspace.median_output;
  }

  void PollReports(std::size_t instance_index) {
    instance_state& instance = instances_[instance_index];
    for (const engine_state& engine : engines_) {
      if (engine.crashed || (instance.gate->is_partitioned &&
                             engine.spec.domain != instance.domain))
        continue;
      const stand_ins::engine_report polled =
          engine.model->PublishedReport(now_);
      target_report report;
      report.taken_at = polled.at;
      report.running = polled.running;
      report.waiting = polled.waiting;
      report.memory_used = polled.memory_used;
      report.memory_total = polled.memory_total;
      report.cold = polled.cold;
      instance.admission->OnReport(engine.spec.id, report, now_);
      coordinators_.at(engine.spec.domain)
          ->OnReport(engine.spec.id, report, now_);
    }
  }

  void ExchangeTallies(std::size_t instance_index) {
    instance_state& instance = instances_[instance_index];
    std::map<domain_id, std::vector<target_tally>> by_domain;
    for (const target_tally& tally : instance.admission->CollectTallies(now_))
      by_domain[engines_[EngineIndex(tally.target)].spec.domain].push_back(
          tally);
    for (const auto& [domain, tallies] : by_domain) {
      if (partitioned_ && domain != instance.domain)
        continue;
      for (const quota_grant& grant :
           quota_allocators_.at(domain)->Exchange(instance.id, tallies, now_))
        instance.admission->OnGrant(grant);
    }
  }

  void RenewLeases() {
    if (store_down_)
      return;
    for (auto& [domain, coordinator] : coordinators_)
      coordinator->OnLease(
          {domain.text(), "coordinator", 1, now_ + kLeaseValidity}, now_);
  }

  void ExchangePermits(std::size_t instance_index) {
    instance_state& instance = instances_[instance_index];
    std::vector<cold_permit_request> permit_requests;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      const engine_state& engine = engines_[i];
      if (engine.spec.domain != instance.domain || !engine.model->cold())
        continue;
      std::int32_t running = 0;
      for (const auto& [number, index] : instance.requests)
        running += requests_[index].engine == i ? 1 : 0;
      permit_requests.push_back(
          instance.gate->cold_start_limiter->BuildPermitRequest(engine.spec.id,
                                                                running, 2));
    }
    if (permit_requests.empty())
      return;
    for (const cold_permit& permit :
         coordinators_.at(instance.domain)
             ->IssuePermits(instance.id, permit_requests, now_))
      instance.gate->cold_start_limiter->OnPermit(permit, now_);
  }

  void ScheduleEvent() {
    const double begin = settings_.warm_up_seconds + settings_.seconds * 0.25;
    const double end = settings_.warm_up_seconds + settings_.seconds * 0.5;
    const std::string& event = settings_.event;
    if (event == "domain_out_return") {
      Schedule(At(begin), [this] { TakeDomainOut(); });
      Schedule(At(end), [this] { BringDomainBack(); });
    } else if (event == "engine_deaths") {
      for (std::size_t i = 0; i < 3; ++i) {
        Schedule(At(begin + 5.0 * static_cast<double>(i)),
                 [this, i] { CrashEngine(i); });
        Schedule(At(end + 5.0 * static_cast<double>(i)),
                 [this, i] { RestartEngine(i); });
      }
    } else if (event == "warm_turns_cold") {
      Schedule(At(begin), [this] { TurnCold(0); });
      Schedule(At(end), [this] { TurnCold(1); });
    } else if (event == "large_workspace_surge") {
      Schedule(At(begin), [this] { SetSurge(6, 1.5); });
      Schedule(At(end), [this] { SetSurge(1.0 / 6, 1); });
    } else if (event == "kv_outage") {
      Schedule(At(begin), [this] {
        store_down_ = true;
        CrashEngine(0);
      });
      Schedule(At(begin + 5), [this] { RestartEngine(0); });
      Schedule(At(end), [this] { store_down_ = false; });
    } else if (event == "partition") {
      Schedule(At(begin), [this] { SetPartitioned(true); });
      Schedule(At(end), [this] { SetPartitioned(false); });
    } else if (event != "none" && event != "hot_prefix" &&
               event != "report_lag" && event != "long_tail_lengths") {
      throw std::invalid_argument("unknown event '" + event + "'");
    }
  }

  // Takes domain 0 out. The gate of each instance receives the change after a
  // random delay below 2 s.
  void TakeDomainOut() {
    out_since_[DomainOf(0)] = now_;
    configuration_body body = MakeConfiguration();
    body.domains[0].state = domain_state::out;
    for (instance_state& instance : instances_)
      instance.admission->ApplyConfiguration(body, now_);
    for (instance_state& instance : instances_)
      instance.gate->closes_at[DomainOf(0)] =
          now_ + milliseconds(random_() % 2000);
  }

  // Puts domain 0 back in. Its engines are cold, since they were restarted
  // while it was out.
  void BringDomainBack() {
    out_since_.erase(DomainOf(0));
    const configuration_body body = MakeConfiguration();
    for (instance_state& instance : instances_)
      instance.admission->ApplyConfiguration(body, now_);
    for (instance_state& instance : instances_)
      instance.gate->closes_at.erase(DomainOf(0));
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].spec.domain == DomainOf(0))
        TurnCold(i);
    }
  }

  void CrashEngine(std::size_t engine_index) {
    engines_[engine_index].crashed = true;
    HandleEngineEvents(engine_index, engines_[engine_index].model->Crash(now_));
  }

  void RestartEngine(std::size_t engine_index) {
    engines_[engine_index].crashed = false;
    engines_[engine_index].cold_since = now_;
  }

  void TurnCold(std::size_t engine_index) {
    engines_[engine_index].model->TurnCold(now_);
    UpdateSecondsToWarm(engines_[engine_index]);
  }

  void SetSurge(double weight_factor, double rate_factor) {
    workload_.SetWeight(0, workload_.workspaces()[0].weight * weight_factor);
    rate_factor_ = rate_factor;
  }

  void SetPartitioned(bool partitioned) {
    partitioned_ = partitioned;
    for (instance_state& instance : instances_)
      instance.gate->is_partitioned = partitioned;
  }

  run_settings settings_;
  const deployment_size deployment_;
  workload workload_;
  std::mt19937_64 random_;
  timestamp now_ = kStart;
  std::uint64_t last_sequence_number_ = 0;
  std::priority_queue<scheduled_event,
                      std::vector<scheduled_event>,
                      std::greater<>>
      queue_;
  std::vector<engine_state> engines_;
  std::vector<instance_state> instances_;
  std::vector<request_state> requests_;
  std::map<domain_id, std::unique_ptr<i_cold_start_coordinator>> coordinators_;
  std::map<domain_id, std::unique_ptr<i_quota_allocator>> quota_allocators_;
  std::map<domain_id, timestamp> out_since_;
  std::uint64_t preemptions_before_ = 0;
  double rate_factor_ = 1;
  bool store_down_ = false;
  bool partitioned_ = false;
  run_metrics metrics_;
};

}  // namespace

run_metrics SimulateFleet(const run_settings& settings) {
  return fleet_simulation(settings).Run();
}

}  // namespace wist::bench
