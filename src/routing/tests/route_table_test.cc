#include <catch2/catch.hpp>

#include "routing/route_table.h"

using namespace wist;

namespace {

route_spec Route(const std::string& name, const std::string& prefix) {
  route_spec route;
  route.name = name;
  route.host = "Desk.example";
  route.path_prefix = prefix;
  route.services = {{service_id("s"), 1}};
  return route;
}

routing_configuration Configuration() {
  routing_configuration configuration;
  configuration.version = 3;
  configuration.routes = {Route("short", "/a/"), Route("long", "/a/b/"),
                          Route("open", "/open/")};
  configuration.routes[2].requires_api_key = false;
  configuration.workspaces = {{workspace_id("w"), {"k1", "k2"}, std::nullopt}};
  configuration.services = {{service_id("s")}};
  return configuration;
}

std::string MatchedName(const route_table& table, const std::string& path) {
  const auto match = table.Match("desk.example:80", path, "k1");
  const auto* found = std::get_if<route_match>(&match);
  return found ? found->route->name : "";
}

}  // namespace

TEST_CASE("the longest matching path prefix of the host is chosen") {
  const route_table table(Configuration());
  CHECK(MatchedName(table, "/a/x") == "short");
  CHECK(MatchedName(table, "/a/b/x") == "long");
  CHECK(MatchedName(table, "/a/b/?q=/a/") == "long");
  CHECK(MatchedName(table, "/a/b") == "short");
  CHECK(MatchedName(table, "/ab/x").empty());
  CHECK(MatchedName(table, "/").empty());
  CHECK(MatchedName(table, "a").empty());
}

TEST_CASE("an unknown host has no route") {
  const route_table table(Configuration());
  CHECK(std::get<route_error>(table.Match("other", "/a/x", "k1")) ==
        route_error::no_route);
}

TEST_CASE(
    "an API key identifies its workspace, and an unknown key is refused") {
  const route_table table(Configuration());
  CHECK(std::get<route_match>(table.Match("desk.example", "/a/x", "k2"))
            .workspace->id == workspace_id("w"));
  CHECK(std::get<route_error>(table.Match("desk.example", "/a/x", "k3")) ==
        route_error::unknown_key);
  CHECK(std::get<route_error>(table.Match("desk.example", "/a/x", "")) ==
        route_error::unknown_key);
}

TEST_CASE("a route that requires no API key accepts any key") {
  const route_table table(Configuration());
  CHECK(std::get<route_match>(table.Match("desk.example", "/open/x", "?"))
            .workspace == nullptr);
}

TEST_CASE("services are selected by weight") {
  route_spec route = Route("split", "/");
  route.services = {{service_id("a"), 90}, {service_id("b"), 10}};
  CHECK(PickService(route, 0.0) == service_id("a"));
  CHECK(PickService(route, 0.899) == service_id("a"));
  CHECK(PickService(route, 0.901) == service_id("b"));
  CHECK(PickService(route, 0.9999) == service_id("b"));
}

TEST_CASE("only more urgent streams with a shorter objective are urgent") {
  routing_configuration configuration = Configuration();
  route_spec& patient = configuration.routes[0];
  route_spec& urgent = configuration.routes[1];
  patient.kind = urgent.kind = call_kind::streaming;
  patient.priority = 2;
  patient.first_byte_objective = milliseconds(4000);
  urgent.first_byte_objective = milliseconds(1500);
  const route_table table(configuration);
  CHECK(table.UrgentObjective(service_id("s"), patient) == milliseconds(1500));
  CHECK_FALSE(table.UrgentObjective(service_id("s"), urgent));
  CHECK_FALSE(table.UrgentObjective(service_id("other"), patient));

  urgent.first_byte_objective = milliseconds(5000);
  const route_table slower(configuration);
  CHECK_FALSE(slower.UrgentObjective(service_id("s"), patient));
}
