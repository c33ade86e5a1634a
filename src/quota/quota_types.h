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

// Horizons of the memory forecast, in further output tokens of each running
// generation.
inline constexpr std::array<std::int64_t, 5> kForecastTokens = {0, 32, 128, 512,
                                                                2048};

// Mean and variance of the memory that running generations will occupy at each
// forecast horizon, in tokens and tokens squared. Forecasts of different
// generations can be added.
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

// Current load and demand of one instance on a target.
struct target_tally {
  target_id target;
  std::int32_t running = 0;
  memory_forecast forecast;
  // Number of requests that the instance would have sent to the target in the
  // last interval.
  double demand = 0;
};

// Capacity of a target that one instance may use until `deadline`.
struct quota_grant {
  target_id target;
  // Memory forecast of the generations of all other instances on the target.
  memory_forecast others_forecast;
  std::int32_t others_running = 0;
  // The instance's share of the remaining capacity, in (0, 1].
  double share = 1;
  timestamp deadline;
};

}  // namespace wist

#endif  // QUOTA_QUOTA_TYPES_H_
