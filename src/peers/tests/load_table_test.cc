#include <catch2/catch.hpp>

#include "peers/load_table.h"

using namespace wist;

namespace {

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

target_load Load(std::int32_t runs) {
  return {target_id("t"), runs, std::int64_t{runs} * 100, 0};
}

// A root with a child and the root of another domain.
load_table RootTable() {
  load_table table;
  table.SetOwn({Load(1)});
  table.SetReported("child", neighbor_role::child, {Load(10)}, At(0));
  table.SetReported("root", neighbor_role::root, {Load(100)}, At(0));
  return table;
}

}  // namespace

TEST_CASE("a neighbor is not sent what it reported, nor roots what roots did") {
  const load_table table = RootTable();
  const target_id target("t");
  CHECK(table.OthersLoad(target).runs == 110);
  CHECK(table.LoadFor("child", neighbor_role::child, target).runs == 101);
  CHECK(table.LoadFor("child2", neighbor_role::child, target).runs == 111);
  CHECK(table.LoadFor("root", neighbor_role::root, target).runs == 11);
  CHECK(table.LoadFor("root2", neighbor_role::root, target).runs == 11);
}

TEST_CASE("a parent is sent the load of the subtree only") {
  load_table table;
  table.SetOwn({Load(1)});
  table.SetReported("child", neighbor_role::child, {Load(10)}, At(0));
  table.SetReported("parent", neighbor_role::parent, {Load(1000)}, At(0));
  const target_id target("t");
  CHECK(table.LoadFor("parent", neighbor_role::parent, target).runs == 11);
  // A candidate parent receives the same.
  CHECK(table.LoadFor("other", neighbor_role::parent, target).runs == 11);
}

TEST_CASE("changed targets are named once") {
  load_table table = RootTable();
  CHECK(table.TakeChanged().size() == 1);
  CHECK(table.TakeChanged().empty());
  table.SetOwn({Load(1)});
  table.SetReported("child", neighbor_role::child, {Load(10)}, At(10));
  CHECK(table.TakeChanged().empty());
  table.SetOwn({});
  CHECK(table.TakeChanged().size() == 1);
  table.RemoveNeighbor("child");
  table.RemoveNeighbor("root");
  CHECK(table.OthersLoad(target_id("t")).runs == 0);
  CHECK(table.LoadedTargets().empty());
}

TEST_CASE("a load that is not reported again expires") {
  load_table table = RootTable();
  table.SetReported("child", neighbor_role::child, {Load(10)}, At(2000));
  table.TakeChanged();
  table.Expire(At(3000));
  CHECK(table.OthersLoad(target_id("t")).runs == 10);
  CHECK(table.TakeChanged().size() == 1);
}

TEST_CASE("the numbers of instances at which a target fails are added") {
  load_table table;
  target_load failing{target_id("t")};
  failing.failing_instances = 1;
  table.SetReported("a", neighbor_role::child, {failing}, At(0));
  table.SetReported("b", neighbor_role::child, {failing}, At(0));
  CHECK(table.OthersLoad(target_id("t")).failing_instances == 2);
}

TEST_CASE("refusals are added and sent at once") {
  load_table table;
  target_load load{target_id("t")};
  load.recent_refusals = 1;
  load.brittle_instances = 1;
  table.SetReported("a", neighbor_role::child, {load}, At(0));
  CHECK(table.TakeUrgentChange());
  table.SetReported("b", neighbor_role::child, {load}, At(0));
  CHECK(table.OthersLoad(target_id("t")).recent_refusals == 2);
  CHECK(table.OthersLoad(target_id("t")).brittle_instances == 2);
  CHECK(table.TakeUrgentChange());
  load.recent_refusals = 0;
  table.SetReported("b", neighbor_role::child, {load}, At(10));
  CHECK_FALSE(table.TakeUrgentChange());
}

TEST_CASE("reports contain refusals only where there are any") {
  peer_report report{"i", 1, 1, neighbor_role::parent};
  target_load plain{target_id("t"), 3, 0, 0, 0};
  report.loads = {plain};
  const std::size_t plain_bytes = EncodePeerReport(report).size();
  CHECK(DecodePeerReport(EncodePeerReport(report)) == report);
  report.loads[0].recent_refusals = 2;
  report.loads[0].brittle_instances = 5;
  CHECK(DecodePeerReport(EncodePeerReport(report)) == report);
  CHECK(EncodePeerReport(report).size() == plain_bytes + 2);
}
