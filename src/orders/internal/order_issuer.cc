#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "orders/orders_module.h"

namespace wist {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

std::string LeaseName(const target_spec& target) {
  return "wisteriatally/orders/" + target.id.text();
}

struct order_writer {
  nlohmann::json operator()(const load_model_order& order) const {
    return {{"order", "load_model"},
            {"model", order.model},
            {"version", order.version}};
  }
  nlohmann::json operator()(const load_adapter_order& order) const {
    return {{"order", "load_adapter"}, {"adapter", order.adapter}};
  }
  nlohmann::json operator()(const change_role_order& order) const {
    return {{"order", "change_role"}, {"role", order.role}};
  }
};

class order_issuer final : public i_order_issuer {
 public:
  order_issuer(const std::string& issuer, const order_services& services)
      : issuer_(issuer), services_(services) {}

  order_result Issue(const target_spec& target,
                     const engine_order& order,
                     timestamp deadline) override {
    auto lease = Acquire(target, deadline);
    if (!lease)
      return order_held_back{};
    const timestamp free_at = FreeAt(target, *lease);
    if (free_at > services_.clock->Now()) {
      if (free_at >= deadline)
        return order_not_sent{"an earlier issuer's orders may still arrive"};
      services_.wait_until(free_at);
      // The wait is longer than a lease; the number stays while it is renewed
      // in time and changes if another issuer came in between.
      const std::uint64_t number = lease->fencing_number;
      lease = Acquire(target, deadline);
      if (!lease || lease->fencing_number != number)
        return order_held_back{};
    }
    return Send(target, order, *lease, deadline);
  }

 private:
  struct turn {
    std::uint64_t fencing_number = 0;
    timestamp free_at;
  };

  std::optional<kv_lease> Acquire(const target_spec& target,
                                  timestamp deadline) {
    // Held long enough to wait out an earlier issuer.
    return services_.store->AcquireLease(
        LeaseName(target), issuer_, kOrderLeaseValidity + kOrderTravelLimit,
        deadline);
  }

  // Returns when orders of earlier issuers can no longer reach the target. One
  // that checks fencing numbers refuses them itself. The lease was free when it
  // was taken, so only orders on their way have to be waited out.
  timestamp FreeAt(const target_spec& target, const kv_lease& lease) {
    turn& own = turns_[target.id];
    if (own.fencing_number != lease.fencing_number) {
      own.fencing_number = lease.fencing_number;
      own.free_at = target.checks_fencing
                        ? services_.clock->Now()
                        : services_.clock->Now() + kOrderTravelLimit;
    }
    return own.free_at;
  }

  order_result Send(const target_spec& target,
                    const engine_order& order,
                    const kv_lease& lease,
                    timestamp deadline) {
    nlohmann::json body = std::visit(order_writer{}, order);
    body["fencing_number"] = lease.fencing_number;
    // Checked right before the send; the order's own limit keeps it from
    // travelling longer than the next issuer waits.
    const timestamp now = services_.clock->Now();
    if (now >= lease.deadline)
      return order_not_sent{"the lease ran out"};
    try {
      const http_response response =
          services_.http->Call({target.host, target.port},
                               {.method = "POST",
                                .path = "/orders",
                                .headers = {},
                                .body = body.dump()},
                               std::min(deadline, now + kOrderTravelLimit));
      if (response.status == kOk)
        return order_taken{};
      if (response.status == kConflict)
        return order_outdated{};
      return order_not_sent{fmt::format("status {}", response.status)};
    } catch (const http_error& error) {
      if (error.may_have_left())
        return order_in_doubt{error.what()};
      return order_not_sent{error.what()};
    }
  }

  const std::string issuer_;
  const order_services services_;
  std::map<target_id, turn> turns_;
};

}  // namespace

std::unique_ptr<i_order_issuer> MakeOrderIssuer(
    const std::string& issuer,
    const order_services& services) {
  return std::make_unique<order_issuer>(issuer, services);
}

}  // namespace wist
