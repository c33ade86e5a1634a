#ifndef STORE_I_INSTANCE_LIST_H_
#define STORE_I_INSTANCE_LIST_H_

#include <vector>

#include "store/store_types.h"

namespace wist {

// The platform's list of live and leaving entry instances. It may be out of
// date.
class i_instance_list {
 public:
  virtual ~i_instance_list() = default;

  // All methods throw kv_unavailable.
  virtual std::vector<listed_instance> List(timestamp deadline) = 0;
  virtual void Announce(const listed_instance& self, timestamp deadline) = 0;
  virtual void Withdraw(const listed_instance& self, timestamp deadline) = 0;
};

}  // namespace wist

#endif  // STORE_I_INSTANCE_LIST_H_
