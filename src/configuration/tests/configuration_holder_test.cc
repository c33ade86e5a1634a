#include <catch2/catch.hpp>
#include <vector>

#include "configuration/configuration_module.h"
#include "configuration/tests/mocks/sample_configuration.h"

namespace wist {

TEST_CASE("the holder never goes back to an older version") {
  const auto holder = MakeConfigurationHolder();
  CHECK(holder->Offer(SampleDocument(5)) == offer_result::accepted);
  CHECK(holder->Offer(SampleDocument(4)) == offer_result::older);
  CHECK(holder->Offer(SampleDocument(5)) == offer_result::same);
  CHECK(holder->Current()->version == 5);
}

TEST_CASE("another content under the held version is not taken") {
  const auto holder = MakeConfigurationHolder();
  holder->Offer(SampleDocument(5));
  configuration_document fork = SampleDocument(5);
  fork.change_id = "other";
  CHECK(holder->Offer(fork) == offer_result::fork);
  CHECK(holder->Current()->change_id == "change-5");
}

TEST_CASE("subscribers are told of accepted documents only") {
  const auto holder = MakeConfigurationHolder();
  std::vector<std::int64_t> told;
  holder->Subscribe(
      [&](const auto& document) { told.push_back(document->version); });
  holder->Offer(SampleDocument(2));
  holder->Offer(SampleDocument(1));
  holder->Offer(SampleDocument(3));
  CHECK(told == std::vector<std::int64_t>{2, 3});
}

}  // namespace wist
