#include <algorithm>

#include "coldstart/coldstart_types.h"

namespace wist {

std::int32_t StaticLimitPerInstance(const target_spec& target,
                                    const domain_spec& domain) {
  const std::int32_t instances = std::max(1, domain.max_entry_instances);
  // Half of the target's limit is divided among the instances. Each of them has
  // at least one request if the limit is sufficient.
  const std::int32_t half_divided =
      target.cold_bearable_requests / (2 * instances);
  const bool one_per_instance = target.cold_bearable_requests >= instances;
  return std::max(half_divided, one_per_instance ? 1 : 0);
}

std::int32_t PooledLimit(const target_spec& target, const domain_spec& domain) {
  return target.cold_bearable_requests -
         StaticLimitPerInstance(target, domain) *
             std::max(1, domain.max_entry_instances);
}

}  // namespace wist
