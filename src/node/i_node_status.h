#ifndef NODE_I_NODE_STATUS_H_
#define NODE_I_NODE_STATUS_H_

#include <memory>
#include <string>
#include <vector>

#include "cluster/cluster_types.h"
#include "configuration/configuration_types.h"

namespace wist {

// State of the instance as operators and the balancer see it. Thread-safe.
class i_node_status {
 public:
  virtual ~i_node_status() = default;

  // Whether the instance takes new requests.
  virtual bool Ready() const = 0;

  // Configuration in force; null before the first one.
  virtual std::shared_ptr<const configuration_document> Configuration()
      const = 0;

  virtual std::vector<member_record> LiveMembers() const = 0;
  virtual bool StoreIsFresh() const = 0;
  virtual bool HoldsColdLease() const = 0;

  // Bytes of peer messages since the start.
  virtual std::uint64_t ControlBytes() const = 0;
};

}  // namespace wist

#endif  // NODE_I_NODE_STATUS_H_
