#include <catch2/catch.hpp>
// Has to follow the Catch2 header, through which it reports mock violations.
#include <catch2/trompeloeil.hpp>

#include "configuration/tests/mocks/sample_configuration.h"
#include "framework/base/tests/mocks/virtual_clock.h"
#include "orders/orders_module.h"
#include "store/tests/mocks/model_kv_store.h"

namespace wist {
namespace {

using trompeloeil::_;

class mock_http_client final : public i_http_client {
 public:
  MAKE_MOCK3(Call,
             http_response(const http_address&, const http_request&, timestamp),
             override);
  MAKE_MOCK4(Open,
             std::unique_ptr<i_http_stream>(const http_address&,
                                            const http_request&,
                                            timestamp,
                                            milliseconds),
             override);
};

struct fixture {
  std::unique_ptr<i_order_issuer> Issuer(const std::string& name) {
    return MakeOrderIssuer(name, {store, http, clock, [this](timestamp at) {
                                    clock->Advance(at - clock->Now());
                                  }});
  }
  target_spec Target(bool checks_fencing) const {
    target_spec target = SampleBody().targets[0];
    target.checks_fencing = checks_fencing;
    return target;
  }
  timestamp Deadline() const { return clock->Now() + seconds(30); }

  const engine_order order = load_model_order{"design-7b", "3"};
  std::shared_ptr<virtual_clock> clock = std::make_shared<virtual_clock>();
  std::shared_ptr<model_kv_store> store =
      std::make_shared<model_kv_store>(*clock);
  std::shared_ptr<mock_http_client> http = std::make_shared<mock_http_client>();
};

}  // namespace

TEST_CASE_METHOD(fixture, "an order contains the fencing number of its lease") {
  REQUIRE_CALL(*http, Call(_, _, _))
      .WITH(_2.path == "/orders" &&
            _2.body.find("\"fencing_number\":1") != std::string::npos)
      .RETURN(http_response{200, {}, ""});
  const auto result = Issuer("a")->Issue(Target(true), order, Deadline());
  CHECK(std::holds_alternative<order_accepted>(result));
}

TEST_CASE_METHOD(fixture, "an issuer without the lease sends no order") {
  ALLOW_CALL(*http, Call(_, _, _)).RETURN(http_response{200, {}, ""});
  Issuer("a")->Issue(Target(true), order, Deadline());
  const auto second = Issuer("b")->Issue(Target(true), order, Deadline());
  CHECK(std::holds_alternative<order_lease_unavailable>(second));
}

TEST_CASE_METHOD(
    fixture,
    "a conflict response means that the fencing number is outdated") {
  REQUIRE_CALL(*http, Call(_, _, _)).RETURN(http_response{409, {}, ""});
  const auto result = Issuer("a")->Issue(Target(true), order, Deadline());
  CHECK(std::holds_alternative<order_superseded>(result));
}

TEST_CASE_METHOD(
    fixture,
    "orders of the previous holder are waited for if the target does not "
    "check fencing numbers") {
  const auto first = Issuer("a");
  ALLOW_CALL(*http, Call(_, _, _)).RETURN(http_response{200, {}, ""});
  first->Issue(Target(false), order, Deadline());
  clock->Advance(kOrderLeaseValidity + kOrderDeliveryTimeout);
  const timestamp lease_acquired_at = clock->Now();
  const auto second = Issuer("b");
  CHECK(std::holds_alternative<order_accepted>(
      second->Issue(Target(false), order, Deadline())));
  CHECK(clock->Now() >= lease_acquired_at + kOrderDeliveryTimeout);
  // Further orders under the same lease are sent without a wait.
  const timestamp before = clock->Now();
  second->Issue(Target(false), order, Deadline());
  CHECK(clock->Now() == before);
}

TEST_CASE_METHOD(
    fixture,
    "an issuer that lost its lease while it waited sends no order") {
  FORBID_CALL(*http, Call(_, _, _));
  const auto delayed = MakeOrderIssuer(
      "a", {store, http, clock, [this](timestamp) {
              clock->Advance(seconds(60));
              store->AcquireLease("wisteriatally/orders/engine-1", "b",
                                  seconds(60), clock->Now());
            }});
  const auto result = delayed->Issue(Target(false), order, Deadline());
  CHECK(std::holds_alternative<order_lease_unavailable>(result));
}

TEST_CASE_METHOD(fixture,
                 "an order without a response is reported as in doubt") {
  REQUIRE_CALL(*http, Call(_, _, _)).THROW(http_error(true, true, "timeout"));
  const auto result = Issuer("a")->Issue(Target(true), order, Deadline());
  CHECK(std::holds_alternative<order_in_doubt>(result));
}

}  // namespace wist
