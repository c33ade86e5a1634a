#include "selection/unseen_starts_estimator.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

// Time over which rates are averaged.
constexpr double kRateSeconds = 4;

// History below which a rate would depend on single events.
constexpr double kMinRateSeconds = 0.5;

// Weight of the newest interval between reports in the moving average.
constexpr double kIntervalWeight = 0.1;

// Reports are sent when loads change, so that most intervals are longer than
// the sender's minimum; the age follows from a low quantile of them, which
// adapts by this step.
constexpr double kShortQuantile = 0.1;
constexpr double kQuantileStep = 0.2;

// A silence of this many average intervals is unlikely while reports arrive.
constexpr double kSilenceIntervals = 4;

// Reports received within this time were sent together.
constexpr microseconds kSameReport{1000};

// Bounds of the age. Without reports for longer, the loads say nothing and the
// estimate has reached all targets in any case.
constexpr double kMinAgeUs = 10'000;
constexpr double kMaxAgeUs = 5'000'000;

// Fan-out of the tree along which loads are reported.
constexpr double kTreeFanOut = 8;

// Unseen runs for each instance that are assumed while the rates are unknown,
// and at least: some instances choose at the same moment at any rate.
constexpr double kMinStartsPerInstance = 0.03;

double Seconds(microseconds span) {
  return static_cast<double>(span.count()) / 1e6;
}

}  // namespace

void unseen_starts_estimator::event_rate::Add(double count, timestamp now) {
  if (!first_at_)
    first_at_ = now;
  count_ =
      count_ * std::exp(-Seconds(now - updated_at_) / kRateSeconds) + count;
  updated_at_ = now;
}

double unseen_starts_estimator::event_rate::PerSecond(timestamp now) const {
  if (!first_at_)
    return 0;
  const double history =
      std::max(Seconds(now - *first_at_), kMinRateSeconds) / kRateSeconds;
  // The average over the history, each part of which counts with its weight.
  return count_ * std::exp(-Seconds(now - updated_at_) / kRateSeconds) /
         (kRateSeconds * (1 - std::exp(-history)));
}

void unseen_starts_estimator::OnOwnStart(timestamp now) {
  own_starts_.Add(1, now);
}

void unseen_starts_estimator::OnReportedStarts(int added_runs, timestamp now) {
  reported_starts_.Add(added_runs, now);
}

double unseen_starts_estimator::Estimate(std::size_t instance_count,
                                         microseconds report_age,
                                         timestamp now) const {
  const double others = static_cast<double>(instance_count) - 1;
  // Runs that end and start between two reports cancel each other out, so that
  // old reports show too few starts.
  const double rate = std::max(own_starts_.PerSecond(now) * others,
                               reported_starts_.PerSecond(now));
  return std::max(rate * Seconds(report_age), others * kMinStartsPerInstance);
}

void report_age_estimator::OnReport(timestamp now) {
  if (last_report_at_ && now < *last_report_at_ + kSameReport)
    return;
  if (last_report_at_) {
    const auto interval = static_cast<double>((now - *last_report_at_).count());
    if (interval_us_ == 0)
      interval_us_ = short_interval_us_ = interval;
    interval_us_ += kIntervalWeight * (interval - interval_us_);
    short_interval_us_ *= interval < short_interval_us_
                              ? 1 - kQuantileStep * (1 - kShortQuantile)
                              : 1 + kQuantileStep * kShortQuantile;
  }
  last_report_at_ = now;
}

microseconds report_age_estimator::Age(std::size_t instance_count,
                                       timestamp now) const {
  if (!last_report_at_)
    return microseconds(static_cast<std::int64_t>(kMinAgeUs));
  // A report passes up and down the tree, and every instance on its way may
  // hold it for one interval. The upper end of the expected range is used:
  // assuming too many unseen starts costs less than assuming too few.
  const double levels = std::ceil(
      std::log(std::max<double>(2, static_cast<double>(instance_count))) /
      std::log(kTreeFanOut));
  double age = short_interval_us_ * (levels + 1.5);
  const auto silence = static_cast<double>((now - *last_report_at_).count());
  if (silence > kSilenceIntervals * interval_us_)
    age = std::max(age, silence);
  return microseconds(
      static_cast<std::int64_t>(std::clamp(age, kMinAgeUs, kMaxAgeUs)));
}

}  // namespace wist
