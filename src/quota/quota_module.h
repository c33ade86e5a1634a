#ifndef QUOTA_QUOTA_MODULE_H_
#define QUOTA_QUOTA_MODULE_H_

#include <memory>
#include <vector>

#include "quota/i_quota_allocator.h"

namespace wist {

// Time for which a tally is valid at the owner and a grant at its member.
inline constexpr milliseconds kQuotaValidity{3000};

std::unique_ptr<i_quota_allocator> MakeQuotaAllocator();

// Number of blocks into which the targets of a failure domain are divided. Each
// block has one owner.
inline constexpr int kBlocksPerDomain = 16;

// Returns the block of `target` within its failure domain.
int BlockOf(const target_id& target);

// Returns the member that owns block `block` of `domain`; empty if there are no
// members. Rendezvous hashing ensures that the loss of a member moves only the
// blocks that it owned.
instance_id BlockOwner(const domain_id& domain,
                       int block,
                       const std::vector<instance_id>& members);

}  // namespace wist

#endif  // QUOTA_QUOTA_MODULE_H_
