#include <catch2/catch.hpp>

#include "limits/crash_ledger.h"

// Guards against a request that crashes every target on which it runs while its
// caller retries it at any instance.

using namespace wist;

namespace {

constexpr request_digest kCrashingRequest = 7;
constexpr request_digest kOtherRequest = 8;

timestamp At(int ms) {
  return timestamp{} + seconds(1000) + milliseconds(ms);
}

target_id Target(int number) {
  return target_id("t" + std::to_string(number));
}

// Sends all of `from`'s notices to `to`.
void SendNotices(const crash_ledger& from, crash_ledger& to, timestamp now) {
  for (const crash_notice& notice : from.RecentNotices(now))
    to.OnNotice(notice, now);
}

}  // namespace

TEST_CASE("a request is refused after its third crash") {
  crash_ledger ledger;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(ledger.QuarantinedUntil(kCrashingRequest, At(1000 * i)));
    ledger.OnCrash(kCrashingRequest, Target(i), At(1000 * i));
  }
  CHECK(ledger.QuarantinedUntil(kCrashingRequest, At(2001)));
  CHECK_FALSE(ledger.QuarantinedUntil(kOtherRequest, At(2001)));
}

TEST_CASE("crashes observed by several instances add up") {
  crash_ledger first;
  crash_ledger second;
  crash_ledger third;
  first.OnCrash(kCrashingRequest, Target(1), At(0));
  second.OnCrash(kCrashingRequest, Target(2), At(700));
  third.OnCrash(kCrashingRequest, Target(3), At(1500));
  SendNotices(first, third, At(1600));
  SendNotices(second, third, At(1600));
  SendNotices(second, third, At(1700));
  CHECK(third.QuarantinedUntil(kCrashingRequest, At(1700)));
  CHECK_FALSE(second.QuarantinedUntil(kCrashingRequest, At(1700)));
  SendNotices(third, second, At(1800));
  CHECK(second.QuarantinedUntil(kCrashingRequest, At(1800)));
}

TEST_CASE("simultaneous crashes of many targets count as one") {
  crash_ledger ledger;
  for (int i = 0; i < 10; ++i)
    ledger.OnCrash(kCrashingRequest, Target(i), At(10 * i));
  CHECK_FALSE(ledger.QuarantinedUntil(kCrashingRequest, At(500)));
}

TEST_CASE("a crash reported by several instances counts once") {
  crash_ledger ledger;
  for (int i = 0; i < 5; ++i)
    ledger.OnNotice({kCrashingRequest, Target(1), milliseconds(300 * i)},
                    At(3000));
  CHECK_FALSE(ledger.QuarantinedUntil(kCrashingRequest, At(3000)));
}

TEST_CASE("a response clears the crashes of a request at all instances") {
  crash_ledger ledger;
  crash_ledger other;
  for (int i = 0; i < 3; ++i)
    ledger.OnCrash(kOtherRequest, Target(i), At(1000 * i));
  SendNotices(ledger, other, At(2100));
  CHECK(other.QuarantinedUntil(kOtherRequest, At(2100)));
  ledger.OnResponse(kOtherRequest, At(2500));
  CHECK_FALSE(ledger.QuarantinedUntil(kOtherRequest, At(2500)));
  SendNotices(ledger, other, At(2600));
  CHECK_FALSE(other.QuarantinedUntil(kOtherRequest, At(2600)));
  // A report of a crash before the response is ignored.
  ledger.OnNotice({kOtherRequest, Target(4), milliseconds(900)}, At(2700));
  CHECK_FALSE(ledger.QuarantinedUntil(kOtherRequest, At(2700)));
}

TEST_CASE("a quarantine expires, and all records are removed") {
  crash_ledger ledger;
  for (int i = 0; i < 3; ++i)
    ledger.OnCrash(kCrashingRequest, Target(i), At(1000 * i));
  const auto until = ledger.QuarantinedUntil(kCrashingRequest, At(3000));
  REQUIRE(until);
  CHECK_FALSE(ledger.QuarantinedUntil(kCrashingRequest, *until));
  ledger.Expire(At(300'000));
  CHECK(ledger.IsEmpty());
  CHECK(ledger.RecentNotices(At(300'000)).empty());
}

// Guards against excessive traffic between failure domains: in test run
// scale-2, on an enlarged Korrigan example site, messages that repeated notices
// for a minute quadrupled it.
TEST_CASE("notices are reported for a few seconds only") {
  crash_ledger ledger;
  ledger.OnCrash(kCrashingRequest, Target(1), At(0));
  CHECK(ledger.RecentNotices(At(3000)).size() == 1);
  CHECK(ledger.RecentNotices(At(5000)).empty());
}

TEST_CASE("the number of notices is bounded") {
  crash_ledger ledger;
  for (int i = 0; i < 5000; ++i)
    ledger.OnCrash(static_cast<request_digest>(i), Target(i), At(i));
  CHECK(ledger.RecentNotices(At(4000)).size() == 16);
}
