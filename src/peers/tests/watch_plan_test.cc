#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "peers/tree_neighbors.h"

// Tests that many instances can follow the store with few calls to it, because
// the store charges for each call.

using namespace wist;

namespace {

known_instance Instance(int number, const std::string& domain = "d") {
  return {"i" + std::to_string(number),
          domain_id(domain),
          {"10.0.0." + std::to_string(number), 7200}};
}

std::vector<known_instance> Instances(int count) {
  std::vector<known_instance> all;
  for (int i = 0; i < count; ++i)
    all.push_back(Instance(i));
  return all;
}

constexpr timestamp kStart{};

// Returns from where `self` reads if all instances in `all` respond; nothing if
// it reads the store itself.
std::optional<known_instance> FindSource(const known_instance& self,
                                         const std::vector<known_instance>& all,
                                         bool store_refuses = false) {
  std::vector<known_instance> others;
  for (const known_instance& instance : all) {
    if (instance.name != self.name)
      others.push_back(instance);
  }
  tree_neighbors neighbors(self);
  neighbors.SetInstances(others, kStart);
  for (const tree_neighbor& neighbor : neighbors.Current()) {
    neighbors.OnReport(neighbor.name, neighbor.address,
                       neighbor.role == neighbor_role::parent
                           ? neighbor_role::child
                           : neighbor_role::root,
                       kStart);
  }
  for (const known_instance& other : others) {
    if (store_refuses && FindSource(other, all) == self)
      neighbors.OnReport(other.name, other.address, neighbor_role::parent,
                         kStart);
  }
  return neighbors.ChooseSource({}, store_refuses, kStart).instance;
}

}  // namespace

TEST_CASE("one instance of a domain reads the store, the others form a tree") {
  for (const int count : {1, 3, 9, 70, 410}) {
    const auto all = Instances(count);
    int roots = 0;
    std::map<std::string, std::size_t> children;
    for (const known_instance& self : all) {
      int depth = 0;
      auto parent = FindSource(self, all);
      roots += parent ? 0 : 1;
      if (parent)
        ++children[parent->name];
      for (; parent; parent = FindSource(*parent, all))
        ++depth;
      CHECK(depth <= 3);
    }
    CHECK(roots == 1);
    for (const auto& [name, number] : children)
      CHECK(number <= kWatchFanOut);
  }
}

TEST_CASE(
    "one domain's root reads the store, the roots of the others read from it") {
  std::vector<known_instance> all;
  for (int i = 0; i < 71; ++i)
    all.push_back(Instance(i, "d" + std::to_string(i % 5)));
  int roots = 0;
  int cross_domain_reads = 0;
  for (const known_instance& self : all) {
    const auto parent = FindSource(self, all);
    roots += parent ? 0 : 1;
    cross_domain_reads += parent && parent->domain != self.domain ? 1 : 0;
  }
  CHECK(roots == 1);
  CHECK(cross_domain_reads == 4);
}

TEST_CASE("a domain that loses its root gets another one") {
  auto all = Instances(9);
  const auto root = std::find_if(
      all.begin(), all.end(),
      [&](const known_instance& self) { return !FindSource(self, all); });
  all.erase(root);
  int roots = 0;
  for (const known_instance& self : all)
    roots += FindSource(self, all) ? 0 : 1;
  CHECK(roots == 1);
}

TEST_CASE("instances with fast links are the parents of the others") {
  auto all = Instances(30);
  for (int i : {3, 17})
    all[i].link_mbps = 200;
  for (const known_instance& self : all) {
    const auto parent = FindSource(self, all);
    if (self.link_mbps == 0) {
      REQUIRE(parent);
      CHECK((parent->link_mbps == 200 || FindSource(*parent, all)));
    }
  }
  const auto root = std::find_if(
      all.begin(), all.end(),
      [&](const known_instance& self) { return !FindSource(self, all); });
  CHECK(root->link_mbps == 200);
}

TEST_CASE("an announcement is unchanged by encoding and decoding") {
  known_instance fast = Instance(3);
  fast.link_mbps = 200;
  CHECK(DecodeAnnouncement("i3", EncodeAnnouncement(fast, 7)) ==
        announcement{fast, 7});
  known_instance relaying = fast;
  relaying.relay_port = 7201;
  CHECK(EncodeAnnouncement(relaying, 7) == "10.0.0.3:7200 d 200 7 7201");
  CHECK(DecodeAnnouncement("i3", "10.0.0.3:7200 d 200 7 7201 later") ==
        announcement{relaying, 7});
  CHECK(DecodeAnnouncement("i3", "10.0.0.3:7200 d 200 7 70000") ==
        announcement{fast, 7});
  CHECK(DecodeAnnouncement("i3", "10.0.0.3:7200 d") ==
        announcement{Instance(3), std::nullopt});
  CHECK(DecodeAnnouncement("i3", "10.0.0.3:7200 d 200") ==
        announcement{fast, std::nullopt});
  CHECK_FALSE(DecodeAnnouncement("i3", ""));
  CHECK_FALSE(DecodeAnnouncement("i3", "nonsense d"));
}

TEST_CASE("a root that the store rejects has a substitute parent") {
  const auto all = Instances(9);
  for (const known_instance& self : all) {
    if (!FindSource(self, all))
      CHECK(FindSource(self, all, true));
  }
  CHECK_FALSE(FindSource(all[0], {all[0]}, true));
}
