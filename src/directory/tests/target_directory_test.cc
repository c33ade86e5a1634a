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

struct watched_directory {
  watched_directory() {
    directory.SubscribeToLeaves([this](const known_target& target) {
      left.push_back(target.entry.id);
    });
  }

  bool Takes(const std::string& id) const {
    const known_target* target = directory.Find(target_id(id));
    return target && directory.Takes(*target);
  }

  target_directory directory{kGrace};
  std::vector<target_id> left;
};

}  // namespace

TEST_CASE("leaving is final for one start of a target") {
  watched_directory watched;
  target_entry entry = Entry("a", 1);
  watched.directory.Put(entry, At(0));
  CHECK(watched.Takes("a"));
  entry.sequence = 2;
  entry.leaving = true;
  watched.directory.Put(entry, At(100));
  CHECK_FALSE(watched.Takes("a"));
  CHECK(watched.left.size() == 1);
  entry.sequence = 3;
  entry.leaving = false;
  watched.directory.Put(entry, At(200));
  CHECK_FALSE(watched.Takes("a"));
  CHECK(watched.left.size() == 1);
}

TEST_CASE("a target that starts again under its id is a new one") {
  watched_directory watched;
  target_entry entry = Entry("a", 7);
  entry.leaving = true;
  watched.directory.Put(entry, At(0));
  entry = Entry("a", 1);
  entry.started_at = 2000;
  watched.directory.Put(entry, At(100));
  CHECK(watched.Takes("a"));
}

TEST_CASE("a restart under the same id ends work of the start before") {
  watched_directory watched;
  watched.directory.Put(Entry("a", 7), At(0));
  target_entry entry = Entry("a", 1);
  entry.started_at = 2000;
  watched.directory.Put(entry, At(100));
  CHECK(watched.left.size() == 1);
  CHECK(watched.Takes("a"));
}

TEST_CASE("an old entry changes nothing") {
  watched_directory watched;
  watched.directory.Put(Entry("a", 5), At(0));
  target_entry old = Entry("a", 4);
  old.leaving = true;
  watched.directory.Put(old, At(100));
  CHECK(watched.Takes("a"));
}

TEST_CASE("a removed entry takes no new work") {
  watched_directory watched;
  watched.directory.Put(Entry("a", 5), At(0));
  watched.directory.Remove(target_id("a"), false, At(100));
  CHECK_FALSE(watched.Takes("a"));
  CHECK(watched.left.size() == 1);
}

TEST_CASE("an entry that vanished with the store may come back in time") {
  watched_directory watched;
  watched.directory.Put(Entry("a", 5), At(0));
  watched.directory.Put(Entry("b", 5), At(0));
  watched.directory.Remove(target_id("a"), true, At(1000));
  watched.directory.Remove(target_id("b"), true, At(1000));
  CHECK(watched.Takes("a"));
  watched.directory.Put(Entry("a", 6), At(2000));
  watched.directory.Expire(At(3100));
  CHECK(watched.Takes("a"));
  CHECK_FALSE(watched.Takes("b"));
}

TEST_CASE("a leaving target that vanished with the store stays away") {
  watched_directory watched;
  target_entry entry = Entry("a", 5);
  entry.leaving = true;
  watched.directory.Put(entry, At(0));
  watched.directory.Remove(target_id("a"), true, At(1000));
  CHECK_FALSE(watched.Takes("a"));
}

TEST_CASE("an evacuated domain takes nothing until it is back") {
  watched_directory watched;
  watched.directory.Put(Entry("a", 5), At(0));
  watched.directory.SetEvacuated({domain_id("d")});
  CHECK_FALSE(watched.Takes("a"));
  watched.directory.SetEvacuated({});
  CHECK(watched.Takes("a"));
}
