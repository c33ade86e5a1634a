#include <catch2/catch.hpp>

#include "directory/target_directory.h"

using namespace wist;

namespace {

constexpr milliseconds kGrace{2000};

timestamp At(std::int64_t ms) {
  return timestamp(milliseconds(ms));
}

target_entry Entry(const std::string& id, std::int64_t sequence) {
  target_entry entry;
  entry.id = target_id(id);
  entry.service = service_id("s");
  entry.domain = domain_id("d");
  entry.sequence = sequence;
  entry.started_at = 1000;
  return entry;
}

struct observed_directory {
  observed_directory() {
    directory.SubscribeToDepartures([this](const known_target& target) {
      departed.push_back(target.entry.id);
    });
  }

  bool AcceptsNewWork(const std::string& id) const {
    const known_target* target = directory.Find(target_id(id));
    return target && directory.AcceptsNewWork(*target);
  }

  target_directory directory;
  std::vector<target_id> departed;
};

}  // namespace

TEST_CASE("a leaving target stays leaving until it restarts") {
  observed_directory observed;
  target_entry entry = Entry("a", 1);
  observed.directory.Upsert(entry, At(0));
  CHECK(observed.AcceptsNewWork("a"));
  entry.sequence = 2;
  entry.leaving = true;
  observed.directory.Upsert(entry, At(100));
  CHECK_FALSE(observed.AcceptsNewWork("a"));
  CHECK(observed.departed.size() == 1);
  entry.sequence = 3;
  entry.leaving = false;
  observed.directory.Upsert(entry, At(200));
  CHECK_FALSE(observed.AcceptsNewWork("a"));
  CHECK(observed.departed.size() == 1);
}

TEST_CASE("a leaving target accepts work again after a restart") {
  observed_directory observed;
  target_entry entry = Entry("a", 7);
  entry.leaving = true;
  observed.directory.Upsert(entry, At(0));
  entry = Entry("a", 1);
  entry.started_at = 2000;
  observed.directory.Upsert(entry, At(100));
  CHECK(observed.AcceptsNewWork("a"));
}

TEST_CASE(
    "a restart under the same id reports the previous process as departed") {
  observed_directory observed;
  observed.directory.Upsert(Entry("a", 7), At(0));
  target_entry entry = Entry("a", 1);
  entry.started_at = 2000;
  observed.directory.Upsert(entry, At(100));
  CHECK(observed.departed.size() == 1);
  CHECK(observed.AcceptsNewWork("a"));
}

TEST_CASE("an entry with a lower sequence number is ignored") {
  observed_directory observed;
  observed.directory.Upsert(Entry("a", 5), At(0));
  target_entry old = Entry("a", 4);
  old.leaving = true;
  observed.directory.Upsert(old, At(100));
  CHECK(observed.AcceptsNewWork("a"));
}

TEST_CASE("a target whose entry was removed accepts no new work") {
  observed_directory observed;
  observed.directory.Upsert(Entry("a", 5), At(0));
  observed.directory.Remove(target_id("a"), std::nullopt, At(100));
  CHECK_FALSE(observed.AcceptsNewWork("a"));
  CHECK(observed.departed.size() == 1);
}

TEST_CASE(
    "an entry lost in a store outage may return within the grace period") {
  observed_directory observed;
  observed.directory.Upsert(Entry("a", 5), At(0));
  observed.directory.Upsert(Entry("b", 5), At(0));
  observed.directory.Remove(target_id("a"), At(1000) + kGrace, At(1000));
  observed.directory.Remove(target_id("b"), At(1000) + kGrace, At(1000));
  CHECK(observed.AcceptsNewWork("a"));
  observed.directory.Upsert(Entry("a", 6), At(2000));
  observed.directory.Expire(At(3100));
  CHECK(observed.AcceptsNewWork("a"));
  CHECK_FALSE(observed.AcceptsNewWork("b"));
}

TEST_CASE(
    "a leaving target stays leaving when its entry is lost in a store outage") {
  observed_directory observed;
  target_entry entry = Entry("a", 5);
  entry.leaving = true;
  observed.directory.Upsert(entry, At(0));
  observed.directory.Remove(target_id("a"), At(1000) + kGrace, At(1000));
  CHECK_FALSE(observed.AcceptsNewWork("a"));
}

TEST_CASE(
    "targets of an evacuated domain accept no work until it is restored") {
  observed_directory observed;
  observed.directory.Upsert(Entry("a", 5), At(0));
  observed.directory.SetEvacuated({domain_id("d")});
  CHECK_FALSE(observed.AcceptsNewWork("a"));
  observed.directory.SetEvacuated({});
  CHECK(observed.AcceptsNewWork("a"));
}

// Guards against a target that is used after it has left, since the store has
// returned from an older copy that still has its entry.
TEST_CASE("a removed entry that appears again unchanged is not a return") {
  observed_directory observed;
  target_entry entry = Entry("a", 7);
  observed.directory.Upsert(entry, At(0));
  observed.directory.Remove(entry.id, std::nullopt, At(100));
  observed.directory.Upsert(entry, At(200));
  CHECK_FALSE(observed.AcceptsNewWork("a"));
  entry.sequence = 8;
  observed.directory.Upsert(entry, At(300));
  CHECK(observed.AcceptsNewWork("a"));
}

TEST_CASE("an entry that is written again unchanged after an outage returns") {
  observed_directory observed;
  const target_entry entry = Entry("a", 7);
  observed.directory.Upsert(entry, At(0));
  observed.directory.Remove(entry.id, At(100) + kGrace, At(100));
  observed.directory.Upsert(entry, At(200));
  observed.directory.Expire(At(5000));
  CHECK(observed.AcceptsNewWork("a"));
}

TEST_CASE("an entry that changes nothing but its age is a renewal") {
  observed_directory observed;
  target_entry entry = Entry("a", 1);
  entry.cold_remaining = milliseconds(3000);
  CHECK_FALSE(observed.directory.IsRenewal(entry, At(0)));
  observed.directory.Upsert(entry, At(0));
  target_entry renewed = entry;
  renewed.sequence = 2;
  renewed.cold_remaining = milliseconds(1800);
  CHECK(observed.directory.IsRenewal(renewed, At(1200)));
  target_entry leaving = renewed;
  leaving.leaving = true;
  CHECK_FALSE(observed.directory.IsRenewal(leaving, At(1200)));
  target_entry cold_again = renewed;
  cold_again.cold_remaining = milliseconds(3000);
  CHECK_FALSE(observed.directory.IsRenewal(cold_again, At(1200)));
  observed.directory.Remove(target_id("a"), At(1300) + kGrace, At(1300));
  CHECK_FALSE(observed.directory.IsRenewal(renewed, At(1400)));
}

// The store, a peer with an older page or a lease that has lapsed may still
// call the target ready.
TEST_CASE("a target that says it is leaving stays so whatever its entry says") {
  observed_directory observed;
  target_entry entry = Entry("a", 1);
  observed.directory.Upsert(entry, At(0));
  observed.directory.OnLeavingStated(entry, At(100));
  observed.directory.OnLeavingStated(entry, At(150));
  CHECK_FALSE(observed.AcceptsNewWork("a"));
  CHECK(observed.departed.size() == 1);
  SECTION("while entries keep coming") {
    for (std::int64_t i = 2; i < 400; ++i) {
      observed.directory.Upsert(Entry("a", i), At(1000 * i));
      observed.directory.Expire(At(1000 * i));
      CHECK_FALSE(observed.AcceptsNewWork("a"));
    }
  }
  SECTION("after its entry was removed and written again") {
    observed.directory.Remove(target_id("a"), At(200) + kGrace, At(200));
    observed.directory.Upsert(Entry("a", 9), At(300));
    CHECK_FALSE(observed.AcceptsNewWork("a"));
    observed.directory.Remove(target_id("a"), std::nullopt, At(400));
    observed.directory.Upsert(Entry("a", 10), At(500));
    CHECK_FALSE(observed.AcceptsNewWork("a"));
  }
  SECTION("until it starts again") {
    target_entry restarted = Entry("a", 1);
    restarted.started_at = 2000;
    observed.directory.Upsert(restarted, At(1000));
    CHECK(observed.AcceptsNewWork("a"));
    // A late response of the process before.
    observed.directory.OnLeavingStated(entry, At(1100));
    CHECK(observed.AcceptsNewWork("a"));
  }
}

TEST_CASE("another target at the address of one that left accepts work") {
  observed_directory observed;
  target_entry entry = Entry("a", 1);
  observed.directory.Upsert(entry, At(0));
  observed.directory.OnLeavingStated(entry, At(100));
  target_entry successor = Entry("b", 1);
  successor.address = entry.address;
  observed.directory.Upsert(successor, At(200));
  CHECK(observed.AcceptsNewWork("b"));
}
