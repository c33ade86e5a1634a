#ifndef CONFIGURATION_TESTS_MOCKS_SAMPLE_CONFIGURATION_H_
#define CONFIGURATION_TESTS_MOCKS_SAMPLE_CONFIGURATION_H_

#include "configuration/configuration_types.h"

namespace wist {

// A small valid configuration: two failure domains with an engine each, and a
// plain target.
inline configuration_body SampleBody() {
  configuration_body body;
  body.domains = {{domain_id("rennes"), "brittany", domain_state::in, 3},
                  {domain_id("brest"), "brittany", domain_state::in, 3}};
  target_spec engine;
  engine.id = target_id("engine-1");
  engine.domain = domain_id("rennes");
  engine.host = "127.0.0.1";
  engine.port = 9001;
  engine.memory_tokens = 40000;
  target_spec second = engine;
  second.id = target_id("engine-2");
  second.domain = domain_id("brest");
  second.port = 9002;
  target_spec plain = engine;
  plain.id = target_id("desk-1");
  plain.kind = service_kind::plain;
  plain.port = 9003;
  plain.memory_tokens = 0;
  body.targets = {engine, second, plain};
  body.workspaces = {{workspace_id("salon-rennes"), 500, 600, 1},
                     {workspace_id("planners"), 500, 600, 2}};
  service_spec briefs;
  briefs.id = service_id("briefs");
  briefs.model = "design-7b";
  service_spec deposits;
  deposits.id = service_id("deposits");
  deposits.kind = service_kind::plain;
  deposits.repeatable = false;
  body.services = {briefs, deposits};
  body.rules = {
      {workspace_id("*"),
       service_id("briefs"),
       {target_id("engine-1"), target_id("engine-2")}},
      {workspace_id("*"), service_id("deposits"), {target_id("desk-1")}}};
  return body;
}

inline configuration_document SampleDocument(std::int64_t version) {
  configuration_document document;
  document.version = version;
  document.change_id = "change-" + std::to_string(version);
  document.author = "operator";
  document.body = SampleBody();
  return document;
}

}  // namespace wist

#endif  // CONFIGURATION_TESTS_MOCKS_SAMPLE_CONFIGURATION_H_
