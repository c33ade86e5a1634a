#include "selection/target_selector.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "selection/internal/target_costs.h"

namespace wist {
namespace {

// Added cost of a target in another failure domain while the border of the
// domain seems to be cut. Higher than any cost of a target that is not in a
// cooldown.
constexpr double kSuspectBorderCost = 10'000;

// Targets that could not be reached in another domain before its border is
// suspected, and for how long. One alone may have crashed.
constexpr int kMinUnreachableAbroad = 2;
constexpr milliseconds kBorderSuspicionTime{1000};

// Number of peers that must report a target as failing before it is avoided.
constexpr int kMinPeerReports = 2;

constexpr std::size_t kMaxSessions = 20'000;

// Window over which the request rate to a cold target is limited.
constexpr seconds kColdLimitWindow{1};

// Stopped targets are replaced within seconds.
constexpr milliseconds kNoTargetRetryAfter{1000};

}  // namespace

target_selector::target_selector(const selection_settings& settings,
                                 const target_directory& directory,
                                 std::uint32_t seed,
                                 target_chooser chooser)
    : settings_(settings),
      directory_(directory),
      chooser_(std::move(chooser)),
      random_generator_(seed) {}

void target_selector::ApplyConfiguration(
    std::shared_ptr<const route_table> table) {
  table_ = std::move(table);
}

void target_selector::SetPosition(const fleet_position& position) {
  position_ = position;
  position_.instance_count = std::max<std::size_t>(position_.instance_count, 1);
}

selection target_selector::Choose(const selection_request& request,
                                  timestamp now) {
  const routed_service* service =
      table_ ? table_->FindService(request.service) : nullptr;
  if (!service)
    return selection_error{false, kNoTargetRetryAfter};
  const bool is_brittle = brittle_targets_.IsBrittle(request.service, now);
  // The failures that peers report may not affect this instance.
  constexpr std::array kPeerReportUses = {true, false};
  const known_target* chosen = nullptr;
  for (const bool uses_peer_reports : kPeerReportUses) {
    if (!chosen)
      chosen =
          FindTarget(*service, request, {uses_peer_reports, !is_brittle}, now);
  }
  if (!chosen && is_brittle && DrawFreeSlot(request, *service, now))
    chosen = FindTarget(*service, request, {true, true}, now);
  if (chosen)
    return chosen->entry.id;
  return Unavailable(request, now);
}

// Why no target can take the request. While none is to be used, the caller
// receives the time until the first of them is again.
selection_error target_selector::Unavailable(const selection_request& request,
                                             timestamp now) const {
  std::optional<timestamp> first_use_at;
  for (const auto& [id, target] : directory_.targets()) {
    if (!IsEligible(target, request))
      continue;
    const auto use_at = NotUsedUntil(target, request, now);
    if (!use_at)
      return {true, milliseconds(0)};
    first_use_at = std::min(*use_at, first_use_at.value_or(*use_at));
  }
  if (!first_use_at)
    return {false, kNoTargetRetryAfter};
  return {false, std::chrono::ceil<milliseconds>(*first_use_at - now)};
}

void target_selector::OnPauseRequested(const target_id& target,
                                       timestamp deadline) {
  states_[target].health.OnPauseRequested(deadline);
}

std::optional<timestamp> target_selector::PausedUntil(const target_id& target,
                                                      timestamp now) const {
  const target_state* state = FindState(target);
  return state ? state->health.PausedUntil(now) : std::nullopt;
}

bool target_selector::IsEligible(const known_target& target,
                                 const selection_request& request) const {
  return target.entry.service == request.service &&
         directory_.AcceptsNewWork(target) &&
         request.versions.Allows(target.entry.version) &&
         !request.excluded.contains(target.entry.id);
}

const known_target* target_selector::FindTarget(
    const routed_service& service,
    const selection_request& request,
    const choice_rules& rules,
    timestamp now) {
  std::vector<choice_candidate> candidates;
  const bool avoids_other_domains =
      !request.continues_run &&
      (request.avoids_other_domains || IsBorderSuspect(now));
  const domain_id& preferred = request.preferred_domain.empty()
                                   ? settings_.own_domain
                                   : request.preferred_domain;
  double near_targets = 0;
  double targets = 0;
  for (const auto& [id, target] : directory_.targets()) {
    if (!IsEligible(target, request) ||
        (rules.uses_peer_reports && IsReportedFailing(id)))
      continue;
    const bool is_near = target.entry.domain == preferred;
    targets += 1;
    near_targets += is_near ? 1 : 0;
    auto candidate = MakeCandidate(target, service, request, rules, now);
    if (!candidate)
      continue;
    candidate->is_near = is_near;
    if (avoids_other_domains && target.entry.domain != settings_.own_domain)
      candidate->cost += kSuspectBorderCost;
    candidates.push_back(*candidate);
  }
  if (candidates.empty())
    return nullptr;
  // Instances of other domains prefer the targets there, so each domain's part
  // of the requests is estimated by its part of the targets.
  const double near_share = near_targets > 0 ? near_targets / targets : 1;
  const double starts = UnseenStarts(request, now);
  const std::size_t index =
      chooser_(candidates, {starts * near_share, starts * (1 - near_share)},
               random_generator_);
  return candidates[index].target;
}

// A suspect generation is placed where least is lost, at any load.
double target_selector::UnseenStarts(const selection_request& request,
                                     timestamp now) const {
  const bool counts_starts = !request.is_suspect;
  if (!counts_starts)
    return 0;
  const auto found = unseen_starts_.find(request.service);
  const unseen_starts_estimator none;
  const unseen_starts_estimator& estimator =
      found == unseen_starts_.end() ? none : found->second;
  return estimator.Estimate(position_.instance_count,
                            report_age_.Age(position_.instance_count, now),
                            now);
}

bool target_selector::IsBorderSuspect(timestamp now) const {
  const auto recent =
      std::count_if(unreachable_abroad_.begin(), unreachable_abroad_.end(),
                    [&](const auto& entry) {
                      return now < entry.second + kBorderSuspicionTime;
                    });
  return recent >= kMinUnreachableAbroad;
}

// A single report may come from an instance that has lost its own connection to
// the target; two instances are unlikely to lose theirs at the same time.
bool target_selector::IsReportedFailing(const target_id& target) const {
  const auto others = others_loads_.find(target);
  return others != others_loads_.end() &&
         others->second.failing_instances >= kMinPeerReports;
}

selection target_selector::ChooseReceiver(const target_id& from,
                                          const selection_request& request,
                                          timestamp now) {
  selection_request other = request;
  other.excluded.insert(from);
  other.continues_run = true;
  // A copy between failure domains may take longer than the target's notice
  // before it stops.
  if (const known_target* source = directory_.Find(from))
    other.preferred_domain = source->entry.domain;
  return Choose(other, now);
}

std::optional<choice_candidate> target_selector::MakeCandidate(
    const known_target& target,
    const routed_service& service,
    const selection_request& request,
    const choice_rules& rules,
    timestamp now) const {
  if (!IsWithinColdLimit(target, service, now))
    return std::nullopt;
  const target_id& id = target.entry.id;
  const target_state* state = FindState(id);
  if (state && !state->health.AllowsStart(now))
    return std::nullopt;
  if (!HasBrittleRoom(target, service, request, rules, now))
    return std::nullopt;
  target_candidate candidate{target, TotalLoad(id),
                             state ? &state->health : nullptr};
  const auto speeds = prefill_speeds_.find(request.service);
  if (settings_.weighs_prefill_speeds && speeds != prefill_speeds_.end())
    candidate.relative_prefill_time = speeds->second.RelativeTime(id);
  const auto estimator = prefill_estimators_.find(request.service);
  const placement_context context{
      settings_,
      estimator == prefill_estimators_.end() ? nullptr : &estimator->second,
      now};
  if (!service.engine || !request.size)
    return choice_candidate{&target, PlainCost(candidate, context),
                            PlainCostPerRun(candidate, context)};
  if (!CanTakeGeneration(candidate, *service.engine, request, context))
    return std::nullopt;
  if (request.is_suspect) {
    candidate.is_last_of_domain = IsLastOfDomain(target);
    return choice_candidate{&target, SuspectCost(candidate, context), 1};
  }
  const auto session = session_targets_.find(request.session);
  candidate.served_session = !request.session.empty() &&
                             session != session_targets_.end() &&
                             session->second == id;
  return choice_candidate{
      &target, EngineCost(candidate, *service.engine, request, context),
      EngineCostPerRun(candidate, *service.engine, request)};
}

// Whether no other target of the service in its domain accepts new work.
bool target_selector::IsLastOfDomain(const known_target& target) const {
  return std::none_of(directory_.targets().begin(), directory_.targets().end(),
                      [&](const auto& entry) {
                        const known_target& other = entry.second;
                        return other.entry.id != target.entry.id &&
                               other.entry.service == target.entry.service &&
                               other.entry.domain == target.entry.domain &&
                               directory_.AcceptsNewWork(other);
                      });
}

// Each instance uses an equal share of the cold target's request limit, so that
// all instances together respect it without coordination.
bool target_selector::IsWithinColdLimit(const known_target& target,
                                        const routed_service& service,
                                        timestamp now) const {
  if (service.max_cold_requests_per_second <= 0 || now >= target.cold_deadline)
    return true;
  const target_state* state = FindState(target.entry.id);
  if (!state)
    return true;
  const double share =
      std::max(1.0, std::floor(service.max_cold_requests_per_second /
                               static_cast<double>(position_.instance_count)));
  const auto recent =
      std::count_if(state->recent_starts.begin(), state->recent_starts.end(),
                    [&](timestamp started_at) {
                      return now < started_at + kColdLimitWindow;
                    });
  return static_cast<double>(recent) < share;
}

run_number target_selector::AddRun(const target_id& target,
                                   const selection_request& request,
                                   bool is_backup,
                                   timestamp now) {
  const run_number number = next_run_number_++;
  const generation_size size = request.size.value_or(generation_size{});
  run& new_run = runs_[number];
  new_run.target = target;
  new_run.size = size;
  new_run.service = request.service;
  new_run.is_backup = is_backup;
  new_run.started_at = now;
  // The prompt of a continued run is part of the copied KV cache.
  if (!is_backup && !request.continues_run)
    new_run.pending_prefill_tokens = size.prompt_tokens;
  target_state& state = states_[target];
  state.own_load.target = target;
  state.own_load.tokens += size.Total();
  return number;
}

run_number target_selector::BeginRun(const target_id& target,
                                     const selection_request& request,
                                     timestamp now) {
  const std::int64_t backlog_before = TotalLoad(target).pending_prefill_tokens;
  const run_number number = AddRun(target, request, false, now);
  run& new_run = runs_[number];
  new_run.prefill_backlog_tokens =
      backlog_before + new_run.pending_prefill_tokens;
  target_state& state = states_[target];
  state.own_load.runs += 1;
  unseen_starts_[request.service].OnOwnStart(now);
  state.health.OnStart();
  state.own_load.pending_prefill_tokens += new_run.pending_prefill_tokens;
  ObserveBacklog(target, now);
  while (!state.recent_starts.empty() &&
         now >= state.recent_starts.front() + kColdLimitWindow)
    state.recent_starts.pop_front();
  state.recent_starts.push_back(now);
  if (!request.session.empty()) {
    if (session_targets_.size() >= kMaxSessions)
      session_targets_.clear();
    session_targets_[request.session] = target;
  }
  return number;
}

std::optional<target_id> target_selector::ChooseBackup(
    const target_id& from,
    const selection_request& request,
    timestamp now) const {
  const known_target* source = directory_.Find(from);
  const routed_service* service =
      table_ ? table_->FindService(request.service) : nullptr;
  if (!source || !service || !service->engine || !request.size)
    return std::nullopt;
  const auto memory = static_cast<double>(service->engine->memory_tokens);
  std::optional<target_id> best;
  double best_cost = settings_.backup_fill_limit;
  double used_tokens = 0;
  double engine_count = 0;
  for (const auto& [id, target] : directory_.targets()) {
    if (target.entry.service != request.service ||
        !directory_.AcceptsNewWork(target) ||
        !request.versions.Allows(target.entry.version))
      continue;
    const auto tokens = static_cast<double>(TotalLoad(id).tokens);
    used_tokens += tokens;
    engine_count += 1;
    const target_state* state = FindState(id);
    if (target.entry.domain == source->entry.domain ||
        (state &&
         (state->health.IsCoolingDown(now) || !state->health.AllowsStart(now))))
      continue;
    const double cost =
        (tokens + static_cast<double>(request.size->Total())) / memory;
    if (cost >= best_cost)
      continue;
    best = id;
    best_cost = cost;
  }
  if (used_tokens > settings_.backup_service_fill_limit * memory * engine_count)
    return std::nullopt;
  return best;
}

run_number target_selector::BeginBackup(const target_id& target,
                                        const selection_request& request,
                                        timestamp now) {
  return AddRun(target, request, true, now);
}

void target_selector::OnFirstOutput(run_number number, timestamp now) {
  const auto found = runs_.find(number);
  if (found == runs_.end() || found->second.has_output)
    return;
  run& started = found->second;
  started.has_output = true;
  if (started.pending_prefill_tokens == 0)
    return;
  prefill_estimators_[started.service].OnFirstOutput(
      started.prefill_backlog_tokens, now - started.started_at);
  states_[started.target].own_load.pending_prefill_tokens -=
      std::exchange(started.pending_prefill_tokens, 0);
  ObserveBacklog(started.target, now);
}

void target_selector::EndRun(run_number number, run_end end, timestamp now) {
  const auto found = runs_.find(number);
  if (found == runs_.end())
    return;
  const run ended = found->second;
  runs_.erase(found);
  target_state& state = states_[ended.target];
  state.own_load.tokens -= ended.size.Total();
  if (ended.is_backup)
    return;
  state.own_load.runs -= 1;
  state.own_load.pending_prefill_tokens -= ended.pending_prefill_tokens;
  ObserveBacklog(ended.target, now);
  state.health.OnEnd(end, now - ended.started_at, now);
  const known_target* target = directory_.Find(ended.target);
  if (end == run_end::unreachable && target &&
      target->entry.domain != settings_.own_domain)
    unreachable_abroad_[ended.target] = now;
  else if (end == run_end::completed)
    unreachable_abroad_.erase(ended.target);
  if (end == run_end::broken && !ended.has_output)
    state.health.OnEarlyBreak(now);
}

std::vector<target_load> target_selector::OwnLoads(timestamp now) const {
  std::vector<target_load> loads;
  for (const auto& [id, state] : states_) {
    const bool is_failing = state.health.IsFailing(now);
    const std::int32_t refusals = brittle_targets_.RecentRefusals(id, now);
    const bool is_brittle = brittle_targets_.IsStatedRecently(id, now);
    if (state.own_load.runs == 0 && state.own_load.tokens == 0 && !is_failing &&
        refusals == 0 && !is_brittle)
      continue;
    target_load load = state.own_load;
    load.target = id;
    load.failing_instances = is_failing ? 1 : 0;
    load.recent_refusals = refusals;
    load.brittle_instances = is_brittle ? 1 : 0;
    loads.push_back(load);
  }
  return loads;
}

void target_selector::SetOthersLoad(const target_load& load, timestamp now) {
  report_age_.OnReport(now);
  const auto former = others_loads_.find(load.target);
  const std::int32_t added_runs =
      load.runs - (former == others_loads_.end() ? 0 : former->second.runs);
  const known_target* target = directory_.Find(load.target);
  if (target)
    brittle_targets_.SetStatedToOthers(target->entry,
                                       load.brittle_instances > 0, now);
  if (target && added_runs > 0)
    unseen_starts_[target->entry.service].OnReportedStarts(added_runs, now);
  const target_load none{load.target};
  if (load == none)
    others_loads_.erase(load.target);
  else
    others_loads_[load.target] = load;
  ObserveBacklog(load.target, now);
}

void target_selector::ObserveBacklog(const target_id& target, timestamp now) {
  const known_target* known = directory_.Find(target);
  if (known)
    prefill_speeds_[known->entry.service].OnBacklog(
        target, TotalLoad(target).pending_prefill_tokens, now);
}

target_load target_selector::TotalLoad(const target_id& target) const {
  target_load total;
  if (const target_state* state = FindState(target))
    total = state->own_load;
  const auto others = others_loads_.find(target);
  if (others == others_loads_.end())
    return total;
  total.runs += others->second.runs;
  total.tokens += others->second.tokens;
  total.pending_prefill_tokens += others->second.pending_prefill_tokens;
  return total;
}

void target_selector::PruneRemovedTargets() {
  for (auto& [service, speeds] : prefill_speeds_)
    speeds.Prune([&](const target_id& id) { return !directory_.Find(id); });
  brittle_targets_.Prune(
      [&](const target_id& id) { return !directory_.Find(id); });
  std::erase_if(unreachable_abroad_, [&](const auto& entry) {
    return !directory_.Find(entry.first);
  });
  std::erase_if(states_, [&](const auto& entry) {
    return entry.second.own_load.runs == 0 &&
           entry.second.own_load.tokens == 0 && !directory_.Find(entry.first);
  });
}

const target_selector::target_state* target_selector::FindState(
    const target_id& target) const {
  const auto found = states_.find(target);
  return found == states_.end() ? nullptr : &found->second;
}

}  // namespace wist
