#ifndef NODE_I_NODE_H_
#define NODE_I_NODE_H_

#include "node/i_blocking_admission.h"
#include "node/i_node_status.h"
#include "node/i_plain_router.h"
#include "node/i_request_limits.h"

namespace wist {

// The part of an instance that coordinates with the other instances.
class i_node {
 public:
  virtual ~i_node() = default;

  virtual i_blocking_admission& admission() = 0;
  virtual i_request_limits& limits() = 0;
  virtual i_plain_router& plain_router() = 0;
  virtual i_node_status& status() = 0;

  // Simulates a network partition from the failure domains `domains` by
  // refusing all calls of their instances. Replaces an earlier partition. For
  // tests only.
  virtual void SimulatePartition(const std::vector<domain_id>& domains) = 0;

  // Removes this instance from the platform's instance list and releases its
  // tasks and its lease for cold targets. Running requests continue.
  virtual void LeaveCluster() = 0;
};

}  // namespace wist

#endif  // NODE_I_NODE_H_
