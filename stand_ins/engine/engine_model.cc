#include "stand_ins/engine/engine_model.h"

#include <algorithm>

namespace wist::stand_ins {
namespace {

// Reports are taken at most this often.
constexpr milliseconds kReportInterval{50};

}  // namespace

engine_model::engine_model(engine_settings settings, timestamp now)
    : settings_(settings) {
  if (settings_.starts_cold)
    SetCold();
  else
    warm_since_ = now;
  Record(now);
}

bool engine_model::Submit(const generation_request& request, timestamp now) {
  sequence queued{request, 0, request.prompt_tokens, 0, true};
  const auto place = std::find_if(
      waiting_.begin(), waiting_.end(), [&](const sequence& other) {
        return other.request.priority > request.priority;
      });
  waiting_.insert(place, std::move(queued));
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
  memory_used_ -= found->memory;
  running_.erase(found);
}

std::optional<timestamp> engine_model::NextStepAt() const {
  return step_end_;
}

std::vector<engine_event> engine_model::Step() {
  std::vector<engine_event> events;
  const timestamp at = *step_end_;
  MakeRoom(events, at);
  for (auto it = running_.begin(); it != running_.end();) {
    const auto current = it++;
    if (current->prefill_left > 0)
      continue;
    if (current->prefilling) {
      // The prompt was finished in this step; output starts with the next.
      current->prefilling = false;
      continue;
    }
    Decode(*current, events, at);
    if (current->generated < current->request.output_tokens)
      continue;
    events.push_back({engine_event_kind::finished, current->request.id,
                      current->generated, at});
    memory_used_ -= current->memory;
    RememberPrefix(current->request);
    running_.erase(current);
  }
  StartStep(at);
  Record(at);
  return events;
}

void engine_model::Decode(sequence& running,
                          std::vector<engine_event>& events,
                          timestamp at) {
  events.push_back(
      {engine_event_kind::token, running.request.id, running.generated, at});
  ++running.generated;
  ++running.memory;
  ++memory_used_;
  ++counters_.tokens;
  NoteWarmUp(at);
}

// Preempts until each decoding generation has room for one more token. The
// last generation is never preempted: it would start over without end.
void engine_model::MakeRoom(std::vector<engine_event>& events, timestamp at) {
  while (running_.size() > 1 &&
         memory_used_ + DecodingCount() > settings_.memory_tokens)
    Preempt(LeastImportant(), events, at);
}

std::int64_t engine_model::DecodingCount() const {
  return std::count_if(running_.begin(), running_.end(), [](const auto& s) {
    return s.prefill_left == 0 && !s.prefilling;
  });
}

// The latest of those with the highest priority value.
std::list<engine_model::sequence>::iterator engine_model::LeastImportant() {
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
  memory_used_ -= victim->memory;
  sequence again = std::move(*victim);
  again.memory = 0;
  // Prompt and output so far are computed again.
  again.prefill_left = again.request.prompt_tokens + again.generated;
  again.prefilling = true;
  waiting_.push_front(std::move(again));
  running_.erase(victim);
}

void engine_model::StartStep(timestamp now) {
  AdmitWaiting();
  if (running_.empty()) {
    step_end_.reset();
    return;
  }
  step_end_ = now + PlanStep();
}

void engine_model::AdmitWaiting() {
  while (!waiting_.empty() &&
         running_.size() < static_cast<std::size_t>(settings_.max_running)) {
    sequence& next = waiting_.front();
    const std::int64_t needed = next.request.prompt_tokens + next.generated;
    if (memory_used_ + needed >= settings_.memory_tokens && !running_.empty())
      return;
    const std::int64_t cached = CachedTokens(next.request);
    next.prefill_left = std::max<std::int64_t>(1, needed - cached);
    next.memory = needed;
    memory_used_ += needed;
    running_.push_back(std::move(next));
    waiting_.pop_front();
  }
}

// Returns how long the next step takes and consumes the prefill in it.
microseconds engine_model::PlanStep() {
  std::int64_t budget = settings_.prefill_tokens_a_step;
  std::int64_t decoding = 0;
  std::int64_t prefilled = 0;
  for (sequence& running : running_) {
    if (!running.prefilling) {
      ++decoding;
      continue;
    }
    const std::int64_t part = std::min(budget, running.prefill_left);
    running.prefill_left -= part;
    budget -= part;
    prefilled += part;
  }
  const microseconds length = settings_.step_base +
                              settings_.step_per_sequence * decoding +
                              settings_.step_per_prefill_token * prefilled;
  return cold_ ? length * settings_.cold_step_factor : length;
}

std::int64_t engine_model::CachedTokens(const generation_request& request) {
  if (request.prefix.empty())
    return 0;
  const auto found = std::find_if(
      cache_.begin(), cache_.end(),
      [&](const auto& cached) { return cached.prefix == request.prefix; });
  if (found == cache_.end())
    return 0;
  cache_.splice(cache_.begin(), cache_, found);
  return request.prefix_tokens;
}

void engine_model::RememberPrefix(const generation_request& request) {
  if (request.prefix.empty() || CachedTokens(request) > 0)
    return;
  cache_.push_front(request);
  cache_tokens_ += request.prefix_tokens;
  while (cache_tokens_ > settings_.prefix_cache_tokens) {
    cache_tokens_ -= cache_.back().prefix_tokens;
    cache_.pop_back();
  }
}

void engine_model::NoteWarmUp(timestamp at) {
  if (!cold_ || --warm_up_left_ > 0)
    return;
  cold_ = false;
  warm_since_ = at;
}

void engine_model::SetCold() {
  cold_ = true;
  warm_since_.reset();
  warm_up_left_ = settings_.warm_up_tokens;
  cache_.clear();
  cache_tokens_ = 0;
}

void engine_model::TurnCold(timestamp now) {
  SetCold();
  reports_.push_back(Snapshot(now));
}

std::vector<engine_event> engine_model::Crash(timestamp now) {
  std::vector<engine_event> events;
  const auto lose = [&](const sequence& s) {
    events.push_back({engine_event_kind::lost, s.request.id, s.generated, now});
  };
  std::for_each(running_.begin(), running_.end(), lose);
  std::for_each(waiting_.begin(), waiting_.end(), lose);
  running_.clear();
  waiting_.clear();
  memory_used_ = 0;
  step_end_.reset();
  ++counters_.falls;
  SetCold();
  Record(now);
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
  for (const generation_request& cached : cache_)
    report.cached_prefixes.push_back(cached.prefix);
  return report;
}

void engine_model::Record(timestamp at) {
  if (!reports_.empty() && at < reports_.back().at + kReportInterval &&
      step_end_)
    return;
  reports_.push_back(Snapshot(at));
  while (reports_.size() > 2 && reports_[1].at <= at - settings_.report_lag)
    reports_.pop_front();
}

engine_report engine_model::Report(timestamp now) const {
  const timestamp shown_until = now - settings_.report_lag;
  engine_report shown = reports_.front();
  for (const engine_report& report : reports_) {
    if (report.at <= shown_until)
      shown = report;
  }
  // An idle engine goes on telling the same load.
  if (!step_end_ && shown.at == reports_.back().at)
    shown.at = std::max(shown.at, shown_until);
  return shown;
}

}  // namespace wist::stand_ins
