#ifndef QUOTA_QUOTA_TYPES_H_
#define QUOTA_QUOTA_TYPES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

using instance_id = strong_id<struct instance_tag>;

// Points ahead at which memory use is forecast, in tokens of each generation.
inline constexpr std::array<std::int64_t, 5> kForecastTokens = {0, 32, 128, 512,
                                                                2048};

// Mean and variance of the memory that running generations will hold at each
// of the forecast points, in tokens and tokens squared. Forecasts of separate
// generations add up.
struct memory_forecast {
  std::array<double, kForecastTokens.size()> mean{};
  std::array<double, kForecastTokens.size()> variance{};

  auto operator<=>(const memory_forecast&) const = default;

  memory_forecast& operator+=(const memory_forecast& other) {
    for (std::size_t i = 0; i < mean.size(); ++i) {
      mean[i] += other.mean[i];
      variance[i] += other.variance[i];
    }
    return *this;
  }

  memory_forecast& operator-=(const memory_forecast& other) {
    for (std::size_t i = 0; i < mean.size(); ++i) {
      mean[i] -= other.mean[i];
      variance[i] -= other.variance[i];
    }
    return *this;
  }
};

// What one instance has running on a target.
struct target_tally {
  target_id target;
  std::int32_t running = 0;
  memory_forecast forecast;
  // Requests that the instance would have sent there in the last interval.
  double demand = 0;
};

// What an instance may count on until `deadline`.
struct quota_grant {
  target_id target;
  // What all other instances have running there.
  memory_forecast others;
  std::int32_t others_running = 0;
  // The instance's part of the room that is left, in (0, 1].
  double share = 1;
  timestamp deadline;
};

}  // namespace wist

#endif  // QUOTA_QUOTA_TYPES_H_
