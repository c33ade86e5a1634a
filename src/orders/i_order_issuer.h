#ifndef ORDERS_I_ORDER_ISSUER_H_
#define ORDERS_I_ORDER_ISSUER_H_

#include "framework/base/time_types.h"
#include "orders/order_types.h"

namespace wist {

// Sends orders to engines. A lease for each engine ensures that only one issuer
// at a time can send orders to it. Calls block.
class i_order_issuer {
 public:
  virtual ~i_order_issuer() = default;

  // Throws kv_unavailable if the store that grants the lease cannot be reached.
  virtual order_result Issue(const target_spec& target,
                             const engine_order& order,
                             timestamp deadline) = 0;
};

}  // namespace wist

#endif  // ORDERS_I_ORDER_ISSUER_H_
