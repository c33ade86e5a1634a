#include <catch2/catch.hpp>

#include "relay/path_monitor.h"

// Tests that an instance that is cut off from all targets detects that from the
// connections that its callers' requests need, also with one request a second,
// and that neither a target that ends nor a slow one looks like a cut.

using namespace wist;

namespace {

constexpr std::size_t kTargets = 12;

timestamp At(int ms) {
  return timestamp{} + milliseconds(ms);
}

// A connection that hangs takes 300 ms to fail.
bool Hang(path_monitor& paths, const char* target, int started_ms) {
  return paths.OnUnreachable(target_id(target), At(started_ms),
                             At(started_ms + 300), kTargets);
}

path_monitor LostPaths() {
  path_monitor paths;
  Hang(paths, "a", 0);
  REQUIRE(Hang(paths, "b", 300));
  return paths;
}

}  // namespace

TEST_CASE("one request that fails to connect to two targets shows a cut") {
  path_monitor paths;
  CHECK_FALSE(Hang(paths, "a", 0));
  CHECK_FALSE(paths.IsLost());
  CHECK(paths.IsSuspected(At(300)));
  CHECK(Hang(paths, "b", 300));
  CHECK(paths.IsLost());
  CHECK(paths.UnreachableTargets().size() == 2);
}

TEST_CASE("one target that can't be reached is no cut") {
  path_monitor paths;
  for (int ms = 0; ms < 10'000; ms += 300)
    CHECK_FALSE(Hang(paths, "a", ms));
  CHECK_FALSE(paths.IsLost());
}

TEST_CASE("the only target that accepts work suffices") {
  path_monitor paths;
  CHECK(paths.OnUnreachable(target_id("a"), At(0), At(300), 1));
}

TEST_CASE(
    "targets that end one after another while others are reached are no cut") {
  path_monitor paths;
  for (int ms = 0; ms < 10'000; ms += 1000) {
    CHECK_FALSE(Hang(paths, "a", ms));
    CHECK_FALSE(paths.OnConnected(At(ms + 400)));
    CHECK_FALSE(Hang(paths, "b", ms + 500));
    CHECK_FALSE(paths.OnConnected(At(ms + 900)));
  }
  CHECK_FALSE(paths.IsSuspected(At(10'000)));
}

TEST_CASE("failures long before are no evidence") {
  path_monitor paths;
  CHECK_FALSE(Hang(paths, "a", 0));
  CHECK_FALSE(paths.IsSuspected(At(3300)));
  CHECK_FALSE(Hang(paths, "b", 3300));
}

TEST_CASE("a connection from before the cut shows no path") {
  path_monitor paths;
  Hang(paths, "a", 1000);
  CHECK_FALSE(paths.OnConnected(At(900)));
  CHECK(Hang(paths, "b", 1400));
  CHECK_FALSE(paths.OnConnected(At(900)));
  CHECK_FALSE(paths.OnConnected(At(900)));
  CHECK(paths.IsLost());
}

TEST_CASE("while paths are lost one request a second tries a target") {
  path_monitor paths = LostPaths();
  int tries = 0;
  for (int ms = 600; ms < 10'600; ms += 10)
    tries += paths.TryConsumeDirectTry(At(ms), true) ? 1 : 0;
  CHECK(tries == 9);
}

// Half of the targets end at once: all instances may reach two of them first.
TEST_CASE(
    "requests that no instance accepts show that other targets are reached") {
  path_monitor paths = LostPaths();
  CHECK_FALSE(paths.TryConsumeDirectTry(At(690), false));
  REQUIRE(paths.TryConsumeDirectTry(At(700), false));
  CHECK_FALSE(paths.OnConnected(At(700)));
  REQUIRE(paths.TryConsumeDirectTry(At(720), false));
  CHECK(paths.OnConnected(At(720)));
}

TEST_CASE("paths are usable again after two connections in a row") {
  path_monitor paths = LostPaths();
  REQUIRE(paths.TryConsumeDirectTry(At(1600), true));
  CHECK_FALSE(paths.OnConnected(At(1600)));
  CHECK(paths.IsLost());
  // The next try is made at once.
  CHECK(paths.TryConsumeDirectTry(At(1710), true));

  SECTION("a second connection") {
    CHECK(paths.OnConnected(At(1710)));
    CHECK_FALSE(paths.IsLost());
    CHECK_FALSE(paths.IsSuspected(At(1800)));
  }
  SECTION("a failure in between") {
    CHECK_FALSE(Hang(paths, "c", 1710));
    CHECK_FALSE(paths.OnConnected(At(2100)));
    CHECK(paths.IsLost());
    CHECK(paths.OnConnected(At(2200)));
  }
}
