#include <catch2/catch.hpp>

#include <map>

#include "relay/relay_selector.h"

// Tests that the requests of instances that are cut off from the targets are
// spread over the others: half of a domain, a whole one, and 300 instances.

using namespace wist;

namespace {

constexpr timestamp kStart{};

known_instance Instance(const std::string& name, const std::string& domain) {
  known_instance instance;
  instance.name = name;
  instance.domain = domain_id(domain);
  instance.address = {name, 7200};
  instance.relay_port = 7201;
  return instance;
}

std::vector<known_instance> Domains(int domain_count, int size) {
  std::vector<known_instance> all;
  for (int d = 0; d < domain_count; ++d) {
    for (int i = 0; i < size; ++i)
      all.push_back(Instance("i" + std::to_string(d) + "-" + std::to_string(i),
                             "d" + std::to_string(d)));
  }
  return all;
}

std::string Choose(const relay_selector& relays,
                   const std::string& request,
                   const std::set<std::string>& excluded = {},
                   timestamp now = kStart) {
  const auto chosen = relays.Choose(request, excluded, now);
  return chosen ? chosen->name : "";
}

}  // namespace

TEST_CASE("an instance without a relay port is never chosen") {
  relay_selector relays;
  known_instance earlier = Instance("a", "d0");
  earlier.relay_port = 0;
  relays.SetInstances(domain_id("d0"), {earlier});
  CHECK_FALSE(relays.HasInstances());
  CHECK(Choose(relays, "r").empty());
}

TEST_CASE("instances of the own domain come first") {
  relay_selector relays;
  relays.SetInstances(domain_id("d1"), Domains(3, 4));
  for (int i = 0; i < 100; ++i)
    CHECK(Choose(relays, std::to_string(i)).starts_with("i1-"));
}

TEST_CASE("a domain in which an instance refused comes last for a second") {
  relay_selector relays;
  relays.SetInstances(domain_id("d1"), Domains(3, 4));
  relays.OnRefusal("i1-2", kStart);
  for (int i = 0; i < 100; ++i)
    CHECK_FALSE(Choose(relays, std::to_string(i)).starts_with("i1-"));
  CHECK(
      Choose(relays, "r", {}, kStart + milliseconds(1000)).starts_with("i1-"));
}

TEST_CASE("instances that are cut off too refuse a request once") {
  // Five of eight instances have no path, and each request may be refused
  // three times.
  relay_selector relays;
  std::vector<known_instance> others;
  for (int i = 0; i < 7; ++i)
    others.push_back(Instance("i" + std::to_string(i), i < 3 ? "d0" : "d1"));
  relays.SetInstances(domain_id("d0"), others);
  int unserved = 0;
  int refusals = 0;
  for (int ms = 0; ms < 9000; ms += 100) {
    const timestamp now = kStart + milliseconds(ms);
    std::set<std::string> tried;
    bool is_served = false;
    while (!is_served && tried.size() < 3) {
      const std::string name = Choose(relays, std::to_string(ms), tried, now);
      if (name.empty())
        break;
      tried.insert(name);
      is_served = name >= "i4";
      refusals += is_served ? 0 : 1;
      if (is_served)
        relays.OnResponse(name);
      else
        relays.OnRefusal(name, now);
    }
    unserved += is_served ? 0 : 1;
  }
  CHECK(unserved <= 1);
  CHECK(refusals <= 4);
}

TEST_CASE("an instance of a refusing domain is used if there is no other") {
  relay_selector relays;
  relays.SetInstances(domain_id("d0"), Domains(1, 2));
  relays.OnRefusal("i0-0", kStart);
  CHECK(Choose(relays, "r") == "i0-1");
  CHECK(Choose(relays, "r", {"i0-1"}).empty());
}

TEST_CASE("an instance that fails again and again is used ever less often") {
  relay_selector relays;
  relays.SetInstances(domain_id("d0"), {Instance("a", "d0")});
  int tries = 0;
  for (int ms = 0; ms < 60'000; ms += 100) {
    const timestamp now = kStart + milliseconds(ms);
    if (Choose(relays, "r", {}, now).empty())
      continue;
    ++tries;
    relays.OnFailure("a", now);
  }
  CHECK(tries <= 8);
  const timestamp later = kStart + milliseconds(120'000);
  relays.OnResponse("a");
  CHECK(Choose(relays, "r", {}, later) == "a");
}

TEST_CASE("requests spread evenly over 300 instances") {
  std::map<std::string, int> counts;
  // 50 of the 100 instances of a domain are cut off.
  for (int sender = 0; sender < 50; ++sender) {
    relay_selector relays;
    relays.SetInstances(domain_id("d0"), Domains(3, 100));
    for (int i = 0; i < 50; ++i)
      relays.OnFailure("i0-" + std::to_string(i), kStart);
    for (int r = 0; r < 100; ++r) {
      const std::string name =
          Choose(relays, std::to_string(sender) + "/" + std::to_string(r));
      ++counts[name];
      relays.OnStart(name);
      if (r >= 10)
        relays.OnEnd(name);
    }
  }
  CHECK(counts.size() == 50);
  for (const auto& [name, count] : counts)
    CHECK(count < 2 * 100);
}

TEST_CASE("the open relays to one instance are bounded") {
  relay_selector relays;
  relays.SetInstances(domain_id("d0"), {Instance("a", "d0")});
  int open = 0;
  while (!Choose(relays, "r").empty() && open < 1000) {
    relays.OnStart("a");
    ++open;
  }
  CHECK(open == 64);
  relays.OnEnd("a");
  CHECK(Choose(relays, "r") == "a");
}

TEST_CASE("open relays and failures survive a change of the instances") {
  relay_selector relays;
  relays.SetInstances(domain_id("d0"),
                      {Instance("a", "d0"), Instance("b", "d0")});
  relays.OnFailure("a", kStart);
  relays.SetInstances(domain_id("d0"),
                      {Instance("a", "d0"), Instance("c", "d0")});
  CHECK(Choose(relays, "r") == "c");
  CHECK(Choose(relays, "r", {"c"}).empty());
}
