#ifndef ORDERS_ORDERS_MODULE_H_
#define ORDERS_ORDERS_MODULE_H_

#include <functional>
#include <memory>
#include <string>

#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"
#include "orders/i_order_issuer.h"
#include "store/i_kv_store.h"

namespace wist {

// How long an order lease holds, and how long an order sent under it may still
// be on its way once the lease has run out.
inline constexpr milliseconds kOrderLeaseValidity{5000};
inline constexpr milliseconds kOrderTravelLimit{2000};

struct order_services {
  std::shared_ptr<i_kv_store> store;
  std::shared_ptr<i_http_client> http;
  std::shared_ptr<const i_clock> clock;
  // Waits until a point in time.
  std::function<void(timestamp)> wait_until;
};

// `issuer` names this process uniquely.
std::unique_ptr<i_order_issuer> MakeOrderIssuer(const std::string& issuer,
                                                const order_services& services);

}  // namespace wist

#endif  // ORDERS_ORDERS_MODULE_H_
