#include <algorithm>

#include "coldstart/coldstart_types.h"

namespace wist {

std::int32_t StaticPart(const target_spec& target, const domain_spec& domain) {
  const std::int32_t instances = std::max(1, domain.max_entry_instances);
  const std::int32_t half = target.cold_bearable_requests / (2 * instances);
  const bool one_each = target.cold_bearable_requests >= instances;
  return std::max(half, one_each ? 1 : 0);
}

std::int32_t PooledPart(const target_spec& target, const domain_spec& domain) {
  return target.cold_bearable_requests -
         StaticPart(target, domain) * std::max(1, domain.max_entry_instances);
}

}  // namespace wist
