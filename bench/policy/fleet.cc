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
constexpr milliseconds kPumpInterval{20};
constexpr milliseconds kStallFloor{200};
constexpr milliseconds kStartObjective{1900};
constexpr milliseconds kPatience{10'000};
constexpr milliseconds kLeaseValidity{10'000};
constexpr int kMostTries = 3;

struct deployment_size {
  int domains = 3;
  int instances = 9;
  int engines = 10;
};

deployment_size SizeOf(const std::string& deployment) {
  if (deployment == "korrigan")
    return {3, 9, 10};
  if (deployment == "guild")
    return {4, 8, 12};
  throw std::invalid_argument("no deployment '" + deployment + "'");
}

baseline_policy BaselineOf(const std::string& policy) {
  if (policy == "round_robin")
    return baseline_policy::round_robin;
  if (policy == "least_outstanding")
    return baseline_policy::least_outstanding;
  if (policy == "two_choices")
    return baseline_policy::two_choices;
  throw std::invalid_argument("no policy '" + policy + "'");
}

struct request_state {
  arrival drawn;
  std::size_t instance = 0;
  timestamp arrived_at;
  std::optional<timestamp> first_token_at;
  std::optional<timestamp> last_token_at;
  std::optional<std::size_t> engine;
  request_number number = 0;
  int tries = 0;
  std::int64_t tokens = 0;
  bool over = false;
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
  bool dead = false;
  std::uint64_t wake_ups = 0;  // Numbers the wake-up that counts.
  std::optional<timestamp> cold_since;
};

class fleet {
 public:
  explicit fleet(const run_settings& settings)
      : settings_(settings),
        size_(SizeOf(settings.deployment)),
        load_(DeploymentWorkspaces(settings.event == "long_tail_lengths"),
              settings.seed,
              settings.event == "hot_prefix" ? 0.4 : 0.0),
        random_(settings.seed * 7919 + 17) {
    if (settings_.event == "report_lag")
      settings_.engine.report_lag = milliseconds(3000);
    MakeEngines();
    MakeInstances();
    measured_.workspace_service.resize(load_.workspaces().size());
  }

  measures Run() {
    ScheduleRegularWork();
    ScheduleEvent();
    const timestamp end = At(settings_.warm_up_seconds + settings_.seconds);
    while (!queue_.empty() && queue_.top().at <= end) {
      const scheduled next = queue_.top();
      queue_.pop();
      now_ = next.at;
      next.action();
    }
    for (const engine_state& engine : engines_) {
      measured_.preemptions += engine.model->counters().preemptions;
      measured_.cold_violations += engine.model->counters().cold_violations;
    }
    measured_.preemptions -= preemptions_before_;
    measured_.measured_seconds = settings_.seconds;
    return measured_;
  }

 private:
  struct scheduled {
    timestamp at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static timestamp At(double seconds_from_start) {
    return kStart +
           microseconds(static_cast<std::int64_t>(seconds_from_start * 1e6));
  }

  bool Measuring() const { return now_ >= At(settings_.warm_up_seconds); }

  void Schedule(timestamp at, std::function<void()> action) {
    queue_.push({at, ++order_, std::move(action)});
  }

  void Repeat(timestamp first,
              microseconds interval,
              const std::function<void()>& action) {
    Schedule(first, [this, first, interval, action] {
      action();
      Repeat(first + interval, interval, action);
    });
  }

  domain_id DomainOf(int index) const {
    return domain_id(fmt::format("domain-{}", index % size_.domains));
  }

  configuration_body Body() const {
    configuration_body body;
    for (int i = 0; i < size_.domains; ++i)
      body.domains.push_back({DomainOf(i), "region", domain_state::in, 4});
    rule_spec rule{workspace_id("*"), service_id("generate"), {}};
    for (const engine_state& engine : engines_) {
      body.targets.push_back(engine.spec);
      rule.targets.push_back(engine.spec.id);
    }
    for (const workspace_load& own : load_.workspaces()) {
      body.workspaces.push_back({workspace_id(own.name), own.share_permille,
                                 1'000'000, own.priority});
    }
    service_spec service;
    service.id = service_id("generate");
    body.services.push_back(service);
    body.rules.push_back(rule);
    return body;
  }

  void MakeEngines() {
    for (int i = 0; i < size_.engines; ++i) {
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

  void MakeInstances() {
    const bool ours = settings_.policy == "forecast";
    for (int i = 0; i < size_.instances; ++i) {
      instance_state instance;
      instance.id = instance_id(fmt::format("instance-{}", i));
      instance.domain = DomainOf(i);
      instance.gate =
          std::make_shared<bench_gate>(instance.domain, kStart - seconds(60));
      instance.gate->guards_cold = ours;
      if (ours) {
        instance.admission = MakeForecastAdmission(
            settings_.admission, instance.gate, instance.id, instance.domain);
      } else {
        instance.admission = MakeBaselineAdmission(
            BaselineOf(settings_.policy), instance.gate,
            settings_.seed * 31 + static_cast<std::uint64_t>(i));
      }
      instances_.push_back(std::move(instance));
    }
    const configuration_body body = Body();
    for (instance_state& instance : instances_) {
      instance.admission->ApplyConfiguration(body, now_);
      instance.admission->SetInstanceCount(size_.instances);
      instance.gate->allowance->ApplyConfiguration(body);
    }
    for (int i = 0; i < size_.domains; ++i) {
      auto& steward = stewards_[DomainOf(i)];
      steward = MakeColdSteward({});
      steward->ApplyConfiguration(body);
      quota_books_[DomainOf(i)] = MakeQuotaBook();
    }
  }

  void ScheduleRegularWork() {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      const microseconds offset = microseconds(random_() % 250'000);
      Repeat(kStart + offset / 10, kPollInterval, [this, i] { Poll(i); });
      Repeat(kStart + offset * 4, settings_.tally_interval,
             [this, i] { ExchangeTallies(i); });
      Repeat(kStart + offset * 2, kPermitInterval,
             [this, i] { ExchangePermits(i); });
      Repeat(kStart + offset / 20, kPumpInterval, [this, i] { Pump(i); });
    }
    Repeat(kStart, seconds(2), [this] { RenewLeases(); });
    Schedule(At(settings_.warm_up_seconds), [this] {
      for (const engine_state& engine : engines_)
        preemptions_before_ += engine.model->counters().preemptions;
    });
    ScheduleArrival();
  }

  double Rate() const {
    const double capacity = EngineCapacity(settings_.engine, load_) *
                            static_cast<double>(size_.engines);
    return capacity * settings_.load * surge_;
  }

  void ScheduleArrival() {
    const auto wait = microseconds(
        static_cast<std::int64_t>(load_.DrawInterval(Rate()) * 1e6));
    Schedule(now_ + wait, [this] {
      Arrive();
      ScheduleArrival();
    });
  }

  // Requests -----------------------------------------------------------------

  void Arrive() {
    request_state request;
    request.drawn = load_.Draw();
    request.instance = random_() % instances_.size();
    request.arrived_at = now_;
    requests_.push_back(request);
    if (Measuring())
      ++measured_.requests;
    Submit(requests_.size() - 1);
  }

  void Submit(std::size_t index) {
    request_state& request = requests_[index];
    const workspace_load& workspace =
        load_.workspaces()[request.drawn.workspace];
    admission_request wanted;
    wanted.workspace = workspace_id(workspace.name);
    wanted.service = service_id("generate");
    wanted.prompt_tokens = request.drawn.prompt_tokens;
    wanted.priority = workspace.priority;
    wanted.start_deadline = request.arrived_at + kStartObjective;
    wanted.prefix = request.drawn.prefix;
    wanted.prefix_tokens = request.drawn.prefix_tokens;
    instance_state& instance = instances_[request.instance];
    request.number = instance.admission->Submit(wanted, now_);
    instance.requests[request.number] = index;
    Pump(request.instance);
  }

  void Pump(std::size_t instance_index) {
    instance_state& instance = instances_[instance_index];
    for (const admission_event& event : instance.admission->Pump(now_)) {
      if (const auto* admitted = std::get_if<request_admitted>(&event)) {
        const std::size_t index = instance.requests.at(admitted->request);
        const std::size_t engine = EngineIndex(admitted->target);
        requests_[index].engine = engine;
        Schedule(now_ + kLinkDelay,
                 [this, index, engine] { Deliver(index, engine); });
      } else {
        const auto& shed = std::get<request_shed>(event);
        const std::size_t index = instance.requests.at(shed.request);
        instance.requests.erase(shed.request);
        requests_[index].over = true;
        if (Measuring())
          ++measured_.refusals["not_run"];
      }
    }
  }

  std::size_t EngineIndex(const target_id& id) const {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].spec.id == id)
        return i;
    }
    throw std::logic_error("no such engine");
  }

  void Deliver(std::size_t index, std::size_t engine_index) {
    request_state& request = requests_[index];
    engine_state& engine = engines_[engine_index];
    if (Measuring())
      ++measured_.sends;
    ++request.tries;
    NoteOutDispatch(engine);
    if (engine.dead) {
      instances_[request.instance].admission->OnTargetFailure(engine.spec.id,
                                                              now_);
      return FailTry(index);
    }
    stand_ins::generation_request generation;
    generation.id = std::to_string(index);
    generation.prompt_tokens = request.drawn.prompt_tokens;
    generation.output_tokens = request.drawn.output_tokens;
    generation.prefix = request.drawn.prefix;
    generation.prefix_tokens = request.drawn.prefix_tokens;
    if (!engine.model->Submit(generation, now_)) {
      Apply(engine_index, engine.model->Crash(now_));
      return;
    }
    Schedule(request.arrived_at + kPatience, [this, index] { Leave(index); });
    WakeEngine(engine_index);
  }

  void NoteOutDispatch(const engine_state& engine) {
    const auto out = out_since_.find(engine.spec.domain);
    if (out != out_since_.end() && now_ > out->second + seconds(3))
      ++measured_.out_dispatches;
  }

  // A caller leaves that got no first token in time.
  void Leave(std::size_t index) {
    request_state& request = requests_[index];
    if (request.over || request.first_token_at || !request.engine)
      return;
    engines_[*request.engine].model->Cancel(std::to_string(index));
    End(index, generation_end::stopped);
    if (Measuring())
      ++measured_.left;
  }

  void End(std::size_t index, generation_end end) {
    request_state& request = requests_[index];
    request.over = true;
    instance_state& instance = instances_[request.instance];
    instance.admission->OnEnd(request.number, end, now_);
    instance.requests.erase(request.number);
    Pump(request.instance);
  }

  // A try ended without an answer. Before the first token the request may run
  // elsewhere.
  void FailTry(std::size_t index) {
    End(index, generation_end::failed);
    request_state& request = requests_[index];
    if (request.first_token_at || request.tries >= kMostTries ||
        now_ > request.arrived_at + kStartObjective) {
      if (Measuring())
        ++measured_.lost;
      return;
    }
    request.over = false;
    request.engine.reset();
    Submit(index);
  }

  // Engines ------------------------------------------------------------------

  void WakeEngine(std::size_t engine_index) {
    engine_state& engine = engines_[engine_index];
    const auto next = engine.model->NextStepAt();
    if (!next)
      return;
    const std::uint64_t wake_up = ++engine.wake_ups;
    Schedule(*next, [this, engine_index, wake_up] {
      engine_state& woken = engines_[engine_index];
      if (woken.wake_ups != wake_up || !woken.model->NextStepAt())
        return;
      Apply(engine_index, woken.model->Step());
      WakeEngine(engine_index);
    });
  }

  void Apply(std::size_t engine_index,
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
          FailTry(index);
          break;
      }
    }
    NoteWarmth(engines_[engine_index]);
  }

  void NoteWarmth(engine_state& engine) {
    if (engine.model->cold() && !engine.cold_since)
      engine.cold_since = now_;
    if (!engine.model->cold() && engine.cold_since) {
      measured_.seconds_to_warm =
          std::max(measured_.seconds_to_warm,
                   ToMilliseconds(now_ - *engine.cold_since) / 1000);
      engine.cold_since.reset();
    }
  }

  void OnToken(std::size_t index) {
    request_state& request = requests_[index];
    ++request.tokens;
    if (Measuring()) {
      ++measured_.tokens;
      if (!request.first_token_at)
        measured_.first_token.Add(now_ - request.arrived_at);
      else
        NoteGap(now_ - *request.last_token_at);
    }
    if (!request.first_token_at)
      request.first_token_at = now_;
    request.last_token_at = now_;
    instances_[request.instance].admission->OnProgress(request.number,
                                                       request.tokens, now_);
  }

  void NoteGap(microseconds gap) {
    measured_.between_tokens.Add(gap);
    measured_.longest_stall = std::max(measured_.longest_stall, gap);
    if (gap > kStallFloor)
      measured_.stall_time += gap - kStallFloor;
  }

  void OnFinished(std::size_t index) {
    request_state& request = requests_[index];
    if (Measuring()) {
      ++measured_.finished;
      const bool in_time =
          *request.first_token_at <= request.arrived_at + kStartObjective;
      if (in_time) {
        ++measured_.finished_in_time;
        const auto tokens = static_cast<std::uint64_t>(request.tokens);
        measured_.good_tokens += tokens;
        NoteService(request, static_cast<double>(tokens));
      }
    }
    End(index, generation_end::finished);
  }

  // Service relative to demand, which is in proportion to the shares.
  void NoteService(const request_state& request, double tokens) {
    const workspace_load& own = load_.workspaces()[request.drawn.workspace];
    measured_.workspace_service[request.drawn.workspace] +=
        tokens / own.weight / own.median_output;
  }

  // Control ------------------------------------------------------------------

  void Poll(std::size_t instance_index) {
    instance_state& instance = instances_[instance_index];
    for (const engine_state& engine : engines_) {
      if (engine.dead ||
          (instance.gate->cut_off && engine.spec.domain != instance.domain))
        continue;
      const stand_ins::engine_report seen = engine.model->Report(now_);
      target_report report;
      report.taken_at = seen.at;
      report.running = seen.running;
      report.waiting = seen.waiting;
      report.memory_used = seen.memory_used;
      report.memory_total = seen.memory_total;
      report.cold = seen.cold;
      instance.admission->OnReport(engine.spec.id, report, now_);
      stewards_.at(engine.spec.domain)->OnReport(engine.spec.id, report, now_);
    }
  }

  void ExchangeTallies(std::size_t instance_index) {
    instance_state& instance = instances_[instance_index];
    std::map<domain_id, std::vector<target_tally>> by_domain;
    for (const target_tally& tally : instance.admission->Tallies(now_))
      by_domain[engines_[EngineIndex(tally.target)].spec.domain].push_back(
          tally);
    for (const auto& [domain, tallies] : by_domain) {
      if (partitioned_ && domain != instance.domain)
        continue;
      for (const quota_grant& grant :
           quota_books_.at(domain)->Exchange(instance.id, tallies, now_))
        instance.admission->OnGrant(grant);
    }
  }

  void RenewLeases() {
    if (store_down_)
      return;
    for (auto& [domain, steward] : stewards_)
      steward->OnLease({domain.text(), "steward", 1, now_ + kLeaseValidity},
                       now_);
  }

  void ExchangePermits(std::size_t instance_index) {
    instance_state& instance = instances_[instance_index];
    std::vector<cold_request> asked;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      const engine_state& engine = engines_[i];
      if (engine.spec.domain != instance.domain || !engine.model->cold())
        continue;
      std::int32_t running = 0;
      for (const auto& [number, index] : instance.requests)
        running += requests_[index].engine == i ? 1 : 0;
      asked.push_back(
          instance.gate->allowance->Ask(engine.spec.id, running, 2));
    }
    if (asked.empty())
      return;
    for (const cold_permit& permit :
         stewards_.at(instance.domain)->Exchange(instance.id, asked, now_))
      instance.gate->allowance->OnPermit(permit, now_);
  }

  // Events -------------------------------------------------------------------

  void ScheduleEvent() {
    const double begin = settings_.warm_up_seconds + settings_.seconds * 0.25;
    const double end = settings_.warm_up_seconds + settings_.seconds * 0.5;
    const std::string& event = settings_.event;
    if (event == "domain_out_return") {
      Schedule(At(begin), [this] { TakeOut(); });
      Schedule(At(end), [this] { BringBack(); });
    } else if (event == "engine_deaths") {
      for (std::size_t i = 0; i < 3; ++i) {
        Schedule(At(begin + 5.0 * static_cast<double>(i)),
                 [this, i] { Kill(i); });
        Schedule(At(end + 5.0 * static_cast<double>(i)),
                 [this, i] { Revive(i); });
      }
    } else if (event == "warm_turns_cold") {
      Schedule(At(begin), [this] { TurnCold(0); });
      Schedule(At(end), [this] { TurnCold(1); });
    } else if (event == "large_workspace_surge") {
      Schedule(At(begin), [this] { Surge(6, 1.5); });
      Schedule(At(end), [this] { Surge(1.0 / 6, 1); });
    } else if (event == "kv_outage") {
      Schedule(At(begin), [this] {
        store_down_ = true;
        Kill(0);
      });
      Schedule(At(begin + 5), [this] { Revive(0); });
      Schedule(At(end), [this] { store_down_ = false; });
    } else if (event == "partition") {
      Schedule(At(begin), [this] { SetPartition(true); });
      Schedule(At(end), [this] { SetPartition(false); });
    } else if (event != "none" && event != "hot_prefix" &&
               event != "report_lag" && event != "long_tail_lengths") {
      throw std::invalid_argument("no event '" + event + "'");
    }
  }

  // The news reaches each instance within two seconds.
  void TakeOut() {
    out_since_[DomainOf(0)] = now_;
    configuration_body body = Body();
    body.domains[0].state = domain_state::out;
    for (instance_state& instance : instances_)
      instance.admission->ApplyConfiguration(body, now_);
    for (instance_state& instance : instances_)
      instance.gate->closed_from[DomainOf(0)] =
          now_ + milliseconds(random_() % 2000);
  }

  // Its engines were restarted meanwhile and are cold.
  void BringBack() {
    out_since_.erase(DomainOf(0));
    const configuration_body body = Body();
    for (instance_state& instance : instances_)
      instance.admission->ApplyConfiguration(body, now_);
    for (instance_state& instance : instances_)
      instance.gate->closed_from.erase(DomainOf(0));
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].spec.domain == DomainOf(0))
        TurnCold(i);
    }
  }

  void Kill(std::size_t engine_index) {
    engines_[engine_index].dead = true;
    Apply(engine_index, engines_[engine_index].model->Crash(now_));
  }

  void Revive(std::size_t engine_index) {
    engines_[engine_index].dead = false;
    engines_[engine_index].cold_since = now_;
  }

  void TurnCold(std::size_t engine_index) {
    engines_[engine_index].model->TurnCold(now_);
    NoteWarmth(engines_[engine_index]);
  }

  void Surge(double weight_factor, double rate_factor) {
    load_.SetWeight(0, load_.workspaces()[0].weight * weight_factor);
    surge_ = rate_factor;
  }

  void SetPartition(bool partitioned) {
    partitioned_ = partitioned;
    for (instance_state& instance : instances_)
      instance.gate->cut_off = partitioned;
  }

  run_settings settings_;
  const deployment_size size_;
  workload load_;
  std::mt19937_64 random_;
  timestamp now_ = kStart;
  std::uint64_t order_ = 0;
  std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> queue_;
  std::vector<engine_state> engines_;
  std::vector<instance_state> instances_;
  std::vector<request_state> requests_;
  std::map<domain_id, std::unique_ptr<i_cold_steward>> stewards_;
  std::map<domain_id, std::unique_ptr<i_quota_book>> quota_books_;
  std::map<domain_id, timestamp> out_since_;
  std::uint64_t preemptions_before_ = 0;
  double surge_ = 1;
  bool store_down_ = false;
  bool partitioned_ = false;
  measures measured_;
};

}  // namespace

measures RunFleet(const run_settings& settings) {
  return fleet(settings).Run();
}

}  // namespace wist::bench
