#include <catch2/catch.hpp>
#include <vector>

#include "configuration/configuration_module.h"
#include "configuration/tests/mocks/sample_configuration.h"

namespace wist {

TEST_CASE("an older version does not replace the current one") {
  const auto holder = MakeConfigurationHolder();
  CHECK(holder->Offer(SampleDocument(5)) == offer_result::accepted);
  CHECK(holder->Offer(SampleDocument(4)) == offer_result::older);
  CHECK(holder->Offer(SampleDocument(5)) == offer_result::same);
  CHECK(holder->Current()->version == 5);
}

TEST_CASE("different content under the current version is rejected") {
  const auto holder = MakeConfigurationHolder();
  holder->Offer(SampleDocument(5));
  configuration_document fork = SampleDocument(5);
  fork.change_id = "other";
  CHECK(holder->Offer(fork) == offer_result::fork);
  CHECK(holder->Current()->change_id == "change-5");
}

TEST_CASE("subscribers are notified of accepted documents only") {
  const auto holder = MakeConfigurationHolder();
  std::vector<std::int64_t> notified_versions;
  holder->Subscribe([&](const auto& document) {
    notified_versions.push_back(document->version);
  });
  holder->Offer(SampleDocument(2));
  holder->Offer(SampleDocument(1));
  holder->Offer(SampleDocument(3));
  CHECK(notified_versions == std::vector<std::int64_t>{2, 3});
}

}  // namespace wist
