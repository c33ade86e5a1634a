#include "stand_ins/platform/platform_model.h"

#include <catch2/catch.hpp>

namespace wist::stand_ins {
namespace {

constexpr timestamp kStart{seconds(100)};

}  // namespace

TEST_CASE("a compare-and-swap succeeds only on the expected revision") {
  platform_model model;
  const auto first = model.CompareAndSwap("k", 0, "a");
  REQUIRE(std::holds_alternative<kv_written>(first));
  const auto late = model.CompareAndSwap("k", 0, "b");
  REQUIRE(std::holds_alternative<kv_conflict>(late));
  CHECK(std::get<kv_conflict>(late).current.value == "a");
  CHECK(model.Read("k").value == "a");
}

TEST_CASE("a lease has one holder and a new fencing number after it expires") {
  platform_model model;
  const auto first = model.AcquireLease("l", "a", seconds(5), kStart);
  REQUIRE(first);
  CHECK_FALSE(model.AcquireLease("l", "b", seconds(5), kStart + seconds(4)));
  const auto renewed =
      model.AcquireLease("l", "a", seconds(5), kStart + seconds(4));
  CHECK(renewed->fencing_number == first->fencing_number);
  const auto next =
      model.AcquireLease("l", "b", seconds(5), kStart + seconds(9));
  REQUIRE(next);
  CHECK(next->fencing_number > first->fencing_number);
}

TEST_CASE("calls are limited per second") {
  platform_model model({.max_writes_per_second = 2});
  CHECK(model.AdmitWrite(kStart));
  CHECK(model.AdmitWrite(kStart));
  CHECK_FALSE(model.AdmitWrite(kStart));
  CHECK(model.AdmitWrite(kStart + seconds(1)));
}

TEST_CASE("changes of the instance list become visible after the list lag") {
  platform_model model({.list_lag = seconds(1)});
  model.Announce({"i", "rennes", "127.0.0.1:1", false}, kStart);
  CHECK(model.List(kStart).empty());
  CHECK(model.List(kStart + seconds(1)).size() == 1);
  model.Withdraw("i", kStart + seconds(2));
  CHECK(model.List(kStart + seconds(2)).size() == 1);
  CHECK(model.List(kStart + seconds(3)).empty());
}

TEST_CASE("a rollback restores the value of an older revision") {
  platform_model model;
  model.CompareAndSwap("k", 0, "old");
  const std::uint64_t revision = model.revision();
  model.CompareAndSwap("k", revision, "new");
  model.RollBack(revision);
  CHECK(model.Read("k").value == "old");
}

}  // namespace wist::stand_ins
