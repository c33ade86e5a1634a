#include "selection/internal/target_costs.h"

#include <algorithm>

namespace wist {
namespace {

// Cost of an engine in another failure domain, as a fraction of its memory. A
// long stream breaks when the domains are partitioned, and moving its KV cache
// back takes longer.
constexpr double kOtherDomainMemoryCost = 0.2;

// Cost factor of a plain-service target in another failure domain.
constexpr double kOtherDomainLatencyFactor = 1.1;

// Added cost of a target whose requests all fail: as a factor on plain
// services, as a fraction of memory on engines.
constexpr double kFailureLatencyFactor = 12;
constexpr double kFailureMemoryCost = 1.0;

// High enough that a target in cooldown is chosen only if no other is eligible.
constexpr double kCooldownCost = 1000;

// Cost of each prompt token that awaits prefill, as a fraction of memory. An
// engine processes about ten thousand prompt tokens a second, and the objective
// for the first event is about a second.
constexpr double kPendingPrefillTokenCost = 1.0 / 20'000;

// Cost of a full batch relative to a full memory: concurrent runs slow each
// other down.
constexpr double kFullBatchCost = 0.4;

// Cost reduction of the engine that last served the same session.
constexpr double kSessionAffinityDiscount = 0.04;

// Latency assumed for a plain target that has not responded yet.
constexpr double kAssumedLatencyMs = 20;

// Cost of losing an engine, in runs: one that is warming up takes long to
// return, and the last one of a domain leaves its callers to other domains.
constexpr double kColdEngineLoss = 1000;
constexpr double kLastOfDomainLoss = 1000;

// Cost, in runs, of an engine whose requests all fail: it may end for a reason
// of its own, and the generation would be blamed.
constexpr double kFailingEngineLoss = 100;

// Whether the first output is expected after its objective. A caller that is
// refused at once can retry and may still be served in time.
bool WouldMissObjective(const target_candidate& candidate,
                        const selection_request& request,
                        const prefill_estimator* estimator) {
  const target_load& load = candidate.load;
  if (!request.first_output_objective || request.continues_run ||
      load.runs == 0 || !estimator)
    return false;
  // A long queue of prompts would delay more urgent generations as well.
  const milliseconds objective =
      std::min(*request.first_output_objective,
               request.urgent_objective.value_or(milliseconds::max()));
  const microseconds time = estimator->EstimateTime(
      load.pending_prefill_tokens + request.size->prompt_tokens);
  return ToMilliseconds(time) * candidate.relative_prefill_time >
         ToMilliseconds(objective);
}

double Fill(const target_candidate& candidate,
            const engine_spec& engine,
            const selection_request& request) {
  return static_cast<double>(candidate.load.tokens + request.size->Total()) /
         static_cast<double>(engine.memory_tokens);
}

double FillLimit(const selection_request& request,
                 const selection_settings& settings) {
  if (request.continues_run)
    return settings.continued_run_fill_limit;
  return request.urgent_objective
             ? settings.memory_fill_limit - settings.urgent_reserve
             : settings.memory_fill_limit;
}

double FailureRate(const target_candidate& candidate) {
  return candidate.health ? candidate.health->failure_rate() : 0;
}

bool IsCoolingDown(const target_candidate& candidate, timestamp now) {
  return candidate.health && candidate.health->IsCoolingDown(now);
}

}  // namespace

bool CanTakeGeneration(const target_candidate& candidate,
                       const engine_spec& engine,
                       const selection_request& request,
                       const placement_context& context) {
  const target_load& load = candidate.load;
  const double limit = FillLimit(request, context.settings);
  // An idle engine accepts a generation larger than the limit.
  if (load.runs > 0 && Fill(candidate, engine, request) > limit)
    return false;
  // A refused caller can retry before an attempt on an unreachable engine would
  // end.
  return load.runs < engine.slots && !IsCoolingDown(candidate, context.now) &&
         !WouldMissObjective(candidate, request, context.estimator);
}

double EngineCost(const target_candidate& candidate,
                  const engine_spec& engine,
                  const selection_request& request,
                  const placement_context& context) {
  const target_load& load = candidate.load;
  const double relative_time = candidate.relative_prefill_time;
  double cost = Fill(candidate, engine, request);
  cost +=
      relative_time * kFullBatchCost * load.runs / std::max(engine.slots, 1);
  cost += relative_time * static_cast<double>(load.pending_prefill_tokens) *
          kPendingPrefillTokenCost;
  // A slow engine also takes longer for the request's own prompt.
  cost += (relative_time - 1) *
          static_cast<double>(request.size->prompt_tokens) *
          kPendingPrefillTokenCost;
  const domain_id& preferred = request.preferred_domain.empty()
                                   ? context.settings.own_domain
                                   : request.preferred_domain;
  if (candidate.target.entry.domain != preferred)
    cost += kOtherDomainMemoryCost;
  if (candidate.served_session)
    cost -= kSessionAffinityDiscount;
  return cost + FailureRate(candidate) * kFailureMemoryCost;
}

double EngineCostPerRun(const target_candidate& candidate,
                        const engine_spec& engine,
                        const selection_request& request) {
  return static_cast<double>(request.size->Total()) /
             static_cast<double>(engine.memory_tokens) +
         candidate.relative_prefill_time *
             (kFullBatchCost / std::max(engine.slots, 1) +
              static_cast<double>(request.size->prompt_tokens) *
                  kPendingPrefillTokenCost);
}

double SuspectCost(const target_candidate& candidate,
                   const placement_context& context) {
  double loss =
      candidate.load.runs + FailureRate(candidate) * kFailingEngineLoss;
  if (context.now < candidate.target.cold_deadline)
    loss += kColdEngineLoss;
  if (candidate.is_last_of_domain)
    loss += kLastOfDomainLoss;
  return loss;
}

double PlainCostPerRun(const target_candidate& candidate,
                       const placement_context& context) {
  const double latency =
      candidate.health
          ? candidate.health->latency_ms().value_or(kAssumedLatencyMs)
          : kAssumedLatencyMs;
  const double domain_factor =
      candidate.target.entry.domain == context.settings.own_domain
          ? 1
          : kOtherDomainLatencyFactor;
  return latency * domain_factor *
         (1 + FailureRate(candidate) * kFailureLatencyFactor);
}

double PlainCost(const target_candidate& candidate,
                 const placement_context& context) {
  return (candidate.load.runs + 1) * PlainCostPerRun(candidate, context) +
         (IsCoolingDown(candidate, context.now)
              ? kCooldownCost * kAssumedLatencyMs
              : 0);
}

}  // namespace wist
