#include "stand_ins/engine/engine_model.h"

#include <algorithm>

namespace wist::stand_ins {
namespace {

// Minimum interval between two recorded reports.
constexpr milliseconds kMinReportInterval{50};

}  // namespace

engine_model::engine_model(engine_settings settings, timestamp now)
    : settings_(settings) {
  if (settings_.starts_cold)
    ResetToCold();
  else
    warm_since_ = now;
  RecordReport(now);
}

bool engine_model::Submit(const generation_request& request, timestamp now) {
  sequence queued{request, 0, request.prompt_tokens, 0, true};
  const auto position = std::find_if(
      waiting_.begin(), waiting_.end(), [&](const sequence& other) {
        return other.request.priority > request.priority;
      });
  waiting_.insert(position, std::move(queued));
  if (cold_ && active() > settings_.cold_bearable_requests) {
    ++counters_.cold_violations;
    return false;
  }
  if (!step_end_)
    StartStep(now);
  return true;
}

void engine_model::Cancel(const std::string& id) {
  const auto matches = [&](const sequence& s) { return s.request.id == id; };
  std::erase_if(waiting_, matches);
  const auto found = std::find_if(running_.begin(), running_.end(), matches);
  if (found == running_.end())
    return;
  memory_used_ -= found->allocated_tokens;
  running_.erase(found);
}

std::optional<timestamp> engine_model::NextStepAt() const {
  return step_end_;
}

std::vector<engine_event> engine_model::Step() {
  std::vector<engine_event> events;
  const timestamp at = *step_end_;
  PreemptToFit(events, at);
  for (auto it = running_.begin(); it != running_.end();) {
    const auto current = it++;
    if (current->prefill_remaining > 0)
      continue;
    if (current->prefilling) {
      // The prefill ended in this step; decoding starts in the next one.
      current->prefilling = false;
      continue;
    }
    Decode(*current, events, at);
    if (current->generated < current->request.output_tokens)
      continue;
    events.push_back({engine_event_kind::finished, current->request.id,
                      current->generated, at});
    memory_used_ -= current->allocated_tokens;
    CachePrefix(current->request);
    running_.erase(current);
  }
  StartStep(at);
  RecordReport(at);
  return events;
}

void engine_model::Decode(sequence& running,
                          std::vector<engine_event>& events,
                          timestamp at) {
  events.push_back(
      {engine_event_kind::token, running.request.id, running.generated, at});
  ++running.generated;
  ++running.allocated_tokens;
  ++memory_used_;
  ++counters_.tokens;
  AdvanceWarmUp(at);
}

// Preempts sequences until each decoding sequence has memory for one more
// token. The last sequence is never preempted, since it would be restarted
// endlessly.
void engine_model::PreemptToFit(std::vector<engine_event>& events,
                                timestamp at) {
  while (running_.size() > 1 &&
         memory_used_ + DecodingCount() > settings_.memory_tokens)
    Preempt(SelectVictim(), events, at);
}

std::int64_t engine_model::DecodingCount() const {
  return std::count_if(running_.begin(), running_.end(), [](const auto& s) {
    return s.prefill_remaining == 0 && !s.prefilling;
  });
}

// Returns the most recently admitted sequence of those with the highest
// priority value.
std::list<engine_model::sequence>::iterator engine_model::SelectVictim() {
  return std::max_element(running_.begin(), running_.end(),
                          [](const sequence& a, const sequence& b) {
                            return a.request.priority <= b.request.priority;
                          });
}

void engine_model::Preempt(std::list<sequence>::iterator victim,
                           std::vector<engine_event>& events,
                           timestamp at) {
  ++counters_.preemptions;
  events.push_back({engine_event_kind::preempted, victim->request.id,
                    victim->generated, at});
  memory_used_ -= victim->allocated_tokens;
  sequence requeued = std::move(*victim);
  requeued.allocated_tokens = 0;
  // The prefill has to recompute the prompt and the output generated so far.
  requeued.prefill_remaining =
      requeued.request.prompt_tokens + requeued.generated;
  requeued.prefilling = true;
  waiting_.push_front(std::move(requeued));
  running_.erase(victim);
}

void engine_model::StartStep(timestamp now) {
  AdmitWaiting();
  if (running_.empty()) {
    step_end_.reset();
    return;
  }
  step_end_ = now + ScheduleStep();
}

void engine_model::AdmitWaiting() {
  while (!waiting_.empty() &&
         running_.size() < static_cast<std::size_t>(settings_.max_running)) {
    sequence& next = waiting_.front();
    const std::int64_t needed = next.request.prompt_tokens + next.generated;
    if (memory_used_ + needed >= settings_.memory_tokens && !running_.empty())
      return;
    const std::int64_t cached = CachedTokens(next.request);
    next.prefill_remaining = std::max<std::int64_t>(1, needed - cached);
    next.allocated_tokens = needed;
    memory_used_ += needed;
    running_.push_back(std::move(next));
    waiting_.pop_front();
  }
}

// Assigns prefill work to the next step and returns the duration of the step.
microseconds engine_model::ScheduleStep() {
  std::int64_t budget = settings_.max_prefill_tokens_per_step;
  std::int64_t decoding = 0;
  std::int64_t prefilled = 0;
  for (sequence& running : running_) {
    if (!running.prefilling) {
      ++decoding;
      continue;
    }
    const std::int64_t chunk = std::min(budget, running.prefill_remaining);
    running.prefill_remaining -= chunk;
    budget -= chunk;
    prefilled += chunk;
  }
  const microseconds duration = settings_.step_base +
                                settings_.step_per_sequence * decoding +
                                settings_.step_per_prefill_token * prefilled;
  return cold_ ? duration * settings_.cold_step_factor : duration;
}

std::int64_t engine_model::CachedTokens(const generation_request& request) {
  if (request.prefix.empty())
    return 0;
  const auto found = std::find_if(
      prefix_cache_.begin(), prefix_cache_.end(),
      [&](const auto& cached) { return cached.prefix == request.prefix; });
  if (found == prefix_cache_.end())
    return 0;
  prefix_cache_.splice(prefix_cache_.begin(), prefix_cache_, found);
  return request.prefix_tokens;
}

void engine_model::CachePrefix(const generation_request& request) {
  if (request.prefix.empty() || CachedTokens(request) > 0)
    return;
  prefix_cache_.push_front(request);
  prefix_cache_tokens_ += request.prefix_tokens;
  while (prefix_cache_tokens_ > settings_.prefix_cache_tokens) {
    prefix_cache_tokens_ -= prefix_cache_.back().prefix_tokens;
    prefix_cache_.pop_back();
  }
}

void engine_model::AdvanceWarmUp(timestamp at) {
  if (!cold_ || --warm_up_tokens_remaining_ > 0)
    return;
  cold_ = false;
  warm_since_ = at;
}

void engine_model::ResetToCold() {
  cold_ = true;
  warm_since_.reset();
  warm_up_tokens_remaining_ = settings_.warm_up_tokens;
  prefix_cache_.clear();
  prefix_cache_tokens_ = 0;
}

void engine_model::TurnCold(timestamp now) {
  ResetToCold();
  reports_.push_back(Snapshot(now));
}

std::vector<engine_event> engine_model::Crash(timestamp now) {
  std::vector<engine_event> events;
  const auto add_lost_event = [&](const sequence& s) {
    events.push_back({engine_event_kind::lost, s.request.id, s.generated, now});
  };
  std::for_each(running_.begin(), running_.end(), add_lost_event);
  std::for_each(waiting_.begin(), waiting_.end(), add_lost_event);
  running_.clear();
  waiting_.clear();
  memory_used_ = 0;
  step_end_.reset();
  ++counters_.crashes;
  ResetToCold();
  RecordReport(now);
  return events;
}

engine_report engine_model::Snapshot(timestamp now) const {
  engine_report report;
  report.at = now;
  report.running = static_cast<int>(running_.size());
  report.waiting = static_cast<int>(waiting_.size());
  report.memory_used = memory_used_;
  report.memory_total = settings_.memory_tokens;
  report.cold = cold_;
  for (const generation_request& cached : prefix_cache_)
    report.cached_prefixes.push_back(cached.prefix);
  return report;
}

void engine_model::RecordReport(timestamp at) {
  if (!reports_.empty() && at < reports_.back().at + kMinReportInterval &&
      step_end_)
    return;
  reports_.push_back(Snapshot(at));
  while (reports_.size() > 2 && reports_[1].at <= at - settings_.report_lag)
    reports_.pop_front();
}

engine_report engine_model::PublishedReport(timestamp now) const {
  const timestamp visible_until = now - settings_.report_lag;
  engine_report visible = reports_.front();
  for (const engine_report& report : reports_) {
    if (report.at <= visible_until)
      visible = report;
  }
  // An idle engine keeps publishing its last load with a current timestamp.
  if (!step_end_ && visible.at == reports_.back().at)
    visible.at = std::max(visible.at, visible_until);
  return visible;
}

}  // namespace wist::stand_ins
