#ifndef QUOTA_I_QUOTA_ALLOCATOR_H_
#define QUOTA_I_QUOTA_ALLOCATOR_H_

#include <vector>

#include "quota/quota_types.h"

namespace wist {

// Divides the free capacity of targets among the instances that send requests
// to them. Runs on the instance that owns a block of targets. Not thread-safe;
// reads no clock.
class i_quota_allocator {
 public:
  virtual ~i_quota_allocator() = default;

  // Stores a member's tallies and returns its grants for the same targets. A
  // tally is in effect until it is replaced or expires.
  virtual std::vector<quota_grant> Exchange(
      const instance_id& member,
      const std::vector<target_tally>& tallies,
      timestamp now) = 0;
};

}  // namespace wist

#endif  // QUOTA_I_QUOTA_ALLOCATOR_H_
