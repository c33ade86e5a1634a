#include "admission/internal/target_load_tracker.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

constexpr std::size_t kMaxOwnLoadSamples = 256;
constexpr std::size_t kMaxPrefixes = 64;

// A target is suspected to have stalled if no token of any generation arrives
// for longer than both kMinSuspectGap and kSuspectGapTenths / 10 times the mean
// gap.
constexpr milliseconds kMinSuspectGap{40};
constexpr int kSuspectGapTenths = 25;
constexpr double kGapEwmaWeight = 0.05;

// Interval between tallies for a target for which this instance has no work.
constexpr milliseconds kIdleTallyInterval{1000};
constexpr double kMinDemand = 0.01;

// Fraction of an interval's demand that is carried over to the next one.
constexpr double kDemandCarryOver = 0.5;

}  // namespace

memory_forecast ForecastOf(const length_model& lengths,
                           std::int64_t prompt_tokens,
                           std::int64_t output_tokens) {
  memory_forecast forecast;
  for (std::size_t i = 0; i < kForecastTokens.size(); ++i) {
    const double survival = lengths.Survival(output_tokens, kForecastTokens[i]);
    const auto size =
        static_cast<double>(prompt_tokens + output_tokens + kForecastTokens[i]);
    forecast.mean[i] = size * survival;
    forecast.variance[i] = size * size * survival * (1 - survival);
  }
  return forecast;
}

void target_load_tracker::OnReport(const target_report& report) {
  if (report_ && report.taken_at <= report_->taken_at)
    return;
  report_ = report;
}

void target_load_tracker::OnGrant(const quota_grant& grant) {
  grant_ = grant;
}

bool target_load_tracker::IsUsable(timestamp now,
                                   milliseconds report_validity) const {
  if (!report_ || now >= report_->taken_at + report_validity)
    return false;
  return !suspect_since_ || report_->taken_at > *suspect_since_;
}

void target_load_tracker::OnToken(timestamp now) {
  if (last_token_at_) {
    // Gaps are capped so that a stall does not raise the mean, which would
    // hide the next one.
    const microseconds gap =
        std::min(now - *last_token_at_, 2 * mean_token_gap_);
    mean_token_gap_ += microseconds(static_cast<std::int64_t>(
        kGapEwmaWeight * static_cast<double>((gap - mean_token_gap_).count())));
  }
  last_token_at_ = now;
}

void target_load_tracker::CheckTokenPace(timestamp now) {
  if (own_running_ == 0) {
    last_token_at_.reset();
    return;
  }
  if (!last_token_at_)
    return;
  const microseconds limit = std::max<microseconds>(
      kMinSuspectGap, mean_token_gap_ * kSuspectGapTenths / 10);
  if (now > *last_token_at_ + limit)
    suspect_since_ = *last_token_at_ + limit;
}

void target_load_tracker::AddOwnForecast(const memory_forecast& forecast,
                                         timestamp now) {
  own_forecast_ += forecast;
  ++own_running_;
  forecast_added_since_tally_ += forecast;
  ++requests_added_since_tally_;
  interval_demand_ += 1;
  RecordOwnLoad(now);
}

void target_load_tracker::ReplaceOwnForecast(const memory_forecast& before,
                                             const memory_forecast& after) {
  own_forecast_ -= before;
  own_forecast_ += after;
}

void target_load_tracker::RemoveOwnForecast(const memory_forecast& forecast,
                                            timestamp now) {
  own_forecast_ -= forecast;
  if (--own_running_ == 0)
    own_forecast_ = {};  // Clears accumulated rounding errors.
  RecordOwnLoad(now);
}

void target_load_tracker::RecordOwnLoad(timestamp now) {
  own_load_history_.push_back({now, own_running_, own_forecast_.mean[0]});
  if (own_load_history_.size() > kMaxOwnLoadSamples)
    own_load_history_.pop_front();
}

target_load_tracker::own_load_sample target_load_tracker::OwnLoadAt(
    timestamp at) const {
  own_load_sample sample;
  for (const own_load_sample& past : own_load_history_) {
    if (past.at > at)
      break;
    sample = past;
  }
  return sample;
}

// Assumes that since the last tally the other instances have added work at the
// same rate as this one, in proportion to their shares.
memory_forecast target_load_tracker::OthersForecastFromGrant() const {
  memory_forecast others = grant_->others_forecast;
  const double scale = 1 / grant_->share - 1;
  for (std::size_t i = 0; i < others.mean.size(); ++i) {
    others.mean[i] += scale * forecast_added_since_tally_.mean[i];
    others.variance[i] += scale * forecast_added_since_tally_.variance[i];
  }
  return others;
}

// Used while no grant is valid. Takes the reported load minus this instance's
// own load at the time of the report, and assumes that each other instance has
// since added as much as this one.
memory_forecast target_load_tracker::OthersForecastFromReport(
    const length_model& lengths,
    int instance_count) const {
  const own_load_sample own_at_report = OwnLoadAt(report_->taken_at);
  const double count =
      std::max(0.0, static_cast<double>(report_->running + report_->waiting -
                                        own_at_report.running));
  const double memory_of_others = std::max(
      0.0, static_cast<double>(report_->memory_used) - own_at_report.memory);
  memory_forecast others;
  if (count > 0) {
    const auto typical_output =
        static_cast<std::int64_t>(lengths.MeanLength() / 2);
    const auto prompt_tokens = std::max<std::int64_t>(
        0,
        static_cast<std::int64_t>(memory_of_others / count) - typical_output);
    const memory_forecast typical =
        ForecastOf(lengths, prompt_tokens, typical_output);
    for (std::size_t i = 0; i < others.mean.size(); ++i) {
      others.mean[i] = count * typical.mean[i];
      others.variance[i] = count * typical.variance[i];
    }
  }
  const double added =
      std::max(0.0, static_cast<double>(own_running_ - own_at_report.running));
  const double scale = requests_added_since_tally_ > 0
                           ? added / requests_added_since_tally_
                           : 0.0;
  for (std::size_t i = 0; i < others.mean.size(); ++i) {
    others.mean[i] +=
        scale * (instance_count - 1) * forecast_added_since_tally_.mean[i];
    others.variance[i] +=
        scale * (instance_count - 1) * forecast_added_since_tally_.variance[i];
  }
  return others;
}

double target_load_tracker::PlannedShare(const memory_forecast& added,
                                         const length_model& lengths,
                                         const admission_settings& settings,
                                         int instance_count,
                                         timestamp now) const {
  memory_forecast total =
      HasValidGrant(now) ? OthersForecastFromGrant()
                         : OthersForecastFromReport(lengths, instance_count);
  total += own_forecast_;
  total += added;
  double peak = 0;
  for (std::size_t i = 0; i < total.mean.size(); ++i) {
    const double deviation = std::sqrt(std::max(0.0, total.variance[i]));
    peak = std::max(peak, total.mean[i] + settings.risk_z_score * deviation);
  }
  const double usable = static_cast<double>(spec_.memory_tokens) *
                        (1 - settings.reserved_memory_fraction);
  return peak / usable;
}

double target_load_tracker::EstimateRunning(int instance_count,
                                            timestamp now) const {
  if (HasValidGrant(now)) {
    return own_running_ + grant_->others_running +
           (1 / grant_->share - 1) * requests_added_since_tally_;
  }
  if (!report_)
    return own_running_;
  const own_load_sample own_at_report = OwnLoadAt(report_->taken_at);
  const int added = std::max(0, own_running_ - own_at_report.running);
  return report_->running + report_->waiting + added * instance_count;
}

bool target_load_tracker::IsTallyDue(double queued_demand,
                                     timestamp now) const {
  return own_running_ > 0 || interval_demand_ > kMinDemand ||
         queued_demand > 0 || now >= tallied_at_ + kIdleTallyInterval;
}

target_tally target_load_tracker::TakeTally(double queued_demand,
                                            timestamp now) {
  tallied_at_ = now;
  target_tally tally;
  tally.target = spec_.id;
  tally.running = own_running_;
  tally.forecast = own_forecast_;
  tally.demand = interval_demand_ + queued_demand;
  interval_demand_ *= kDemandCarryOver;
  forecast_added_since_tally_ = {};
  requests_added_since_tally_ = 0;
  return tally;
}

void target_load_tracker::RecordPrefix(const std::string& prefix,
                                       timestamp cached_until) {
  cached_until_by_prefix_[prefix] = cached_until;
  if (cached_until_by_prefix_.size() <= kMaxPrefixes)
    return;
  const auto oldest = std::min_element(
      cached_until_by_prefix_.begin(), cached_until_by_prefix_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  cached_until_by_prefix_.erase(oldest);
}

bool target_load_tracker::IsPrefixCached(const std::string& prefix,
                                         timestamp now) const {
  const auto found = cached_until_by_prefix_.find(prefix);
  return found != cached_until_by_prefix_.end() && now < found->second;
}

}  // namespace wist
