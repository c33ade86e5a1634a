#include "configuration/configuration_text.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "configuration/tests/mocks/sample_configuration.h"

namespace wist {
namespace {

bool HasErrorAt(const configuration_body& body, const std::string& path) {
  const auto errors = Validate(body);
  return std::any_of(
      errors.begin(), errors.end(),
      [&](const configuration_error& error) { return error.path == path; });
}

}  // namespace

TEST_CASE("a document is unchanged by encoding and decoding") {
  configuration_document document = SampleDocument(7);
  document.body = Canonicalize(document.body);
  document.history = {{6, "change-6", "operator", "digest"}};
  CHECK(DecodeDocument(EncodeDocument(document)) == document);
}

TEST_CASE("the canonical text does not depend on the order of lists") {
  configuration_body body = SampleBody();
  const std::string text = CanonicalText(body);
  std::reverse(body.targets.begin(), body.targets.end());
  std::reverse(body.rules.begin(), body.rules.end());
  CHECK(CanonicalText(body) == text);
  CHECK(BodyDigest(body) == BodyDigest(SampleBody()));
}

TEST_CASE("a malformed text is rejected with the path of the error") {
  CHECK_THROWS_AS(DecodeBody("{"), configuration_parse_error);
  CHECK_THROWS_WITH(DecodeBody(R"({"domains": 3})"),
                    Catch::Contains("domains"));
  CHECK_THROWS_WITH(DecodeBody(R"({"domains": [{"id": 3}]})"),
                    Catch::Contains("domains[0].id"));
}

TEST_CASE("the sample configuration is valid") {
  CHECK(Validate(SampleBody()).empty());
}

TEST_CASE("validation errors name the paths of their entries") {
  configuration_body body = SampleBody();
  body.targets[0].domain = domain_id("nowhere");
  CHECK(HasErrorAt(body, "targets.engine-1"));

  body = SampleBody();
  body.workspaces[0].share_permille = 501;
  CHECK(HasErrorAt(body, "workspaces"));

  body = SampleBody();
  body.workspaces.push_back(body.workspaces[0]);
  CHECK(HasErrorAt(body, "workspaces.salon-rennes"));

  body = SampleBody();
  body.rules[0].targets.clear();
  CHECK(HasErrorAt(body, "rules.*/briefs"));

  body = SampleBody();
  body.rules[0].targets = {target_id("desk-1")};
  CHECK(HasErrorAt(body, "rules.*/briefs"));
}

TEST_CASE("a configuration above the store's size limit is rejected") {
  configuration_body body = SampleBody();
  body.services[0].model = std::string(kMaxDocumentBytes, 'm');
  CHECK(HasErrorAt(body, "configuration"));
}

TEST_CASE("the difference names exactly the changed lines") {
  configuration_body changed = SampleBody();
  changed.domains[0].state = domain_state::out;
  CHECK(DifferenceLines(SampleBody(), changed) ==
        std::vector<std::string>{"-      \"state\": \"in\"",
                                 "+      \"state\": \"out\""});
  CHECK(DifferenceLines(SampleBody(), SampleBody()).empty());
}

}  // namespace wist
