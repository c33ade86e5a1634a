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

// Validity of an order lease, and the time for which an order sent under it may
// still be in transit after the lease has expired.
inline constexpr milliseconds kOrderLeaseValidity{5000};
inline constexpr milliseconds kOrderDeliveryTimeout{2000};

struct order_services {
  std::shared_ptr<i_kv_store> store;
  std::shared_ptr<i_http_client> http;
  std::shared_ptr<const i_clock> clock;
  // Blocks until the given time.
  std::function<void(timestamp)> wait_until;
};

// `issuer` is an identifier that is unique to this process.
std::unique_ptr<i_order_issuer> MakeOrderIssuer(const std::string& issuer,
                                                const order_services& services);

}  // namespace wist

#endif  // ORDERS_ORDERS_MODULE_H_
