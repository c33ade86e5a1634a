#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "peers/rollout_table.h"
#include "peers/tests/mocks/simulated_fleet.h"

using namespace wist;

namespace {

const rollout_id kRollout{service_id("desk"), 71};

// One response of each version, and one more of the new one that is bad.
rollout_sums OneInstance(std::uint64_t unfinished = 0) {
  rollout_sums sums;
  sums.id = kRollout;
  sums.instances = 1;
  sums.unfinished = unfinished;
  sums.samples.Add({1, 2}, version_side::old_version, {false, milliseconds(3)});
  sums.samples.Add({1, 2}, version_side::new_version, {false, milliseconds(3)});
  sums.samples.Add({1, 2}, version_side::new_version, {true, std::nullopt});
  return sums;
}

void EnableAll(simulated_fleet& fleet, const bool& is_active) {
  fleet.ForEach([&](auto& node) {
    node.exchange.EnableRollouts([&is_active] {
      return is_active ? std::vector<rollout_sums>{OneInstance(2)}
                       : std::vector<rollout_sums>{};
    });
  });
}

}  // namespace

// An instance of an earlier version reads the first eight fields and ignores
// further ones; it sends only these.
TEST_CASE("a report without roll-outs has the encoding of earlier versions") {
  peer_report report{"a", 5, 7, neighbor_role::child};
  report.loads = {{target_id("t"), 1, 2, 3, 4}};
  const auto expected = nlohmann::json::to_msgpack(nlohmann::json::array(
      {2, "a", 5, 7, 1, false, {{"t", 1, 2, 3, 4}}, nlohmann::json::array()}));
  CHECK(EncodePeerReport(report) ==
        std::string(expected.begin(), expected.end()));
  CHECK(DecodePeerReport(EncodePeerReport(report)) == report);
  report.rollouts = {OneInstance(3)};
  const std::string bytes = EncodePeerReport(report);
  CHECK(DecodePeerReport(bytes) == report);
  const auto fields = nlohmann::json::from_msgpack(bytes);
  CHECK(nlohmann::json::to_msgpack(nlohmann::json(std::vector<nlohmann::json>(
            fields.begin(), fields.begin() + 8))) == expected);
}

// Guards against a datagram that is too large to be sent.
TEST_CASE("the sums of one roll-out are bounded in size") {
  rollout_sums sums = OneInstance();
  sums.id.service = service_id(std::string(200, 's'));
  stratum_counts full;
  for (auto* counts : {&full.old_version, &full.new_version}) {
    counts->responses = counts->bad = 4'000'000'000;
    counts->latencies.fill(4'000'000'000);
  }
  for (std::uint32_t i = 1; i < 200; ++i)
    sums.samples.Add({0x80000000 + i, 0x90000000 + i}, full);
  peer_report report{"a", 5, 7, neighbor_role::child};
  report.rollouts = {sums};
  CHECK(EncodePeerReport(report).size() < 32'768);
}

TEST_CASE("sums with fields of the wrong type are not decoded") {
  peer_report report{"a", 5, 7, neighbor_role::child};
  report.rollouts = {OneInstance()};
  const auto fields = nlohmann::json::from_msgpack(EncodePeerReport(report));
  const auto decode = [&](const char* path, const nlohmann::json& value) {
    auto changed = fields;
    changed[nlohmann::json::json_pointer(path)] = value;
    const auto bytes = nlohmann::json::to_msgpack(changed);
    return DecodePeerReport(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  };
  CHECK(decode("/8/0/2", 1));
  for (const char* path :
       {"/8/0", "/8/0/1", "/8/0/2", "/8/0/3", "/8/0/5/0", "/8/0/5/0/0",
        "/8/0/5/0/2", "/8/0/5/0/2/0", "/8/0/6"}) {
    INFO(path);
    CHECK_FALSE(decode(path, "x"));
    CHECK_FALSE(decode(path, -1.5));
  }
  CHECK_FALSE(decode("/8/0/2", -1));
  CHECK_FALSE(decode("/8/0/5/0/2/0", 5'000'000'000));
  // A later version may have more latency buckets.
  CHECK(decode("/8/0/5/0/2/2", 200));
}

TEST_CASE("a root passes on to other roots what its own domain reported") {
  rollout_table table;
  const timestamp now{milliseconds(1000)};
  table.SetOwn({OneInstance()});
  rollout_sums from_child = OneInstance(4);
  from_child.found_bad = true;
  table.SetReported("child", neighbor_role::child, {from_child}, now);
  table.SetReported("root", neighbor_role::root, {OneInstance()}, now);
  const auto count = [&](const char* name, neighbor_role role) {
    const auto sums = table.SumsFor(name, role, now);
    return sums.empty() ? 0 : sums[0].instances;
  };
  CHECK(count("root", neighbor_role::root) == 2);
  CHECK(count("child", neighbor_role::child) == 2);
  CHECK(count("other", neighbor_role::child) == 3);
  const auto others = table.Others(now + milliseconds(300));
  REQUIRE(others.size() == 1);
  CHECK(others[0].unfinished == 4);
  CHECK(others[0].found_bad);
  CHECK(others[0].age == milliseconds(300));
  table.RemoveNeighbor("child");
  CHECK(table.Others(now)[0].instances == 1);
  table.Expire(now + milliseconds(3000));
  CHECK(table.Others(now).empty());
}

// Guards against a bad version that no single instance can recognize: each of
// them has seen one bad response.
TEST_CASE("each instance learns the sums of the whole fleet") {
  for (const int size : {1, 8, 66, 195}) {
    INFO(size);
    simulated_fleet fleet(size, 3);
    bool is_active = true;
    EnableAll(fleet, is_active);
    fleet.Advance(milliseconds(3000));
    const auto expected = static_cast<std::uint32_t>(size - 1);
    int complete = 0;
    fleet.ForEach([&](auto& node) {
      const auto others = node.exchange.OthersRollouts();
      const std::uint32_t instances = others.empty() ? 0 : others[0].instances;
      const std::uint32_t bad =
          others.empty() ? 0 : others[0].samples.Total().new_version.bad;
      const bool is_recent =
          others.empty() || others[0].age < milliseconds(2000);
      if (instances == expected && bad == expected && is_recent)
        ++complete;
    });
    CHECK(complete == size);
  }
}

TEST_CASE("sums end with the roll-out and with the loss of an instance") {
  simulated_fleet fleet(12, 2);
  bool is_active = true;
  EnableAll(fleet, is_active);
  fleet.Advance(milliseconds(3000));
  fleet.KillNode("i11");
  fleet.Advance(milliseconds(4000));
  fleet.ForEach([&](auto& node) {
    CHECK(node.exchange.OthersRollouts()[0].instances == 10);
  });
  is_active = false;
  fleet.Advance(milliseconds(12'000));
  std::int64_t before = 0;
  fleet.ForEach([&](auto& node) {
    CHECK(node.exchange.OthersRollouts().empty());
    before += static_cast<std::int64_t>(node.sent_bytes);
  });
  // Keepalives only: 4 a second for each link and direction.
  fleet.Advance(milliseconds(1000));
  std::int64_t sent = 0;
  fleet.ForEach(
      [&](auto& node) { sent += static_cast<std::int64_t>(node.sent_bytes); });
  constexpr std::int64_t kMaxKeepaliveBytes = 4400;  // 40 each.
  CHECK(sent - before < kMaxKeepaliveBytes);
}

TEST_CASE("sums are not exchanged where roll-outs are not enabled") {
  simulated_fleet fleet(4, 2);
  peer_report report{"i1", 99, 1, neighbor_role::root};
  report.rollouts = {OneInstance()};
  fleet.Advance(milliseconds(1000));
  fleet.nodes.at("i0")->exchange.OnDatagram(EncodePeerReport(report),
                                            fleet.Instance("i1").address);
  CHECK(fleet.nodes.at("i0")->exchange.OthersRollouts().empty());
}
