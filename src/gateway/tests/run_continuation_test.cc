#include <catch2/catch.hpp>

#include "gateway/internal/run_continuation.h"

// The pattern: many runs leave their targets at once, and the targets that are
// to continue them refuse some, are gone, or are about to leave as well.

using namespace wist;

namespace {

target_entry Target(const std::string& name) {
  target_entry entry;
  entry.id = target_id(name);
  entry.address = {name, 80};
  return entry;
}

const run_copy kFirst{copy_place::receiver,
                      Target("receiver"),
                      {Target("source").address, "first"}};
const run_copy kSecond{copy_place::receiver,
                       Target("receiver"),
                       {Target("source").address, "second"}};
const run_copy kKept{copy_place::source,
                     Target("source"),
                     {Target("source").address, "second"}};
const run_copy kBackup{copy_place::backup,
                       Target("holder"),
                       {Target("holder").address, "id"}};

run_continuation Run() {
  return {Target("source"), kFirst};
}

bool IsUsable(const run_copy&) {
  return true;
}

continuation_step From(const run_copy& copy) {
  return continue_from_copy{copy};
}

}  // namespace

TEST_CASE("copies are tried one after another, the source before the backup") {
  run_continuation run = Run();
  run.AddCopy(kBackup);
  CHECK(run.Next(IsUsable) == From(kFirst));
  run.OnStopResult({stop_outcome::kept, "second"});
  CHECK(run.Next(IsUsable) == From(kKept));
  CHECK(run.Next(IsUsable) == From(kBackup));
  CHECK(run.Next(IsUsable) == continuation_step(give_up_run{}));
}

// A second copy may end the first one.
TEST_CASE("the copy that the stop has completed comes first") {
  run_continuation run = Run();
  run.OnStopResult({stop_outcome::copied, "second"});
  CHECK(run.Next(IsUsable) == From(kSecond));
  CHECK(run.Next(IsUsable) == From(kFirst));
  CHECK(run.Next(IsUsable) == From(kKept));
}

TEST_CASE("a copy that was refused is tried again once it is complete") {
  run_continuation run = Run();
  CHECK(run.Next(IsUsable) == From(kFirst));
  run.OnStopResult({stop_outcome::copied, "first"});
  CHECK(run.Next(IsUsable) == From(kFirst));
}

TEST_CASE("a run waits for the stop only while it can bring another copy") {
  run_continuation run = Run();
  run.Next(IsUsable);
  CHECK(run.Next(IsUsable) == continuation_step(await_stop{}));
  run.OnStopResult({stop_outcome::refused, ""});
  CHECK(run.Next(IsUsable) == continuation_step(await_stop{}));
  SECTION("the source is gone") {
    run.OnStopResult({stop_outcome::unreachable, ""});
    CHECK(run.Next(IsUsable) == continuation_step(await_stop{}));
    run.OnStopEnd();
  }
  SECTION("the source has dropped the run") {
    run.OnStopResult({stop_outcome::had_ended, ""});
  }
  SECTION("the source is not asked again") {
    run.OnStopEnd();
  }
  CHECK(run.Next(IsUsable) == continuation_step(give_up_run{}));
}

TEST_CASE("copies that may not be used are left out") {
  run_continuation run = Run();
  run.AddCopy(kBackup);
  run.OnStopResult({stop_outcome::kept, "second"});
  CHECK(run.Next([](const run_copy& copy) {
    return copy.place == copy_place::backup;
  }) == From(kBackup));
}

TEST_CASE("copies that the run does not use are freed at both ends") {
  run_continuation run = Run();
  run.AddCopy(kBackup);
  run.OnStopResult({stop_outcome::copied, "second"});
  run.Next(IsUsable);
  CHECK(run.UnusedCopies() ==
        std::vector<unused_copy>{{Target("source"), "first"}});
}

// The source would free the memory of the run that is back.
TEST_CASE("the copy of a run that is back is freed at the receiver only") {
  run_continuation run = Run();
  run.Next(IsUsable);
  run.OnStopResult({stop_outcome::kept, "second"});
  run.Next(IsUsable);
  CHECK(run.UnusedCopies() ==
        std::vector<unused_copy>{{Target("receiver"), "first"}});
}
