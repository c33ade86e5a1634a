#ifndef ADMISSION_INTERNAL_LENGTH_MODEL_H_
#define ADMISSION_INTERNAL_LENGTH_MODEL_H_

#include <array>
#include <cstdint>

namespace wist {

// Online survival model of output lengths, in tokens. Running generations and
// those that ended early count as right-censored observations, finished ones as
// complete ones. Lengths are grouped into logarithmic buckets.
class length_model {
 public:
  // `parent` provides the prior for buckets with few observations. It has to
  // outlive this model. Without a parent, a fixed prior is used.
  explicit length_model(const length_model* parent = nullptr);

  // Records that a generation grew from `from` to `to` tokens without ending.
  void OnGrowth(std::int64_t from, std::int64_t to);

  // Records that a generation finished on its own with `length` tokens.
  void OnFinished(std::int64_t length);

  // Returns the probability that a generation that has `output_tokens` tokens
  // produces at least `more_tokens` more.
  double Survival(std::int64_t output_tokens, std::int64_t more_tokens) const;

  // Returns the expected length of a new generation, in tokens.
  double MeanLength() const;

 private:
  static constexpr int kBucketsPerDoubling = 4;
  static constexpr int kBuckets = 17 * kBucketsPerDoubling;

  static int BucketOf(std::int64_t length);
  static std::int64_t LowerBound(int bucket);

  double Hazard(int bucket) const;
  double LogSurvival(std::int64_t length) const;
  void RefreshTable() const;
  void DecayCounts();

  const length_model* parent_;
  std::array<double, kBuckets> at_risk_{};
  std::array<double, kBuckets> finished_{};
  int events_since_decay_ = 0;

  // Logarithm of the probability of reaching the lower bound of each bucket.
  mutable std::array<double, kBuckets + 1> log_survival_{};
  mutable int events_since_refresh_ = 0;
  mutable bool table_built_ = false;
};

}  // namespace wist

#endif  // ADMISSION_INTERNAL_LENGTH_MODEL_H_
