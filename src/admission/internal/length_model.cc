#include "admission/internal/length_model.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

// Weight of the parent's opinion, in generations that reached the bucket.
constexpr double kParentWeight = 10;

// What is believed before anything was seen: a log-normal distribution.
constexpr double kPriorMedianTokens = 200;
constexpr double kPriorLogDeviation = 1.2;

// Old observations lose half of their weight after this many events.
constexpr int kEventsAHalfLife = 2000;

// The survival table is made anew after this many events.
constexpr int kEventsARefresh = 16;

double PriorSurvival(double length) {
  if (length <= 0)
    return 1;
  const double deviate =
      std::log(length / kPriorMedianTokens) / kPriorLogDeviation;
  return std::max(1e-9, 0.5 * std::erfc(deviate / std::sqrt(2.0)));
}

}  // namespace

length_model::length_model(const length_model* parent) : parent_(parent) {}

int length_model::BucketOf(std::int64_t length) {
  const double doublings = std::log2(static_cast<double>(length) + 1);
  return std::min(kBuckets - 1,
                  static_cast<int>(doublings * kBucketsADoubling));
}

std::int64_t length_model::LowerEnd(int bucket) {
  return static_cast<std::int64_t>(std::ceil(
             std::exp2(static_cast<double>(bucket) / kBucketsADoubling))) -
         1;
}

void length_model::OnGrowth(std::int64_t from, std::int64_t to) {
  const int first = from == 0 ? 0 : BucketOf(from) + 1;
  for (int bucket = first; bucket <= BucketOf(to); ++bucket)
    at_risk_[static_cast<std::size_t>(bucket)] += 1;
}

void length_model::OnFinished(std::int64_t length) {
  ended_[static_cast<std::size_t>(BucketOf(length))] += 1;
  ++events_since_refresh_;
  if (++events_since_aging_ >= kEventsAHalfLife)
    Age();
}

void length_model::Age() {
  events_since_aging_ = 0;
  for (double& count : at_risk_)
    count /= 2;
  for (double& count : ended_)
    count /= 2;
}

double length_model::Hazard(int bucket) const {
  const auto index = static_cast<std::size_t>(bucket);
  double believed = 0;
  if (parent_) {
    believed = parent_->Hazard(bucket);
  } else {
    const double begin = PriorSurvival(static_cast<double>(LowerEnd(bucket)));
    const double end = PriorSurvival(static_cast<double>(LowerEnd(bucket + 1)));
    believed = 1 - end / begin;
  }
  const double hazard = (ended_[index] + kParentWeight * believed) /
                        (at_risk_[index] + kParentWeight);
  return std::clamp(hazard, 0.0, 0.999);
}

void length_model::Refresh() const {
  if (fresh_ && events_since_refresh_ < kEventsARefresh)
    return;
  fresh_ = true;
  events_since_refresh_ = 0;
  log_survival_[0] = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    const auto index = static_cast<std::size_t>(bucket);
    log_survival_[index + 1] =
        log_survival_[index] + std::log1p(-Hazard(bucket));
  }
}

double length_model::LogSurvival(std::int64_t length) const {
  const int bucket = BucketOf(length);
  const auto index = static_cast<std::size_t>(bucket);
  const auto begin = static_cast<double>(LowerEnd(bucket));
  const auto end = static_cast<double>(LowerEnd(bucket + 1));
  if (end <= begin)
    return log_survival_[index];
  const double part = std::clamp(
      (static_cast<double>(length) - begin) / (end - begin), 0.0, 1.0);
  return log_survival_[index] +
         part * (log_survival_[index + 1] - log_survival_[index]);
}

double length_model::Survival(std::int64_t out, std::int64_t more) const {
  Refresh();
  return std::exp(LogSurvival(out + more) - LogSurvival(out));
}

double length_model::MeanLength() const {
  Refresh();
  double mean = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    const auto width =
        static_cast<double>(LowerEnd(bucket + 1) - LowerEnd(bucket));
    mean += width * std::exp(log_survival_[static_cast<std::size_t>(bucket)]);
  }
  return mean;
}

}  // namespace wist
