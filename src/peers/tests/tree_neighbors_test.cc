#include <catch2/catch.hpp>

#include <algorithm>

#include "peers/tree_neighbors.h"

using namespace wist;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

// Instances with faster links come first in the tree.
known_instance Instance(const std::string& name,
                        std::int64_t link_mbps,
                        const std::string& domain = "d") {
  return {name, domain_id(domain), {"host-" + name, 7200}, link_mbps};
}

// Returns the instance from which the store is read, or nothing for the store.
std::string SourceName(const tree_neighbors& neighbors,
                       const std::set<std::string>& unusable = {}) {
  const auto source = neighbors.ChooseSource(unusable, false, At(0)).instance;
  return source ? source->name : "";
}

std::vector<std::string> Names(const tree_neighbors& neighbors) {
  std::vector<std::string> names;
  for (const tree_neighbor& neighbor : neighbors.Current())
    names.push_back(neighbor.name);
  return names;
}

}  // namespace

TEST_CASE("a parent counts from its first report until it is silent") {
  tree_neighbors neighbors(Instance("self", 10));
  neighbors.SetInstances({Instance("p", 200)}, At(0));
  CHECK(Names(neighbors) == std::vector<std::string>{"p"});
  CHECK_FALSE(neighbors.Parent());
  CHECK(neighbors.OnReport("p", {"host-p", 7200}, neighbor_role::child, At(5)));
  REQUIRE(neighbors.Parent());
  CHECK_FALSE(neighbors.IsRoot());
  neighbors.Check(At(604));
  CHECK(neighbors.Parent());
  // Nobody else precedes this instance.
  neighbors.Check(At(606));
  CHECK(neighbors.IsRoot());
  CHECK_FALSE(neighbors.Parent());
  CHECK(Names(neighbors).empty());
  neighbors.Check(At(2700));
  CHECK(Names(neighbors) == std::vector<std::string>{"p"});
}

TEST_CASE("a silent parent is kept until the next one responds") {
  tree_neighbors neighbors(Instance("self", 10));
  neighbors.SetInstances({Instance("p", 200), Instance("q", 100)}, At(0));
  neighbors.OnReport("p", {}, neighbor_role::child, At(0));
  neighbors.TakeDropped();
  neighbors.Check(At(600));
  CHECK(Names(neighbors) == std::vector<std::string>{"p", "q"});
  CHECK(neighbors.TakeDropped().empty());
  CHECK(neighbors.OnReport("q", {}, neighbor_role::child, At(605)));
  CHECK(neighbors.Parent()->name == "q");
  const auto dropped = neighbors.TakeDropped();
  REQUIRE(dropped.size() == 1);
  CHECK(dropped[0].name == "p");
  CHECK_FALSE(neighbors.OnReport("p", {}, neighbor_role::child, At(610)));
}

TEST_CASE("a parent that is back is used again after its backoff") {
  tree_neighbors neighbors(Instance("self", 10));
  neighbors.SetInstances({Instance("p", 200), Instance("q", 100)}, At(0));
  neighbors.Check(At(600));
  neighbors.OnReport("q", {}, neighbor_role::child, At(601));
  for (int ms = 650; ms < 3000; ms += 50) {
    neighbors.Check(At(ms));
    neighbors.OnReport("q", {}, neighbor_role::child, At(ms));
  }
  CHECK(Names(neighbors) == std::vector<std::string>{"q", "p"});
  neighbors.OnReport("p", {}, neighbor_role::child, At(3000));
  CHECK(neighbors.Parent()->name == "p");
}

TEST_CASE("a child counts while it reports") {
  tree_neighbors neighbors(Instance("self", 100));
  neighbors.SetInstances({Instance("c", 10)}, At(0));
  CHECK(neighbors.OnReport("c", {"10.0.0.7", 7200}, neighbor_role::parent,
                           At(0)) == neighbor_role::child);
  REQUIRE(neighbors.Current().size() == 1);
  CHECK(neighbors.Current()[0].address == http_address{"10.0.0.7", 7200});
  neighbors.Check(At(999));
  CHECK(neighbors.Current().size() == 1);
  neighbors.Check(At(1000));
  CHECK(neighbors.Current().empty());
  CHECK(neighbors.TakeDropped().size() == 1);
}

TEST_CASE("an instance that precedes this one cannot be its child") {
  tree_neighbors neighbors(Instance("self", 100));
  neighbors.SetInstances({Instance("p", 200)}, At(0));
  CHECK_FALSE(neighbors.OnReport("p", {}, neighbor_role::parent, At(0)));
}

TEST_CASE("only a root exchanges reports with the roots of other domains") {
  tree_neighbors root(Instance("self", 200));
  root.SetInstances({Instance("r", 200, "e"), Instance("s", 100, "e")}, At(0));
  CHECK(Names(root) == std::vector<std::string>{"r"});
  CHECK(root.OnReport("r", {}, neighbor_role::root, At(0)) ==
        neighbor_role::root);
  // A second instance of the domain that acts as its root is not counted.
  CHECK_FALSE(root.OnReport("s", {}, neighbor_role::root, At(10)));
  CHECK(root.OtherRoots().size() == 1);
  root.Check(At(600));
  CHECK(root.OnReport("s", {}, neighbor_role::root, At(610)));
  CHECK(root.OtherRoots().at(0).name == "s");

  tree_neighbors leaf(Instance("leaf", 10));
  leaf.SetInstances({Instance("p", 200), Instance("r", 200, "e")}, At(0));
  CHECK_FALSE(leaf.OnReport("r", {}, neighbor_role::root, At(0)));
}

TEST_CASE("a mirror is read from the parent once it was heard") {
  tree_neighbors neighbors(Instance("self", 10));
  neighbors.SetInstances({Instance("p", 200), Instance("q", 100)}, At(0));
  CHECK(SourceName(neighbors).empty());
  neighbors.OnReport("p", {}, neighbor_role::child, At(0));
  CHECK(SourceName(neighbors) == "p");
  CHECK(SourceName(neighbors, {"p"}) == "q");
}

TEST_CASE("the first of the roots that were heard reads from the store") {
  tree_neighbors neighbors(Instance("self", 150));
  neighbors.SetInstances(
      {Instance("r", 200, "e"), Instance("s", 300, "f"), Instance("c", 10)},
      At(0));
  CHECK(SourceName(neighbors).empty());
  neighbors.OnReport("r", {}, neighbor_role::root, At(0));
  CHECK(SourceName(neighbors) == "r");
  neighbors.OnReport("s", {}, neighbor_role::root, At(0));
  CHECK(SourceName(neighbors) == "s");
  CHECK(SourceName(neighbors, {"s"}) == "r");
}

// While the store is unavailable to all, only a few instances try it.
TEST_CASE("patience grows with the depth in the tree") {
  CHECK(SourcePatience(0) == milliseconds(0));
  CHECK(SourcePatience(1) > milliseconds(0));
  CHECK(SourcePatience(2) > SourcePatience(1));
  // Revoked keys are refused after five seconds without a confirmation.
  CHECK(SourcePatience(5) <= milliseconds(3000));
  std::vector<known_instance> others = {Instance("root", 1000)};
  for (int i = 0; i < 20; ++i)
    others.push_back(Instance("p" + std::to_string(i), 200));
  tree_neighbors leaf(Instance("leaf", 10));
  leaf.SetInstances(others, At(0));
  leaf.OnReport(leaf.Current().at(0).name, {}, neighbor_role::child, At(0));
  CHECK(leaf.ChooseSource({}, false, At(0)).patience == SourcePatience(2));
}
