#include "selection/target_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wist {
namespace {

// Cost of an engine in another failure domain, as a part of its memory: a long
// stream breaks when the domains lose each other, and its memory takes longer
// to move back.
constexpr double kOtherDomainCost = 0.2;

// The same for plain services, as a factor.
constexpr double kOtherDomainFactor = 1.1;

// How much a target that spoils all its answers costs more than a sound one.
constexpr double kFailureFactor = 12;
constexpr double kFailureCost = 1.0;

// A target that rests is used only if nothing else is there.
constexpr double kAvoidedCost = 1000;

// Prompt tokens that wait to be read weigh like this part of the memory each:
// an engine reads some ten thousand a second, and the objective for the first
// event is about as long.
constexpr double kUnreadTokenWeight = 1.0 / 20'000;

// Runs slow each other: weight of a full batch against a full memory.
constexpr double kBatchWeight = 0.4;

// Instances that have to say that a target breaks its runs.
constexpr int kPeersToHeed = 2;

// Gain of a target that read the same session before.
constexpr double kSessionGain = 0.04;

// Latency assumed of a plain target that has not answered yet, in ms.
constexpr double kUnknownLatencyMs = 20;

// Spreads choices of several instances that read the same loads: the more there
// are, the more of them choose before one hears of another's choice.
constexpr double kCostJitterPerInstance = 0.002;
constexpr double kMaxCostJitter = 0.25;

// Sessions remembered at the most.
constexpr std::size_t kMaxSessions = 20'000;

// Window of the bound on requests to a cold target.
constexpr seconds kColdWindow{1};

// Targets that ended are replaced within seconds.
constexpr milliseconds kNoTargetRetryAfter{1000};

}  // namespace

target_selector::target_selector(const selection_settings& settings,
                                 const target_directory& directory,
                                 std::uint32_t seed)
    : settings_(settings), directory_(directory), random_(seed) {}

void target_selector::ApplyConfiguration(
    std::shared_ptr<const route_table> table) {
  table_ = std::move(table);
}

void target_selector::SetInstanceCount(std::size_t count) {
  instance_count_ = std::max<std::size_t>(count, 1);
}

selection target_selector::Choose(const selection_request& request,
                                  timestamp now) {
  const routed_service* service =
      table_ ? table_->FindService(request.service) : nullptr;
  if (!service)
    return selection_fault{false, kNoTargetRetryAfter};
  const known_target* best = Cheapest(*service, request, true, now);
  // Peers may have met what this instance would not.
  if (!best)
    best = Cheapest(*service, request, false, now);
  if (best)
    return best->entry.id;
  const bool any = std::any_of(
      directory_.targets().begin(), directory_.targets().end(),
      [&](const auto& known) { return MayTake(known.second, request); });
  return selection_fault{any, any ? milliseconds(0) : kNoTargetRetryAfter};
}

bool target_selector::MayTake(const known_target& target,
                              const selection_request& request) const {
  return target.entry.service == request.service && directory_.Takes(target) &&
         !request.excluded.contains(target.entry.id);
}

const known_target* target_selector::Cheapest(const routed_service& service,
                                              const selection_request& request,
                                              bool heeds_peers,
                                              timestamp now) const {
  const known_target* best = nullptr;
  double best_cost = 0;
  for (const auto& [id, target] : directory_.targets()) {
    if (!MayTake(target, request) ||
        (heeds_peers && IsFailingForPeers(id, now)))
      continue;
    const auto cost = Cost(target, service, request, now);
    if (!cost || (best && *cost >= best_cost))
      continue;
    best = &target;
    best_cost = *cost;
  }
  return best;
}

// One instance may be cut off from a target; two hardly in the same moment.
bool target_selector::IsFailingForPeers(const target_id& target,
                                        timestamp now) const {
  int peers = 0;
  for (const auto& [peer, state] : peers_) {
    if (now >= state.deadline)
      continue;
    const auto found = state.loads.find(target);
    if (found != state.loads.end() && found->second.is_failing)
      ++peers;
  }
  return peers >= kPeersToHeed;
}

selection target_selector::ChooseReceiver(const target_id& from,
                                          const selection_request& request,
                                          timestamp now) {
  selection_request other = request;
  other.excluded.insert(from);
  other.continues_run = true;
  // Copies between failure domains take longer than a notice may last.
  if (const known_target* source = directory_.Find(from))
    other.preferred_domain = source->entry.domain;
  return Choose(other, now);
}

std::optional<double> target_selector::Cost(const known_target& target,
                                            const routed_service& service,
                                            const selection_request& request,
                                            timestamp now) const {
  if (!MayBearCold(target, service, now))
    return std::nullopt;
  const target_state* state = StateOf(target.entry.id);
  const bool avoided = state && state->health.IsAvoided(now);
  const double failures = state ? state->health.failure_share() : 0;
  const double jitter =
      std::uniform_real_distribution<double>(0, CostJitter())(random_);
  if (service.engine && request.size) {
    const auto cost = EngineCost(target, *service.engine, request, now);
    // A caller comes back sooner than a cut engine would answer.
    if (!cost || avoided)
      return std::nullopt;
    return *cost + failures * kFailureCost + jitter;
  }
  const target_load load = TotalLoad(target.entry.id, now);
  const double latency =
      state ? state->health.latency_ms().value_or(kUnknownLatencyMs)
            : kUnknownLatencyMs;
  const double domain =
      target.entry.domain == settings_.own_domain ? 1 : kOtherDomainFactor;
  return (load.runs + 1) * latency * domain * (1 + failures * kFailureFactor) *
             (1 + jitter) +
         (avoided ? kAvoidedCost * kUnknownLatencyMs : 0);
}

std::optional<double> target_selector::EngineCost(
    const known_target& target,
    const engine_spec& engine,
    const selection_request& request,
    timestamp now) const {
  const target_load load = TotalLoad(target.entry.id, now);
  const auto memory = static_cast<double>(engine.memory_tokens);
  const double fill =
      static_cast<double>(load.tokens + request.size->Total()) / memory;
  // A generation larger than the limit still runs on an idle engine.
  const double limit = request.continues_run ? settings_.continued_memory_limit
                                             : settings_.memory_limit;
  if (load.runs > 0 && fill > limit)
    return std::nullopt;
  if (load.runs >= engine.slots || IsTooSlow(load, request))
    return std::nullopt;
  double cost = fill;
  cost += kBatchWeight * load.runs / std::max(engine.slots, 1);
  cost += static_cast<double>(load.unread_tokens) * kUnreadTokenWeight;
  const domain_id& preferred = request.preferred_domain.empty()
                                   ? settings_.own_domain
                                   : request.preferred_domain;
  if (target.entry.domain != preferred)
    cost += kOtherDomainCost;
  if (request.session.empty())
    return cost;
  const auto session = sessions_.find(request.session);
  if (session != sessions_.end() && session->second == target.entry.id)
    cost -= kSessionGain;
  return cost;
}

// Whether the first output would come past its objective: a caller that is sent
// away at once may still be served in time.
bool target_selector::IsTooSlow(const target_load& load,
                                const selection_request& request) const {
  if (!request.objective || request.continues_run || load.runs == 0)
    return false;
  const auto pace = paces_.find(request.service);
  if (pace == paces_.end())
    return false;
  return pace->second.TimeFor(load.unread_tokens +
                              request.size->prompt_tokens) > *request.objective;
}

// Each instance sends at most its own part of the bound, so that the parts of
// all instances add up to it without a message.
bool target_selector::MayBearCold(const known_target& target,
                                  const routed_service& service,
                                  timestamp now) const {
  if (service.cold_requests_per_second <= 0 || now >= target.cold_deadline)
    return true;
  const target_state* state = StateOf(target.entry.id);
  if (!state)
    return true;
  const double part =
      std::max(1.0, std::floor(service.cold_requests_per_second /
                               static_cast<double>(instance_count_)));
  const auto recent = std::count_if(
      state->recent_sends.begin(), state->recent_sends.end(),
      [&](timestamp sent_at) { return now < sent_at + kColdWindow; });
  return static_cast<double>(recent) < part;
}

double target_selector::CostJitter() const {
  return std::min(kCostJitterPerInstance * static_cast<double>(instance_count_),
                  kMaxCostJitter);
}

run_number target_selector::Add(const target_id& target,
                                const selection_request& request,
                                bool is_copy,
                                timestamp now) {
  const run_number number = next_run_++;
  const generation_size size = request.size.value_or(generation_size{});
  run& added = runs_[number];
  added.target = target;
  added.size = size;
  added.service = request.service;
  added.is_copy = is_copy;
  added.began_at = now;
  // Its prompt comes with the copy of its memory.
  if (!is_copy && !request.continues_run)
    added.unread_tokens = size.prompt_tokens;
  target_state& state = states_[target];
  state.own.target = target;
  state.own.tokens += size.Total();
  return number;
}

run_number target_selector::Begin(const target_id& target,
                                  const selection_request& request,
                                  timestamp now) {
  const std::int64_t unread_before = TotalLoad(target, now).unread_tokens;
  const run_number number = Add(target, request, false, now);
  run& added = runs_[number];
  added.tokens_to_read = unread_before + added.unread_tokens;
  target_state& state = states_[target];
  state.own.runs += 1;
  state.own.unread_tokens += added.unread_tokens;
  while (!state.recent_sends.empty() &&
         now >= state.recent_sends.front() + kColdWindow)
    state.recent_sends.pop_front();
  state.recent_sends.push_back(now);
  if (!request.session.empty()) {
    if (sessions_.size() >= kMaxSessions)
      sessions_.clear();
    sessions_[request.session] = target;
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
  double best_cost = settings_.copy_memory_limit;
  double filled = 0;
  double engines = 0;
  for (const auto& [id, target] : directory_.targets()) {
    if (target.entry.service != request.service || !directory_.Takes(target))
      continue;
    const auto tokens = static_cast<double>(TotalLoad(id, now).tokens);
    filled += tokens;
    engines += 1;
    const target_state* state = StateOf(id);
    if (target.entry.domain == source->entry.domain ||
        (state && state->health.IsAvoided(now)))
      continue;
    const double cost =
        (tokens + static_cast<double>(request.size->Total())) / memory;
    if (cost >= best_cost)
      continue;
    best = id;
    best_cost = cost;
  }
  if (filled > settings_.copy_service_limit * memory * engines)
    return std::nullopt;
  return best;
}

run_number target_selector::BeginCopy(const target_id& target,
                                      const selection_request& request,
                                      timestamp now) {
  return Add(target, request, true, now);
}

void target_selector::OnFirstOutput(run_number number, timestamp now) {
  const auto found = runs_.find(number);
  if (found == runs_.end() || found->second.has_output)
    return;
  run& begun = found->second;
  begun.has_output = true;
  if (begun.unread_tokens == 0)
    return;
  paces_[begun.service].OnFirstOutput(begun.tokens_to_read,
                                      now - begun.began_at);
  states_[begun.target].own.unread_tokens -=
      std::exchange(begun.unread_tokens, 0);
}

void target_selector::End(run_number number, run_end end, timestamp now) {
  const auto found = runs_.find(number);
  if (found == runs_.end())
    return;
  const run ended = found->second;
  runs_.erase(found);
  target_state& state = states_[ended.target];
  state.own.tokens -= ended.size.Total();
  if (ended.is_copy)
    return;
  state.own.runs -= 1;
  state.own.unread_tokens -= ended.unread_tokens;
  state.health.OnEnd(end, now - ended.began_at, now);
  if (end == run_end::broken && !ended.has_output)
    state.health.OnEarlyBreak(now);
}

std::vector<target_load> target_selector::OwnLoads(timestamp now) const {
  std::vector<target_load> loads;
  for (const auto& [id, state] : states_) {
    const bool is_failing = state.health.IsFailing(now);
    if (state.own.runs == 0 && state.own.tokens == 0 && !is_failing)
      continue;
    target_load load = state.own;
    load.target = id;
    load.is_failing = is_failing;
    loads.push_back(load);
  }
  return loads;
}

void target_selector::SetPeerLoads(const std::string& peer,
                                   const std::vector<target_load>& loads,
                                   timestamp now) {
  peer_state& state = peers_[peer];
  state.loads.clear();
  for (const target_load& load : loads)
    state.loads[load.target] = load;
  state.deadline = now + settings_.peer_load_validity;
}

target_load target_selector::TotalLoad(const target_id& target,
                                       timestamp now) const {
  target_load total;
  if (const target_state* state = StateOf(target))
    total = state->own;
  for (const auto& [peer, state] : peers_) {
    if (now >= state.deadline)
      continue;
    const auto found = state.loads.find(target);
    if (found == state.loads.end())
      continue;
    total.runs += found->second.runs;
    total.tokens += found->second.tokens;
    total.unread_tokens += found->second.unread_tokens;
  }
  return total;
}

void target_selector::Expire() {
  std::erase_if(states_, [&](const auto& entry) {
    return entry.second.own.runs == 0 && entry.second.own.tokens == 0 &&
           !directory_.Find(entry.first);
  });
}

const target_selector::target_state* target_selector::StateOf(
    const target_id& target) const {
  const auto found = states_.find(target);
  return found == states_.end() ? nullptr : &found->second;
}

}  // namespace wist
