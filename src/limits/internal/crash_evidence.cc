#include "limits/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace wist {
namespace {

// Outputs are remembered for one to two times this long.
constexpr seconds kOutputRetention{30};
constexpr std::size_t kMaxOutputs = 2048;

constexpr std::size_t kMaxCrashes = 128;
constexpr std::size_t kMaxRunsPerCrash = 64;

}  // namespace

void output_history::Add(suspect_digest suspect, timestamp at) {
  if (newer_.size() >= kMaxOutputs && !newer_.contains(suspect))
    Rotate(at);
  timestamp& last = newer_[suspect];
  last = std::max(last, at);
}

std::optional<timestamp> output_history::Last(suspect_digest suspect) const {
  for (const time_map* entries : {&newer_, &older_}) {
    const auto found = entries->find(suspect);
    if (found != entries->end())
      return found->second;
  }
  return std::nullopt;
}

void output_history::Expire(timestamp now) {
  if (now >= rotated_at_ + kOutputRetention)
    Rotate(now);
}

void output_history::Rotate(timestamp now) {
  rotated_at_ = now;
  older_ = std::exchange(newer_, {});
}

bool crash_evidence::AddCrash(const run_fingerprint& run,
                              const target_id& target,
                              timestamp at) {
  crash* known = FindCrash(run.request, target, at);
  if (!known) {
    if (crashes_.size() >= kMaxCrashes) {
      RemoveSuspects(crashes_.front());
      crashes_.erase(crashes_.begin());
    }
    const auto next = std::upper_bound(
        crashes_.begin(), crashes_.end(), at,
        [](timestamp time, const crash& entry) { return time < entry.at; });
    known = &*crashes_.insert(next, {target, at, {}});
  }
  if (known->runs.contains(run.request) ||
      known->runs.size() >= kMaxRunsPerCrash)
    return false;
  const suspect_set suspects = run.Suspects();
  for (const suspect_digest suspect : suspects)
    AddSuspect(suspect);
  known->runs[run.request] = suspects;
  return true;
}

void crash_evidence::AddSuspect(suspect_digest suspect) {
  const auto [entry, is_first] = suspects_.try_emplace(suspect);
  if (is_first)
    entry->second.last_output = outputs_.Last(suspect);
  ++entry->second.run_count;
}

void crash_evidence::RemoveSuspects(const crash& removed) {
  for (const auto& [request, suspects] : removed.runs) {
    for (const suspect_digest suspect : suspects) {
      const auto found = suspects_.find(suspect);
      if (--found->second.run_count == 0)
        suspects_.erase(found);
    }
  }
}

bool crash_evidence::HasSuspect(const crash& entry, suspect_digest suspect) {
  return std::any_of(
      entry.runs.begin(), entry.runs.end(),
      [&](const auto& run) { return run.second.contains(suspect); });
}

// A request that crashes one target again and again counts once.
crash_evidence::crash* crash_evidence::FindCrash(request_digest request,
                                                 const target_id& target,
                                                 timestamp at) {
  const auto found =
      std::find_if(crashes_.begin(), crashes_.end(), [&](const crash& entry) {
        const bool is_at_same_time = at < entry.at + same_crash_window_ &&
                                     entry.at < at + same_crash_window_;
        return entry.target == target &&
               (is_at_same_time || entry.runs.contains(request));
      });
  return found == crashes_.end() ? nullptr : &*found;
}

bool crash_evidence::AddOutput(suspect_digest suspect, timestamp at) {
  outputs_.Add(suspect, at);
  const auto found = suspects_.find(suspect);
  if (found == suspects_.end())
    return false;
  const bool clears_crash =
      std::any_of(crashes_.begin(), crashes_.end(), [&](const crash& entry) {
        return entry.at <= at && IsOpen(suspect, entry.at) &&
               HasSuspect(entry, suspect);
      });
  std::optional<timestamp>& last = found->second.last_output;
  last = last ? std::max(*last, at) : at;
  return clears_crash;
}

bool crash_evidence::IsSuspect(suspect_digest suspect) const {
  return suspects_.contains(suspect);
}

std::optional<timestamp> crash_evidence::LastOutput(
    suspect_digest suspect) const {
  const auto found = suspects_.find(suspect);
  return found == suspects_.end() ? outputs_.Last(suspect)
                                  : found->second.last_output;
}

// `suspect` is that of a recorded crash.
bool crash_evidence::IsOpen(suspect_digest suspect,
                            timestamp crashed_at) const {
  const auto& last = suspects_.at(suspect).last_output;
  return !last || *last < crashed_at;
}

crash_observations crash_evidence::Observe() const {
  crash_observations observations;
  for (const crash& entry : crashes_) {
    observed_crash observed{entry.at, {}};
    for (const auto& [request, suspects] : entry.runs) {
      observations.requests.insert(request);
      suspect_set open_suspects;
      for (const suspect_digest suspect : suspects) {
        if (IsOpen(suspect, entry.at))
          open_suspects.insert(suspect);
      }
      if (!open_suspects.empty())
        observed.runs.push_back(std::move(open_suspects));
    }
    if (!observed.runs.empty())
      observations.crashes.push_back(std::move(observed));
  }
  for (const auto& [suspect, state] : suspects_) {
    if (state.last_output)
      observations.proven.insert(suspect);
  }
  return observations;
}

std::vector<target_id> crash_evidence::CrashedTargets(
    suspect_digest suspect) const {
  std::vector<target_id> targets;
  for (const crash& entry : crashes_) {
    if (HasSuspect(entry, suspect) && IsOpen(suspect, entry.at))
      targets.push_back(entry.target);
  }
  return targets;
}

std::vector<crash_notice> crash_evidence::Notices(timestamp now) const {
  std::vector<crash_notice> notices;
  for (auto entry = crashes_.rbegin(); entry != crashes_.rend(); ++entry) {
    for (const auto& [request, suspects] : entry->runs) {
      crash_notice notice{request, entry->target, now - entry->at, {}};
      for (const suspect_digest suspect : suspects) {
        if (suspect != request)
          notice.prompt_parts.push_back(suspect);
      }
      notices.push_back(std::move(notice));
    }
  }
  return notices;
}

std::vector<crash_notice> crash_evidence::Outputs(timestamp now) const {
  std::vector<crash_notice> notices;
  for (const auto& [suspect, state] : suspects_) {
    if (state.last_output) {
      notices.push_back({suspect,
                         std::nullopt,
                         std::max(microseconds(0), now - *state.last_output),
                         {}});
    }
  }
  return notices;
}

bool crash_evidence::Expire(timestamp now) {
  outputs_.Expire(now);
  const auto first_kept = std::find_if(
      crashes_.begin(), crashes_.end(),
      [&](const crash& entry) { return now < entry.at + retention_; });
  if (first_kept == crashes_.begin())
    return false;
  std::for_each(crashes_.begin(), first_kept,
                [this](const crash& entry) { RemoveSuspects(entry); });
  crashes_.erase(crashes_.begin(), first_kept);
  return true;
}

}  // namespace wist
