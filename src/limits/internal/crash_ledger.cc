#include "limits/crash_ledger.h"

#include <algorithm>
#include <utility>

namespace wist {
namespace {

// Time for which a crash or an output is reported to peers. Reports are sent at
// least about once a second, and each may be lost.
constexpr seconds kNoticeRetention{4};

constexpr std::size_t kMaxFreshNotices = 256;
constexpr std::size_t kMaxQuarantines = 64;

// An output this long before a quarantine is read from the store shows that the
// quarantine is out of date.
constexpr seconds kRecentOutput{5};

bool HasAll(const suspect_set& suspects, const suspect_set& wanted) {
  return std::includes(suspects.begin(), suspects.end(), wanted.begin(),
                       wanted.end());
}

}  // namespace

crash_ledger::crash_ledger(const crash_ledger_settings& settings)
    : settings_(settings),
      evidence_(settings.crash_retention, settings.same_crash_window) {}

void crash_ledger::SubscribeToLifts(lift_handler handler) {
  on_lift_ = std::move(handler);
}

bool crash_ledger::OnCrash(const run_fingerprint& run,
                           const target_id& target,
                           timestamp now) {
  return RecordCrash(run, target, now, now);
}

void crash_ledger::OnOutput(const run_fingerprint& run, timestamp now) {
  for (const prompt_part_digest part : run.prompt_parts)
    RecordOutput(part, now, now, /*observed_here=*/true);
}

void crash_ledger::OnResponse(const run_fingerprint& run, timestamp now) {
  OnOutput(run, now);
  // Without a crash nothing is known of the request that could be cleared.
  if (evidence_.IsSuspect(run.request) || IsQuarantined(run.request))
    RecordOutput(run.request, now, now, /*observed_here=*/true);
}

void crash_ledger::OnNotice(const crash_notice& notice, timestamp now) {
  if (notice.age >= settings_.crash_retention)
    return;
  const timestamp at = now - notice.age;
  if (notice.target)
    RecordCrash({notice.subject, notice.prompt_parts}, *notice.target, at, now);
  else
    RecordOutput(notice.subject, at, now, /*observed_here=*/false);
}

bool crash_ledger::RecordCrash(const run_fingerprint& run,
                               const target_id& target,
                               timestamp at,
                               timestamp now) {
  if (!evidence_.AddCrash(run, target, at))
    return false;
  has_new_evidence_ = true;
  AddFreshNotice({run.request, target, now - at, run.prompt_parts}, now);
  // Peers may not know that runs with a part have produced output.
  for (const prompt_part_digest part : run.prompt_parts) {
    if (const auto last = evidence_.LastOutput(part))
      AddFreshNotice({part, std::nullopt, now - *last, {}}, now);
  }
  return true;
}

void crash_ledger::RecordOutput(suspect_digest suspect,
                                timestamp at,
                                timestamp now,
                                bool observed_here) {
  const bool was_proven = evidence_.LastOutput(suspect).has_value();
  const bool clears_crash = evidence_.AddOutput(suspect, at);
  const bool narrows = RemoveFromQuarantines(suspect, observed_here);
  const bool proves = !was_proven && !evidence_.CrashedTargets(suspect).empty();
  if (clears_crash || narrows || proves)
    AddFreshNotice({suspect, std::nullopt, now - at, {}}, now);
  has_new_evidence_ = has_new_evidence_ || clears_crash;
}

bool crash_ledger::RemoveFromQuarantines(suspect_digest suspect,
                                         bool observed_here) {
  std::vector<quarantine> narrowed;
  for (auto entry = quarantines_.begin(); entry != quarantines_.end();) {
    if (!entry->second.suspects.contains(suspect)) {
      ++entry;
      continue;
    }
    narrowed.push_back(entry->second);
    entry = quarantines_.erase(entry);
  }
  for (quarantine& earlier : narrowed) {
    suspect_set rest = earlier.suspects;
    rest.erase(suspect);
    if (!rest.empty())
      StartQuarantine(rest, earlier.deadline);
    else if (observed_here)
      on_lift_(earlier);
  }
  return !narrowed.empty();
}

void crash_ledger::AddFreshNotice(crash_notice notice, timestamp now) {
  const auto known =
      std::find_if(fresh_notices_.begin(), fresh_notices_.end(),
                   [&](const fresh_notice& held) {
                     return held.notice.subject == notice.subject &&
                            held.notice.target == notice.target;
                   });
  if (known != fresh_notices_.end())
    fresh_notices_.erase(known);
  else if (fresh_notices_.size() >= kMaxFreshNotices)
    fresh_notices_.erase(fresh_notices_.begin());
  fresh_notices_.push_back({std::move(notice), now, ++last_notice_number_});
}

void crash_ledger::AttributeNewCrashes() {
  if (!std::exchange(has_new_evidence_, false))
    return;
  const crash_observations observations = evidence_.Observe();
  const auto causes = AttributeCrashes(observations, settings_.attribution);
  for (const suspect_set& cause : causes) {
    timestamp last_crash{};
    for (const observed_crash& crash : observations.crashes) {
      for (const suspect_set& run : crash.runs) {
        if (HasAll(run, cause))
          last_crash = crash.at;
      }
    }
    StartQuarantine(cause, last_crash + settings_.quarantine_retention);
  }
}

// A quarantine that refuses all that the new one would is extended. One that
// refuses less is replaced.
void crash_ledger::StartQuarantine(const suspect_set& suspects,
                                   timestamp deadline) {
  for (auto& [name, active] : quarantines_) {
    if (HasAll(suspects, active.suspects)) {
      active.deadline = std::max(active.deadline, deadline);
      return;
    }
  }
  std::erase_if(quarantines_, [&](const auto& entry) {
    return HasAll(entry.second.suspects, suspects);
  });
  if (quarantines_.size() >= kMaxQuarantines)
    return;
  const quarantine started{suspects, deadline};
  quarantines_[started.Name()] = started;
}

std::optional<quarantine> crash_ledger::FindQuarantine(
    const run_fingerprint& run,
    timestamp now) {
  AttributeNewCrashes();
  if (quarantines_.empty())
    return std::nullopt;
  const suspect_set suspects = run.Suspects();
  for (const auto& [name, active] : quarantines_) {
    if (now < active.deadline && HasAll(suspects, active.suspects))
      return active;
  }
  return std::nullopt;
}

const std::map<std::string, quarantine>& crash_ledger::Quarantines() {
  AttributeNewCrashes();
  return quarantines_;
}

bool crash_ledger::IsQuarantined(suspect_digest suspect) const {
  return std::any_of(quarantines_.begin(), quarantines_.end(),
                     [&](const auto& entry) {
                       return entry.second.suspects.contains(suspect);
                     });
}

bool crash_ledger::IsSuspect(const run_fingerprint& run) const {
  return !evidence_.IsEmpty() &&
         std::any_of(run.prompt_parts.begin(), run.prompt_parts.end(),
                     [&](prompt_part_digest part) {
                       return !evidence_.LastOutput(part) &&
                              !evidence_.CrashedTargets(part).empty();
                     });
}

// With the crashes that started a quarantine, runs in progress are still
// awaited: their output lifts it if it is wrong.
bool crash_ledger::IsConfirmed(const quarantine& active) const {
  const crash_observations observations = evidence_.Observe();
  const auto count =
      std::count_if(observations.crashes.begin(), observations.crashes.end(),
                    [&](const observed_crash& crash) {
                      return std::any_of(crash.runs.begin(), crash.runs.end(),
                                         [&](const suspect_set& run) {
                                           return HasAll(run, active.suspects);
                                         });
                    });
  return static_cast<std::size_t>(count) > settings_.attribution.min_crashes;
}

void crash_ledger::OnRefusal(const quarantine& refusing, timestamp now) {
  if (settings_.refusals_extend_quarantine)
    ExtendTo(refusing.Name(), now + settings_.quarantine_retention);
}

void crash_ledger::Restore(const suspect_set& suspects, timestamp now) {
  suspect_set rest;
  for (const suspect_digest suspect : suspects) {
    const auto last = evidence_.LastOutput(suspect);
    if (!last || now >= *last + kRecentOutput)
      rest.insert(suspect);
  }
  if (!rest.empty())
    StartQuarantine(rest, now + settings_.quarantine_retention);
}

void crash_ledger::Lift(const suspect_set& suspects) {
  quarantines_.erase(quarantine{suspects, {}}.Name());
}

void crash_ledger::ExtendTo(const std::string& name, timestamp deadline) {
  const auto found = quarantines_.find(name);
  if (found != quarantines_.end())
    found->second.deadline = std::max(found->second.deadline, deadline);
}

std::vector<crash_notice> crash_ledger::RecentNotices(
    timestamp now,
    std::uint64_t after) const {
  std::vector<crash_notice> notices;
  for (const fresh_notice& fresh : fresh_notices_) {
    if (fresh.number <= after || now >= fresh.learned_at + kNoticeRetention)
      continue;
    notices.push_back(fresh.notice);
    notices.back().age += now - fresh.learned_at;
  }
  return notices;
}

void crash_ledger::Expire(timestamp now) {
  if (evidence_.Expire(now))
    has_new_evidence_ = true;
  std::erase_if(quarantines_, [&](const auto& entry) {
    return now >= entry.second.deadline;
  });
  std::erase_if(fresh_notices_, [&](const fresh_notice& notice) {
    return now >= notice.learned_at + kNoticeRetention;
  });
}

}  // namespace wist
