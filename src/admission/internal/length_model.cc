#include "admission/internal/length_model.h"

#include <algorithm>
#include <cmath>

namespace wist {
namespace {

// Weight of the prior (the parent's hazard, if there is a parent), as the
// equivalent number of generations that reached the bucket.
constexpr double kPriorWeight = 10;

// Log-normal prior distribution of lengths for models without a parent.
constexpr double kPriorMedianTokens = 200;
constexpr double kPriorLogDeviation = 1.2;

// Counts are halved after this many finished generations, so that the model
// follows changes of the workload.
constexpr int kEventsPerHalfLife = 2000;

// The survival table is recomputed after this many finished generations.
constexpr int kEventsPerRefresh = 16;

double PriorSurvival(double length) {
  if (length <= 0)
    return 1;
  const double z_score =
      std::log(length / kPriorMedianTokens) / kPriorLogDeviation;
  return std::max(1e-9, 0.5 * std::erfc(z_score / std::sqrt(2.0)));
}

}  // namespace

length_model::length_model(const length_model* parent) : parent_(parent) {}

int length_model::BucketOf(std::int64_t length) {
  const double doublings = std::log2(static_cast<double>(length) + 1);
  return std::min(kBuckets - 1,
                  static_cast<int>(doublings * kBucketsPerDoubling));
}

std::int64_t length_model::LowerBound(int bucket) {
  return static_cast<std::int64_t>(std::ceil(
             std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling))) -
         1;
}

void length_model::OnGrowth(std::int64_t from, std::int64_t to) {
  const int first = from == 0 ? 0 : BucketOf(from) + 1;
  for (int bucket = first; bucket <= BucketOf(to); ++bucket)
    at_risk_[static_cast<std::size_t>(bucket)] += 1;
}

void length_model::OnFinished(std::int64_t length) {
  finished_[static_cast<std::size_t>(BucketOf(length))] += 1;
  ++events_since_refresh_;
  if (++events_since_decay_ >= kEventsPerHalfLife)
    DecayCounts();
}

void length_model::DecayCounts() {
  events_since_decay_ = 0;
  for (double& count : at_risk_)
    count /= 2;
  for (double& count : finished_)
    count /= 2;
}

double length_model::Hazard(int bucket) const {
  const auto index = static_cast<std::size_t>(bucket);
  double prior_hazard = 0;
  if (parent_) {
    prior_hazard = parent_->Hazard(bucket);
  } else {
    const double begin = PriorSurvival(static_cast<double>(LowerBound(bucket)));
    const double end =
        PriorSurvival(static_cast<double>(LowerBound(bucket + 1)));
    prior_hazard = 1 - end / begin;
  }
  const double hazard = (finished_[index] + kPriorWeight * prior_hazard) /
                        (at_risk_[index] + kPriorWeight);
  return std::clamp(hazard, 0.0, 0.999);
}

void length_model::RefreshTable() const {
  if (table_built_ && events_since_refresh_ < kEventsPerRefresh)
    return;
  table_built_ = true;
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
  const auto begin = static_cast<double>(LowerBound(bucket));
  const auto end = static_cast<double>(LowerBound(bucket + 1));
  if (end <= begin)
    return log_survival_[index];
  const double fraction = std::clamp(
      (static_cast<double>(length) - begin) / (end - begin), 0.0, 1.0);
  return log_survival_[index] +
         fraction * (log_survival_[index + 1] - log_survival_[index]);
}

double length_model::Survival(std::int64_t output_tokens,
                              std::int64_t more_tokens) const {
  RefreshTable();
  return std::exp(LogSurvival(output_tokens + more_tokens) -
                  LogSurvival(output_tokens));
}

double length_model::MeanLength() const {
  RefreshTable();
  double mean = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    const auto width =
        static_cast<double>(LowerBound(bucket + 1) - LowerBound(bucket));
    mean += width * std::exp(log_survival_[static_cast<std::size_t>(bucket)]);
  }
  return mean;
}

}  // namespace wist
