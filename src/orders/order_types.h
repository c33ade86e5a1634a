#ifndef ORDERS_ORDER_TYPES_H_
#define ORDERS_ORDER_TYPES_H_

#include <string>
#include <variant>

#include "configuration/configuration_types.h"

namespace wist {

// Commands that an engine can execute.
struct load_model_order {
  std::string model;
  std::string version;
  auto operator<=>(const load_model_order&) const = default;
};
struct load_adapter_order {
  std::string adapter;
  auto operator<=>(const load_adapter_order&) const = default;
};
struct change_role_order {
  std::string role;
  auto operator<=>(const change_role_order&) const = default;
};
using engine_order =
    std::variant<load_model_order, load_adapter_order, change_role_order>;

// Outcomes of an order.

// The target accepted the order.
struct order_accepted {};
// Another issuer holds the target's lease, or held it while this one waited.
struct order_lease_unavailable {};
// The target rejected the fencing number: an issuer with a newer lease has sent
// orders in the meantime.
struct order_superseded {};
// The order could not be sent, or the target responded with an unexpected
// HTTP status.
struct order_not_sent {
  std::string reason;
};
// The order may have been sent, but no response arrived.
struct order_in_doubt {
  std::string reason;
};
using order_result = std::variant<order_accepted,
                                  order_lease_unavailable,
                                  order_superseded,
                                  order_not_sent,
                                  order_in_doubt>;

}  // namespace wist

#endif  // ORDERS_ORDER_TYPES_H_
