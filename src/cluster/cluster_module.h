#ifndef CLUSTER_CLUSTER_MODULE_H_
#define CLUSTER_CLUSTER_MODULE_H_

#include <memory>

#include "cluster/i_cluster_view.h"

namespace wist {

// `seed` initializes the random choice of gossip peers and should differ
// between instances.
std::unique_ptr<i_cluster_view> MakeClusterView(
    const cluster_settings& settings,
    const member_record& self,
    std::uint64_t seed);

}  // namespace wist

#endif  // CLUSTER_CLUSTER_MODULE_H_
