#include <catch2/catch.hpp>
#include <vector>

#include "configuration/configuration_module.h"
#include "configuration/tests/mocks/sample_configuration.h"

namespace wist {

TEST_CASE("an older version does not replace the current one") {
  const auto holder = MakeConfigurationHolder();
  CHECK(holder->UpdateIfNewer(SampleDocument(5)) == update_result::accepted);
  CHECK(holder->UpdateIfNewer(SampleDocument(4)) == update_result::older);
  CHECK(holder->UpdateIfNewer(SampleDocument(5)) == update_result::unchanged);
  CHECK(holder->Current()->version == 5);
}

TEST_CASE("different content under the current version is rejected") {
  const auto holder = MakeConfigurationHolder();
  holder->UpdateIfNewer(SampleDocument(5));
  configuration_document fork = SampleDocument(5);
  fork.change_id = "other";
  CHECK(holder->UpdateIfNewer(fork) == update_result::fork);
  CHECK(holder->Current()->change_id == "change-5");
}

TEST_CASE("subscribers are notified of accepted documents only") {
  const auto holder = MakeConfigurationHolder();
  std::vector<std::int64_t> notified_versions;
  holder->Subscribe([&](const auto& document) {
    notified_versions.push_back(document->version);
  });
  holder->UpdateIfNewer(SampleDocument(2));
  holder->UpdateIfNewer(SampleDocument(1));
  holder->UpdateIfNewer(SampleDocument(3));
  CHECK(notified_versions == std::vector<std::int64_t>{2, 3});
}

}  // namespace wist
