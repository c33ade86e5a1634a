#ifndef FOLLOWER_STORE_REVISION_H_
#define FOLLOWER_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace wist {

// A position in the history of the store. A store that returns from an older
// copy begins a new era and gives the revisions that followed the copy out
// again, so that a number has a meaning within its era only. Later eras compare
// greater.
struct store_revision {
  store_revision() = default;
  // Of a store that states no era. Implicit, since it is that store's revision.
  store_revision(std::int64_t revision_number) : number(revision_number) {}
  store_revision(std::int64_t revision_era, std::int64_t revision_number)
      : era(revision_era), number(revision_number) {}

  auto operator<=>(const store_revision&) const = default;

  std::int64_t era = 0;  // 0 if the store states none; its first one is 1.
  std::int64_t number = 0;
};

}  // namespace wist

#endif  // FOLLOWER_STORE_REVISION_H_
