#ifndef NODE_I_NODE_STATUS_H_
#define NODE_I_NODE_STATUS_H_

#include <memory>
#include <string>
#include <vector>

#include "cluster/cluster_types.h"
#include "configuration/configuration_types.h"

namespace wist {

// State of the instance that is reported to operators and to the load balancer.
// Thread-safe.
class i_node_status {
 public:
  virtual ~i_node_status() = default;

  // Returns whether the instance accepts new requests.
  virtual bool IsReady() const = 0;

  // Returns the current configuration, or null before the first one arrived.
  virtual std::shared_ptr<const configuration_document> Configuration()
      const = 0;

  virtual std::vector<member_record> LiveMembers() const = 0;
  virtual bool StoreIsFresh() const = 0;
  virtual bool HoldsColdLease() const = 0;

  // Returns the number of bytes exchanged with other instances since the start
  // of the process.
  virtual std::uint64_t ControlBytes() const = 0;
};

}  // namespace wist

#endif  // NODE_I_NODE_STATUS_H_
