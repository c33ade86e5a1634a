#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "orders/orders_module.h"

namespace wist {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

std::string LeaseName(const target_spec& target) {
  return "wisteriatally/orders/" + target.id.text();
}

struct order_encoder {
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
    auto lease = AcquireOrderLease(target, deadline);
    if (!lease)
      return order_lease_unavailable{};
    const timestamp earliest_send_at = EarliestSendAt(target, *lease);
    if (earliest_send_at > services_.clock->Now()) {
      if (earliest_send_at >= deadline)
        return order_not_sent{
            "orders of the previous lease holder may still be in transit at "
            "the deadline"};
      services_.wait_until(earliest_send_at);
      // The wait may outlast the lease. The fencing number stays the same as
      // long as the lease is renewed in time, and changes if another issuer
      // acquired it in between.
      const std::uint64_t number = lease->fencing_number;
      lease = AcquireOrderLease(target, deadline);
      if (!lease || lease->fencing_number != number)
        return order_lease_unavailable{};
    }
    return Send(target, order, *lease, deadline);
  }

 private:
  struct lease_term {
    std::uint64_t fencing_number = 0;
    timestamp send_after;
  };

  std::optional<kv_lease> AcquireOrderLease(const target_spec& target,
                                            timestamp deadline) {
    // The lease has to outlast the wait for orders of the previous holder.
    return services_.store->AcquireLease(
        LeaseName(target), issuer_, kOrderLeaseValidity + kOrderDeliveryTimeout,
        deadline);
  }

  // Returns the time from which orders of previous lease holders can no longer
  // reach the target. A target that checks fencing numbers rejects such orders
  // itself. The lease was free when it was acquired, so only orders that are
  // already in transit have to be waited for.
  timestamp EarliestSendAt(const target_spec& target, const kv_lease& lease) {
    lease_term& term = lease_terms_[target.id];
    if (term.fencing_number != lease.fencing_number) {
      term.fencing_number = lease.fencing_number;
      term.send_after = target.checks_fencing
                            ? services_.clock->Now()
                            : services_.clock->Now() + kOrderDeliveryTimeout;
    }
    return term.send_after;
  }

  order_result Send(const target_spec& target,
                    const engine_order& order,
                    const kv_lease& lease,
                    timestamp deadline) {
    nlohmann::json body = std::visit(order_encoder{}, order);
    body["fencing_number"] = lease.fencing_number;
    // The lease is checked immediately before the order is sent. The time-out
    // of the call keeps the order from being in transit for longer than the
    // next lease holder waits.
    const timestamp now = services_.clock->Now();
    if (now >= lease.deadline)
      return order_not_sent{
          "the order lease expired before the order could be sent"};
    try {
      const http_response response =
          services_.http->Call({target.host, target.port},
                               {.method = "POST",
                                .path = "/orders",
                                .headers = {},
                                .body = body.dump(),
                                .label = {target.id.text(), ""}},
                               std::min(deadline, now + kOrderDeliveryTimeout));
      if (response.status == kHttpOk)
        return order_accepted{};
      if (response.status == kHttpConflict)
        return order_superseded{};
      return order_not_sent{
          fmt::format("target responded with HTTP status {}", response.status)};
    } catch (const http_error& error) {
      if (error.may_have_been_sent())
        return order_in_doubt{error.what()};
      return order_not_sent{error.what()};
    }
  }

  const std::string issuer_;
  const order_services services_;
  std::map<target_id, lease_term> lease_terms_;
};

}  // namespace

std::unique_ptr<i_order_issuer> MakeOrderIssuer(
    const std::string& issuer,
    const order_services& services) {
  return std::make_unique<order_issuer>(issuer, services);
}

}  // namespace wist
