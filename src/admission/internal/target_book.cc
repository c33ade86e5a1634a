#include "admission/internal/target_book.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

constexpr std::size_t kHistoryLength = 256;
constexpr std::size_t kPrefixesKept = 64;

// A gap between tokens of all generations together that is longer than both
// of these raises doubt.
constexpr milliseconds kShortestDoubtfulGap{40};
constexpr int kDoubtfulGapTenths = 25;
constexpr double kGapWeight = 0.05;

// An instance that has nothing on a target tells so this often.
constexpr milliseconds kIdleTallyInterval{1000};
constexpr double kLeastDemand = 0.01;

// Part of the last interval's demand that is carried into the next.
constexpr double kDemandMemory = 0.5;

}  // namespace

memory_forecast ForecastOf(const length_model& lengths,
                           std::int64_t prompt,
                           std::int64_t out) {
  memory_forecast forecast;
  for (std::size_t i = 0; i < kForecastTokens.size(); ++i) {
    const double alive = lengths.Survival(out, kForecastTokens[i]);
    const auto size = static_cast<double>(prompt + out + kForecastTokens[i]);
    forecast.mean[i] = size * alive;
    forecast.variance[i] = size * size * alive * (1 - alive);
  }
  return forecast;
}

void target_book::OnReport(const target_report& report) {
  if (report_ && report.taken_at <= report_->taken_at)
    return;
  report_ = report;
}

void target_book::OnGrant(const quota_grant& grant) {
  grant_ = grant;
}

bool target_book::Usable(timestamp now, milliseconds report_validity) const {
  if (!report_ || now >= report_->taken_at + report_validity)
    return false;
  return !doubt_since_ || report_->taken_at > *doubt_since_;
}

void target_book::OnToken(timestamp now) {
  if (last_token_at_) {
    // Long gaps are left out, so that a slow target does not become usual.
    const microseconds gap = std::min(now - *last_token_at_, 2 * usual_gap_);
    usual_gap_ += microseconds(static_cast<std::int64_t>(
        kGapWeight * static_cast<double>((gap - usual_gap_).count())));
  }
  last_token_at_ = now;
}

void target_book::WatchPace(timestamp now) {
  if (own_running_ == 0) {
    last_token_at_.reset();
    return;
  }
  if (!last_token_at_)
    return;
  const microseconds limit = std::max<microseconds>(
      kShortestDoubtfulGap, usual_gap_ * kDoubtfulGapTenths / 10);
  if (now > *last_token_at_ + limit)
    doubt_since_ = *last_token_at_ + limit;
}

void target_book::AddOwn(const memory_forecast& forecast, timestamp now) {
  own_ += forecast;
  ++own_running_;
  added_since_tally_ += forecast;
  ++added_count_since_tally_;
  demand_ += 1;
  RememberOwn(now);
}

void target_book::ReplaceOwn(const memory_forecast& before,
                             const memory_forecast& after) {
  own_ -= before;
  own_ += after;
}

void target_book::RemoveOwn(const memory_forecast& forecast, timestamp now) {
  own_ -= forecast;
  if (--own_running_ == 0)
    own_ = {};  // Drops what rounding has left.
  RememberOwn(now);
}

void target_book::RememberOwn(timestamp now) {
  own_history_.push_back({now, own_running_, own_.mean[0]});
  if (own_history_.size() > kHistoryLength)
    own_history_.pop_front();
}

target_book::own_sample target_book::OwnAt(timestamp at) const {
  own_sample sample;
  for (const own_sample& past : own_history_) {
    if (past.at > at)
      break;
    sample = past;
  }
  return sample;
}

// The others are taken to add in proportion to their shares what this instance
// added since the exchange.
memory_forecast target_book::OthersFromGrant() const {
  memory_forecast others = grant_->others;
  const double scale = 1 / grant_->share - 1;
  for (std::size_t i = 0; i < others.mean.size(); ++i) {
    others.mean[i] += scale * added_since_tally_.mean[i];
    others.variance[i] += scale * added_since_tally_.variance[i];
  }
  return others;
}

// Without a grant: what the report shows beyond this instance's own work at
// that time, plus the same for each other instance as was added here since.
memory_forecast target_book::OthersFromReport(const length_model& lengths,
                                              int instance_count) const {
  const own_sample then = OwnAt(report_->taken_at);
  const double count = std::max(
      0.0,
      static_cast<double>(report_->running + report_->waiting - then.running));
  const double held =
      std::max(0.0, static_cast<double>(report_->memory_used) - then.memory);
  memory_forecast others;
  if (count > 0) {
    const auto typical_out =
        static_cast<std::int64_t>(lengths.MeanLength() / 2);
    const auto prompt = std::max<std::int64_t>(
        0, static_cast<std::int64_t>(held / count) - typical_out);
    const memory_forecast typical = ForecastOf(lengths, prompt, typical_out);
    for (std::size_t i = 0; i < others.mean.size(); ++i) {
      others.mean[i] = count * typical.mean[i];
      others.variance[i] = count * typical.variance[i];
    }
  }
  const double added =
      std::max(0.0, static_cast<double>(own_running_ - then.running));
  const double scale =
      added_count_since_tally_ > 0 ? added / added_count_since_tally_ : 0.0;
  for (std::size_t i = 0; i < others.mean.size(); ++i) {
    others.mean[i] += scale * (instance_count - 1) * added_since_tally_.mean[i];
    others.variance[i] +=
        scale * (instance_count - 1) * added_since_tally_.variance[i];
  }
  return others;
}

double target_book::PlannedShare(const memory_forecast& added,
                                 const length_model& lengths,
                                 const admission_settings& settings,
                                 int instance_count,
                                 timestamp now) const {
  memory_forecast total = Granted(now)
                              ? OthersFromGrant()
                              : OthersFromReport(lengths, instance_count);
  total += own_;
  total += added;
  double worst = 0;
  for (std::size_t i = 0; i < total.mean.size(); ++i) {
    const double deviation = std::sqrt(std::max(0.0, total.variance[i]));
    worst = std::max(worst, total.mean[i] + settings.risk_deviate * deviation);
  }
  const double usable =
      static_cast<double>(spec_.memory_tokens) * (1 - settings.memory_reserve);
  return worst / usable;
}

double target_book::RunningEstimate(int instance_count, timestamp now) const {
  if (Granted(now)) {
    return own_running_ + grant_->others_running +
           (1 / grant_->share - 1) * added_count_since_tally_;
  }
  if (!report_)
    return own_running_;
  const own_sample then = OwnAt(report_->taken_at);
  const int added = std::max(0, own_running_ - then.running);
  return report_->running + report_->waiting + added * instance_count;
}

bool target_book::WantsTally(double queued_demand, timestamp now) const {
  return own_running_ > 0 || demand_ > kLeastDemand || queued_demand > 0 ||
         now >= tallied_at_ + kIdleTallyInterval;
}

target_tally target_book::Tally(double queued_demand, timestamp now) {
  tallied_at_ = now;
  target_tally tally;
  tally.target = spec_.id;
  tally.running = own_running_;
  tally.forecast = own_;
  tally.demand = demand_ + queued_demand;
  demand_ *= kDemandMemory;
  added_since_tally_ = {};
  added_count_since_tally_ = 0;
  return tally;
}

void target_book::NotePrefix(const std::string& prefix,
                             timestamp cached_until) {
  prefixes_[prefix] = cached_until;
  if (prefixes_.size() <= kPrefixesKept)
    return;
  const auto oldest = std::min_element(
      prefixes_.begin(), prefixes_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  prefixes_.erase(oldest);
}

bool target_book::HoldsPrefix(const std::string& prefix, timestamp now) const {
  const auto found = prefixes_.find(prefix);
  return found != prefixes_.end() && now < found->second;
}

}  // namespace wist
