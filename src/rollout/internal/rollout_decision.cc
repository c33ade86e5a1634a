#include <fmt/format.h>

#include <algorithm>

#include "rollout/request_validation.h"
#include "rollout/service_rollout.h"

namespace wist {
namespace {

// Part of `canary_share` that the canary uses: the number of requests that draw
// below it varies.
constexpr double kShareOfBound = 0.8;

// Part of `canary_slack` that may be planned with, for the same reason.
constexpr double kShareOfSlack = 0.5;

// A raised share uses this part of the exposure that is left. Little is kept
// for the shift, in which it would be used up before any report arrives.
constexpr double kShareOfBudget = 0.9;
constexpr double kMaxRaisedShare = 0.5;

// Tenths of the duration that the shift may last.
constexpr int kMaxShiftPart = 6;

// A raised share is written if it is larger than the one in effect by this
// factor.
constexpr double kMinRaise = 1.3;

// Time after which the rate of requests is known well enough to raise the
// share, and the age of reports that it allows for.
constexpr milliseconds kMinRateTime{2000};
constexpr double kReportAgeS = 1;
// Responses that the canary is to get for each one that a good verdict needs.
constexpr double kWantedResponses = 3;

double ToSeconds(microseconds span) {
  return static_cast<double>(span.count()) / 1e6;
}

}  // namespace

microseconds DurationOf(const rollout_request& request) {
  return microseconds(static_cast<std::int64_t>(
      std::clamp(request.duration_s, 0.0, kMaxRolloutDurationS) * 1e6));
}

timestamp service_rollout::Deadline() const {
  return running_->started_at + DurationOf(running_->request);
}

// The shift has to last until the reports of all instances show that the
// version keeps its behaviour and that no old runs are left.
timestamp service_rollout::ShiftTime(timestamp now) const {
  microseconds lead = settings_.max_shift_lead;
  if (running_->fleet.unfinished) {
    lead = std::clamp<microseconds>(
        settings_.min_shift + settings_.shift_margin +
            (now - running_->fleet.as_of),
        settings_.min_shift_lead, settings_.max_shift_lead);
  }
  return Deadline() -
         std::min(lead, kMaxShiftPart * DurationOf(running_->request) / 10);
}

double service_rollout::BaseShare() const {
  return kShareOfBound * settings_.canary_share;
}

bool service_rollout::HasBudget() const {
  const stratum_counts total = running_->judge.sums().Total();
  const double new_responses = total.new_version.responses;
  return new_responses < settings_.canary_share *
                                 (new_responses + total.old_version.responses) +
                             kShareOfSlack * settings_.canary_slack;
}

double service_rollout::CurrentShare() const {
  if (!status_ || !IsAboutRunning(*status_) || status_->share <= BaseShare() ||
      !running_->is_fleet_known || !HasBudget())
    return BaseShare();
  return std::min(status_->share, kMaxRaisedShare);
}

// Returns the share for which the exposure before the shift stays within the
// permitted one. Before the shift it is raised, so that a version that turns
// bad under load is found with less than the full traffic; earlier if there
// would be too few responses.
double service_rollout::RaisedShare(timestamp now) const {
  const double elapsed_s = ToSeconds(now - running_->started_at);
  const double share = CurrentShare();
  // Without the reports of all instances the rate of requests is not known.
  if (!running_->is_fleet_known || now < running_->started_at + kMinRateTime ||
      now < running_->observed_since + settings_.min_observation)
    return share;
  const stratum_counts total = running_->judge.sums().Total();
  const double new_responses = total.new_version.responses;
  const double responses = new_responses + total.old_version.responses;
  const double rate = std::max(responses / elapsed_s, 0.1);
  const double until_shift_s = std::max(ToSeconds(ShiftTime(now) - now), 0.5);
  const double until_deadline_s = std::max(ToSeconds(Deadline() - now), 0.0);
  const double budget =
      settings_.canary_share * (responses + rate * until_deadline_s) +
      kShareOfSlack * settings_.canary_slack - new_responses -
      share * rate * kReportAgeS;
  double wanted = kShareOfBudget * budget / (rate * until_shift_s);
  if (now < ShiftTime(now) - settings_.ramp_lead) {
    const double missing =
        kWantedResponses * settings_.judge.min_responses - new_responses;
    wanted = std::min(wanted, missing / (rate * until_shift_s));
  }
  return std::clamp(wanted, share, kMaxRaisedShare);
}

bool service_rollout::IsAboutRunning(const rollout_status& status) const {
  return running_ && status.target == running_->request.target &&
         status.request_revision >= running_->first_revision &&
         status.request_revision <= running_->revision;
}

bool service_rollout::IsGood() const {
  return !running_->bad && running_->has_target &&
         std::holds_alternative<good_verdict>(running_->judge.verdict());
}

bool service_rollout::MaySucceed(timestamp now) const {
  return IsGood() && running_->shifted_at &&
         now >= *running_->shifted_at + settings_.min_shift &&
         running_->fleet.as_of >= *running_->shifted_at + settings_.min_shift &&
         running_->fleet.unfinished == 0 && view_.unfinished_here == 0;
}

std::optional<rollout_status> service_rollout::DesiredStatus(
    timestamp now) const {
  if (running_)
    return DesiredOfRunning(now);
  if (status_ && status_->state == rollout_state::running && !request_) {
    rollout_status status = *status_;
    status.state = rollout_state::rolled_back;
    status.reason = "the request was removed";
    return status;
  }
  // The final status was removed or is not written.
  if (decided_ && request_ &&
      decided_->request_revision == request_->revision && status_ != decided_)
    return decided_;
  return std::nullopt;
}

std::optional<rollout_status> service_rollout::DesiredOfRunning(
    timestamp now) const {
  rollout_status status;
  status.target = running_->request.target;
  status.request_revision = running_->first_revision;
  status.started_at = running_->started_calendar;
  status.duration_s = running_->request.duration_s;
  status.old_versions = established_;
  status.share = BaseShare();
  const auto decide = [&](rollout_state state, std::string reason) {
    status.state = state;
    // Requests with the same content that were written until now are decided.
    status.request_revision = running_->revision;
    status.reason = std::move(reason);
    return status;
  };
  if (running_->bad)
    return decide(rollout_state::rolled_back, Describe(*running_->bad));
  if (!status_ || !IsAboutRunning(*status_))
    return status;
  status = *status_;
  // Without a good verdict at the deadline the old version is the safe choice.
  if (!IsGood() && now >= Deadline() &&
      now >= running_->observed_since + settings_.min_observation) {
    return decide(rollout_state::rolled_back,
                  Describe(bad_verdict{bad_reason::too_few_samples, 0}));
  }
  if (status_->stage == rollout_stage::shift) {
    if (MaySucceed(now))
      return decide(rollout_state::succeeded, "");
    return std::nullopt;
  }
  if (IsGood() && now >= ShiftTime(now)) {
    status.stage = rollout_stage::shift;
    return status;
  }
  const double share = RaisedShare(now);
  if (share < kMinRaise * std::max(status_->share, BaseShare()))
    return std::nullopt;
  status.share = share;
  return status;
}

std::string service_rollout::Describe(const bad_verdict& verdict) const {
  const stratum_counts total = running_->judge.sums().Total();
  const auto count = [](const response_counts& counts) {
    return fmt::format("{} of {} bad", counts.bad, counts.responses);
  };
  return fmt::format("{}; new: {}, old: {}", ToString(verdict.reason),
                     count(total.new_version), count(total.old_version));
}

std::optional<status_write> service_rollout::TakeWrite(timestamp now) {
  if (next_write_at_ && now < *next_write_at_)
    return std::nullopt;
  const std::optional<rollout_status> desired = DesiredStatus(now);
  if (!desired)
    return std::nullopt;
  next_write_at_ = now + settings_.write_interval;
  return status_write{service_, *desired, request_ ? request_->revision : 0,
                      status_revision_};
}

}  // namespace wist
