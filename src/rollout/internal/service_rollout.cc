#include "rollout/service_rollout.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "rollout/request_validation.h"

namespace wist {
namespace {

// Age up to which the reports show how many requests the fleet receives.
constexpr milliseconds kMaxReportAge{3000};

std::set<version_name> VersionsOf(const std::vector<rollout_target>& targets) {
  std::set<version_name> versions;
  for (const rollout_target& target : targets)
    versions.insert(target.version);
  return versions;
}

// Versions other than `target`.
std::set<version_name> Without(std::set<version_name> versions,
                               const version_name& target) {
  versions.erase(target);
  return versions;
}

}  // namespace

void service_rollout::OnRequest(const decoded_rollout_request& request,
                                std::int64_t revision,
                                const rollout_time& time) {
  if (request_ && revision <= request_->revision)
    return;
  request_ = stored_request{request, revision, time};
  next_write_at_.reset();
}

void service_rollout::OnRequestRemoved() {
  request_.reset();
  next_write_at_.reset();
}

void service_rollout::OnStatus(const std::optional<rollout_status>& status,
                               std::int64_t revision) {
  if (revision != 0 && revision <= status_revision_)
    return;
  status_ = status;
  status_revision_ = revision;
  next_write_at_.reset();
}

void service_rollout::OnResponse(const sample_stratum& stratum,
                                 const version_name& version,
                                 const response_sample& sample) {
  if (!running_)
    return;
  running_->own.Add(stratum,
                    version == running_->request.target
                        ? version_side::new_version
                        : version_side::old_version,
                    sample);
}

void service_rollout::SetFleetReport(const rollout_id& id,
                                     fleet_report report) {
  if (running_ && id.request_revision == running_->first_revision)
    running_->fleet = std::move(report);
}

void service_rollout::Advance(bool is_configured,
                              const std::vector<rollout_target>& targets,
                              const rollout_time& time,
                              std::vector<service_event>& events) {
  SettleStatus(time);
  SettleRequest(is_configured, targets, time, events);
  SetEstablished(targets, time.now);
  Judge(targets, time.now, events);
  UpdateView(targets, events);
}

void service_rollout::SettleStatus(const rollout_time& time) {
  if (!status_)
    return;
  if (status_->state != rollout_state::running) {
    if (running_ && status_->request_revision < running_->first_revision)
      return;
    decided_ = status_;
    running_.reset();
    return;
  }
  const bool is_decided =
      decided_ && decided_->request_revision >= status_->request_revision;
  if (!running_ && request_ && !is_decided)
    Resume(time);
  if (!running_ || status_->target != running_->request.target ||
      status_->duration_s != running_->request.duration_s ||
      status_->request_revision > running_->revision)
    return;
  // The same request was written before this instance first saw it.
  running_->first_revision =
      std::min(running_->first_revision, status_->request_revision);
  if (status_->stage == rollout_stage::shift && !running_->shifted_at)
    running_->shifted_at = time.now;
}

// Continues a roll-out that began before this instance started.
void service_rollout::Resume(const rollout_time& time) {
  const rollout_request request{service_, status_->target, status_->duration_s};
  Start(request, status_->request_revision, time);
  established_ = status_->old_versions;
  // A wall clock that is ahead of the decider's must not end the roll-out at
  // once, one that is behind must not prolong it.
  const auto elapsed =
      std::clamp<microseconds>(time.calendar - status_->started_at,
                               microseconds{0}, DurationOf(request));
  running_->started_at = time.now - elapsed;
  running_->started_calendar = status_->started_at;
}

void service_rollout::Start(const rollout_request& request,
                            std::int64_t revision,
                            const rollout_time& time) {
  running_rollout started{.request = request,
                          .first_revision = revision,
                          .revision = revision,
                          .started_at = time.now,
                          .started_calendar = time.calendar,
                          .observed_since = time.now,
                          .judge = rollout_judge(settings_.judge)};
  // The verdict about a version outlives a new request for it that replaces the
  // one under which it was reached.
  if (running_ && running_->request.target == request.target)
    started.bad = running_->bad;
  running_.emplace(std::move(started));
}

void service_rollout::SettleRequest(bool is_configured,
                                    const std::vector<rollout_target>& targets,
                                    const rollout_time& time,
                                    std::vector<service_event>& events) {
  if (!request_) {
    if (running_) {
      events.push_back({running_->revision, request_ended{service_, false}});
      running_.reset();
    }
    return;
  }
  const std::int64_t revision = request_->revision;
  if (request_->is_settled)
    return;
  if ((decided_ && decided_->request_revision >= revision) ||
      (running_ && running_->revision == revision)) {
    request_->is_settled = true;
    return;
  }
  const auto* content = std::get_if<rollout_request>(&request_->content);
  if (running_ && content && *content == running_->request) {
    running_->revision = revision;
    request_->is_settled = true;
    return;
  }
  const std::optional<invalid_request> error =
      FindRequestError(service_, request_->content, is_configured, targets,
                       running_ ? std::set<version_name>{} : established_);
  if (!error) {
    if (running_)
      events.push_back({running_->revision, request_ended{service_, true}});
    Start(*content, revision, request_->seen_at);
    running_->observed_since = time.now;
    established_ =
        Without(established_.empty() ? VersionsOf(targets) : established_,
                content->target);
    request_->is_settled = true;
    events.push_back({revision, request_accepted{*content}});
    return;
  }
  const bool is_permanent = !MayBecomeValid(error->error);
  if (!request_->is_rejected &&
      (is_permanent ||
       time.now >= request_->seen_at.now + settings_.settling_time)) {
    request_->is_rejected = true;
    events.push_back({revision, request_rejected{service_, *error}});
  }
  request_->is_settled =
      is_permanent ||
      time.now >= request_->seen_at.now +
                      std::max<microseconds>(settings_.settling_time,
                                             DurationOf(*content));
}

// Finds the versions that serve the service apart from roll-outs. Without a
// status it is the version of the target that started first.
void service_rollout::SetEstablished(const std::vector<rollout_target>& targets,
                                     timestamp now) {
  if (running_) {
    if (established_.empty())
      established_ = Without(VersionsOf(targets), running_->request.target);
    return;
  }
  if (decided_) {
    if (decided_->state == rollout_state::succeeded)
      established_ = {decided_->target};
    else if (!decided_->old_versions.empty())
      established_ = decided_->old_versions;
    else if (established_.empty())
      established_ = Without(VersionsOf(targets), decided_->target);
    return;
  }
  if (status_ && !status_->old_versions.empty()) {  // Its request was removed.
    established_ = status_->old_versions;
    return;
  }
  // The registrations may arrive one after another at first.
  if (targets.empty() ||
      (established_deadline_ && now > *established_deadline_))
    return;
  if (!established_deadline_)
    established_deadline_ = now + settings_.settling_time;
  const auto first = std::min_element(
      targets.begin(), targets.end(),
      [](const rollout_target& a, const rollout_target& b) {
        return std::tie(a.started_at, a.id) < std::tie(b.started_at, b.id);
      });
  established_ = {first->version};
}

void service_rollout::Judge(const std::vector<rollout_target>& targets,
                            timestamp now,
                            std::vector<service_event>& events) {
  if (!running_)
    return;
  running_->has_target = std::any_of(
      targets.begin(), targets.end(), [this](const rollout_target& target) {
        return target.version == running_->request.target &&
               target.accepts_work;
      });
  running_->is_fleet_known = running_->fleet.unfinished &&
                             now <= running_->fleet.as_of + kMaxReportAge;
  version_samples sums = running_->own;
  sums.Merge(running_->fleet.samples);
  running_->judge.Update(sums, now);
  if (running_->bad)
    return;
  if (const auto* bad = std::get_if<bad_verdict>(&running_->judge.verdict()))
    running_->bad = *bad;
  else if (running_->fleet.found_bad)
    running_->bad = bad_verdict{bad_reason::found_by_peer, 0};
  if (running_->bad) {
    events.push_back({running_->revision,
                      verdict_reached{service_, *running_->bad, sums.Total()}});
  }
}

version_rule service_rollout::CurrentRule() const {
  version_rule rule;
  if (running_) {
    rule.target = running_->request.target;
    // Requests without a target produce no samples, so a version that has lost
    // its targets is not found bad.
    if (running_->bad || (running_->shifted_at && !running_->has_target)) {
      rule.phase = rollout_phase::only_old;
    } else if (running_->shifted_at) {
      rule.phase = rollout_phase::only_new;
    } else {
      rule.phase = rollout_phase::canary;
      rule.share = CurrentShare();
    }
  } else if (decided_) {
    rule.target = decided_->target;
    rule.phase = decided_->state == rollout_state::succeeded
                     ? rollout_phase::only_new
                     : rollout_phase::only_old;
  } else if (status_) {  // Its request was removed.
    rule.target = status_->target;
    rule.phase = rollout_phase::only_old;
  }
  return rule;
}

void service_rollout::UpdateView(const std::vector<rollout_target>& targets,
                                 std::vector<service_event>& events) {
  version_rule rule = CurrentRule();
  const auto is_established = [this](const rollout_target& target) {
    return established_.contains(target.version);
  };
  // Targets may be replaced by those of another version without a roll-out
  // request. The service is not left without targets then.
  const bool is_replaced = std::none_of(
      targets.begin(), targets.end(), [&](const rollout_target& target) {
        return is_established(target) &&
               (target.accepts_work || target.evacuated);
      });
  if (is_replaced && !running_ && rule.phase == rollout_phase::only_new)
    rule = {};
  for (const rollout_target& target : targets) {
    const bool is_new = target.version == rule.target &&
                        rule.phase != rollout_phase::none &&
                        rule.phase != rollout_phase::only_old;
    const bool is_withheld = is_replaced && !running_
                                 ? target.version == rule.target
                                 : !is_established(target);
    if (!is_new && is_withheld)
      rule.withheld.insert(target.version);
  }
  if (rule.phase != view_.rule.phase || rule.share != view_.rule.share ||
      rule.target != view_.rule.target)
    events.push_back(
        {running_ ? running_->revision : 0, phase_changed{service_, rule}});
  view_ = {};
  view_.rule = rule;
  if (rule.phase == rollout_phase::only_new)
    view_.move = runs_to_move::on_old;
  else if (rule.phase == rollout_phase::only_old)
    view_.move = runs_to_move::on_new;
  if (!running_)
    return;
  view_.active = rollout_id{service_, running_->first_revision};
  view_.bad = running_->bad;
  view_.unfinished_here = rule.phase == rollout_phase::only_new ? 0 : 1;
  for (const auto& [version, count] : open_runs_) {
    if (version != rule.target)
      view_.unfinished_here += count;
  }
}

}  // namespace wist
