#include <catch2/catch.hpp>
// Catch2 comes first: the mocks report through it.
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
  timestamp Soon() const { return clock->Now() + seconds(30); }

  const engine_order order = load_model_order{"design-7b", "3"};
  std::shared_ptr<virtual_clock> clock = std::make_shared<virtual_clock>();
  std::shared_ptr<model_kv_store> store =
      std::make_shared<model_kv_store>(*clock);
  std::shared_ptr<mock_http_client> http = std::make_shared<mock_http_client>();
};

}  // namespace

TEST_CASE_METHOD(fixture, "an order carries the fencing number") {
  REQUIRE_CALL(*http, Call(_, _, _))
      .WITH(_2.path == "/orders" &&
            _2.body.find("\"fencing_number\":1") != std::string::npos)
      .RETURN(http_response{200, {}, ""});
  const auto result = Issuer("a")->Issue(Target(true), order, Soon());
  CHECK(std::holds_alternative<order_taken>(result));
}

TEST_CASE_METHOD(fixture, "one issuer at a time gives orders") {
  ALLOW_CALL(*http, Call(_, _, _)).RETURN(http_response{200, {}, ""});
  Issuer("a")->Issue(Target(true), order, Soon());
  const auto second = Issuer("b")->Issue(Target(true), order, Soon());
  CHECK(std::holds_alternative<order_held_back>(second));
}

TEST_CASE_METHOD(fixture, "a target that refuses an old number is believed") {
  REQUIRE_CALL(*http, Call(_, _, _)).RETURN(http_response{409, {}, ""});
  const auto result = Issuer("a")->Issue(Target(true), order, Soon());
  CHECK(std::holds_alternative<order_outdated>(result));
}

TEST_CASE_METHOD(fixture, "earlier orders are waited out without fencing") {
  const auto first = Issuer("a");
  ALLOW_CALL(*http, Call(_, _, _)).RETURN(http_response{200, {}, ""});
  first->Issue(Target(false), order, Soon());
  clock->Advance(kOrderLeaseValidity + kOrderTravelLimit);
  const timestamp taken_over_at = clock->Now();
  const auto second = Issuer("b");
  CHECK(std::holds_alternative<order_taken>(
      second->Issue(Target(false), order, Soon())));
  CHECK(clock->Now() >= taken_over_at + kOrderTravelLimit);
  // Its next order goes at once.
  const timestamp before = clock->Now();
  second->Issue(Target(false), order, Soon());
  CHECK(clock->Now() == before);
}

TEST_CASE_METHOD(fixture, "an issuer that slept over its lease sends nothing") {
  FORBID_CALL(*http, Call(_, _, _));
  const auto sleeper = MakeOrderIssuer(
      "a", {store, http, clock, [this](timestamp) {
              clock->Advance(seconds(60));
              store->AcquireLease("wisteriatally/orders/engine-1", "b",
                                  seconds(60), clock->Now());
            }});
  const auto result = sleeper->Issue(Target(false), order, Soon());
  CHECK(std::holds_alternative<order_held_back>(result));
}

TEST_CASE_METHOD(fixture, "an order without an answer is in doubt") {
  REQUIRE_CALL(*http, Call(_, _, _)).THROW(http_error(true, true, "timeout"));
  const auto result = Issuer("a")->Issue(Target(true), order, Soon());
  CHECK(std::holds_alternative<order_in_doubt>(result));
}

}  // namespace wist
