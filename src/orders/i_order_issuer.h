#ifndef ORDERS_I_ORDER_ISSUER_H_
#define ORDERS_I_ORDER_ISSUER_H_

#include "framework/base/time_types.h"
#include "orders/order_types.h"

namespace wist {

// Gives orders to engines, one issuer at a time for each. Calls block.
class i_order_issuer {
 public:
  virtual ~i_order_issuer() = default;

  // Throws kv_unavailable if the lease cannot be asked for.
  virtual order_result Issue(const target_spec& target,
                             const engine_order& order,
                             timestamp deadline) = 0;
};

}  // namespace wist

#endif  // ORDERS_I_ORDER_ISSUER_H_
