#include <catch2/catch.hpp>

#include "configuration/configuration_text.h"
#include "configuration/tests/mocks/sample_configuration.h"
#include "framework/base/tests/mocks/virtual_clock.h"
#include "operator_api/configuration_builder.h"
#include "operator_api/operator_api_module.h"
#include "store/tests/mocks/model_kv_store.h"

namespace wist {
namespace {

struct fixture {
  timestamp Deadline() const { return clock->Now() + seconds(5); }

  std::shared_ptr<virtual_clock> clock = std::make_shared<virtual_clock>();
  std::shared_ptr<model_kv_store> store =
      std::make_shared<model_kv_store>(*clock);
  std::unique_ptr<i_operator_client> client = MakeOperatorClient(store, clock);
};

}  // namespace

TEST_CASE_METHOD(fixture,
                 "applying a plan puts exactly the planned text in force") {
  const change_plan plan = client->Plan(SampleBody(), Deadline());
  const auto result = client->Apply(plan, "anna", Deadline());
  REQUIRE(std::holds_alternative<change_accepted>(result));
  const configuration_document shown = client->Show(Deadline());
  CHECK(CanonicalText(shown.body) == plan.text);
  CHECK(shown.version == 1);
  CHECK(shown.history.back().digest == plan.digest);
}

TEST_CASE_METHOD(
    fixture,
    "a superseded change reports the change that was applied first") {
  const change_plan first = client->Plan(SampleBody(), Deadline());
  const change_plan second = client->Plan(SampleBody(), Deadline());
  const auto won = client->Apply(first, "anna", Deadline());
  const auto lost = client->Apply(second, "bert", Deadline());
  REQUIRE(std::holds_alternative<change_superseded>(lost));
  CHECK(std::get<change_superseded>(lost).author == "anna");
  CHECK(std::get<change_superseded>(lost).change_id ==
        std::get<change_accepted>(won).change_id);
}

TEST_CASE_METHOD(
    fixture,
    "a change whose write got no response is retried until accepted") {
  const change_plan plan = client->Plan(SampleBody(), Deadline());
  SECTION("when the write took effect") {
    store->lost_responses = 1;
  }
  SECTION("when the write did not take effect") {
    store->lost_writes = 1;
  }
  const auto result = client->Apply(plan, "anna", Deadline());
  CHECK(std::holds_alternative<change_accepted>(result));
  CHECK(client->Show(Deadline()).version == 1);
}

TEST_CASE_METHOD(fixture, "an invalid configuration is refused") {
  configuration_body body = SampleBody();
  body.rules[0].targets.clear();
  CHECK_THROWS_AS(client->Plan(body, Deadline()), configuration_refused);
}

TEST_CASE_METHOD(fixture, "a plan shows only the difference") {
  client->Apply(client->Plan(SampleBody(), Deadline()), "anna", Deadline());
  const auto body =
      WithDomainState(SampleBody(), domain_id("brest"), domain_state::out);
  CHECK(client->Plan(body, Deadline()).difference.size() == 2);
  CHECK_THROWS_AS(
      WithDomainState(body, domain_id("nowhere"), domain_state::out),
      std::invalid_argument);
}

}  // namespace wist
