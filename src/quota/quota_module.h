#ifndef QUOTA_QUOTA_MODULE_H_
#define QUOTA_QUOTA_MODULE_H_

#include <memory>
#include <vector>

#include "quota/i_quota_book.h"

namespace wist {

// How long a tally counts at the owner and a grant at its member.
inline constexpr milliseconds kQuotaValidity{3000};

std::unique_ptr<i_quota_book> MakeQuotaBook();

// Targets are dealt to owners in this many blocks a failure domain.
inline constexpr int kBlocksADomain = 16;

// Returns the block of `target` within its failure domain.
int BlockOf(const target_id& target);

// Returns the member that owns block `block` of `domain`, by rendezvous
// hashing, so that a member's loss moves its own blocks only. Empty if there
// are no members.
instance_id BlockOwner(const domain_id& domain,
                       int block,
                       const std::vector<instance_id>& members);

}  // namespace wist

#endif  // QUOTA_QUOTA_MODULE_H_
