#ifndef QUOTA_I_QUOTA_BOOK_H_
#define QUOTA_I_QUOTA_BOOK_H_

#include <vector>

#include "quota/quota_types.h"

namespace wist {

// What the owner of a block of targets knows of its members' work. Not
// thread-safe; reads no clock.
class i_quota_book {
 public:
  virtual ~i_quota_book() = default;

  // Takes a member's tallies and returns its grants for the same targets.
  // Tallies of a member count until they are replaced or lapse.
  virtual std::vector<quota_grant> Exchange(
      const instance_id& member,
      const std::vector<target_tally>& tallies,
      timestamp now) = 0;
};

}  // namespace wist

#endif  // QUOTA_I_QUOTA_BOOK_H_
