#ifndef ADMISSION_INTERNAL_LENGTH_MODEL_H_
#define ADMISSION_INTERNAL_LENGTH_MODEL_H_

#include <array>
#include <cstdint>

namespace wist {

// Learns the distribution of output lengths from generations that are still
// running or were cut short (censored) as well as from finished ones.
class length_model {
 public:
  // `parent`, if any, is what the model says of lengths it has not seen. It
  // has to live longer.
  explicit length_model(const length_model* parent = nullptr);

  // A generation grew from `from` to `to` tokens without ending.
  void OnGrowth(std::int64_t from, std::int64_t to);

  // A generation ended by itself with `length` tokens.
  void OnFinished(std::int64_t length);

  // Chance that a generation with `out` tokens goes on for `more` at least.
  double Survival(std::int64_t out, std::int64_t more) const;

  // Mean length of a new generation, in tokens.
  double MeanLength() const;

 private:
  static constexpr int kBucketsADoubling = 4;
  static constexpr int kBuckets = 17 * kBucketsADoubling;

  static int BucketOf(std::int64_t length);
  static std::int64_t LowerEnd(int bucket);

  double Hazard(int bucket) const;
  double LogSurvival(std::int64_t length) const;
  void Refresh() const;
  void Age();

  const length_model* parent_;
  std::array<double, kBuckets> at_risk_{};
  std::array<double, kBuckets> ended_{};
  int events_since_aging_ = 0;

  // Logarithm of the chance to reach each bucket's lower end.
  mutable std::array<double, kBuckets + 1> log_survival_{};
  mutable int events_since_refresh_ = 0;
  mutable bool fresh_ = false;
};

}  // namespace wist

#endif  // ADMISSION_INTERNAL_LENGTH_MODEL_H_
