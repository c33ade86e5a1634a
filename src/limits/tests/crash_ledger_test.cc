#include <catch2/catch.hpp>

#include "limits/crash_ledger.h"

// Pattern: a request that ends each target which runs it comes again and again,
// at any instance.

using namespace wist;

namespace {

constexpr request_digest kPoison = 7;
constexpr request_digest kOther = 8;

timestamp At(int ms) {
  return timestamp{} + seconds(1000) + milliseconds(ms);
}

target_id Target(int number) {
  return target_id("t" + std::to_string(number));
}

// Sends all of `from`'s notices to `to`.
void Tell(const crash_ledger& from, crash_ledger& to, timestamp now) {
  for (const crash_notice& notice : from.Notices(now))
    to.OnNotice(notice, now);
}

}  // namespace

TEST_CASE("a request is refused after its third crash") {
  crash_ledger ledger;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(ledger.QuarantinedUntil(kPoison, At(1000 * i)));
    ledger.OnCrash(kPoison, Target(i), At(1000 * i));
  }
  CHECK(ledger.QuarantinedUntil(kPoison, At(2001)));
  CHECK_FALSE(ledger.QuarantinedUntil(kOther, At(2001)));
}

TEST_CASE("crashes that several instances saw add up") {
  crash_ledger first;
  crash_ledger second;
  crash_ledger third;
  first.OnCrash(kPoison, Target(1), At(0));
  second.OnCrash(kPoison, Target(2), At(700));
  third.OnCrash(kPoison, Target(3), At(1500));
  Tell(first, third, At(1600));
  Tell(second, third, At(1600));
  Tell(second, third, At(1700));
  CHECK(third.QuarantinedUntil(kPoison, At(1700)));
  CHECK_FALSE(second.QuarantinedUntil(kPoison, At(1700)));
  Tell(third, second, At(1800));
  CHECK(second.QuarantinedUntil(kPoison, At(1800)));
}

TEST_CASE("a failure of many targets at once is one crash") {
  crash_ledger ledger;
  for (int i = 0; i < 10; ++i)
    ledger.OnCrash(kPoison, Target(i), At(10 * i));
  CHECK_FALSE(ledger.QuarantinedUntil(kPoison, At(500)));
}

TEST_CASE("the same crash told by several instances is one crash") {
  crash_ledger ledger;
  for (int i = 0; i < 5; ++i)
    ledger.OnNotice({kPoison, Target(1), milliseconds(300 * i)}, At(3000));
  CHECK_FALSE(ledger.QuarantinedUntil(kPoison, At(3000)));
}

TEST_CASE("an answer clears what was held against a request, everywhere") {
  crash_ledger ledger;
  crash_ledger other;
  for (int i = 0; i < 3; ++i)
    ledger.OnCrash(kOther, Target(i), At(1000 * i));
  Tell(ledger, other, At(2100));
  CHECK(other.QuarantinedUntil(kOther, At(2100)));
  ledger.OnAnswered(kOther, At(2500));
  CHECK_FALSE(ledger.QuarantinedUntil(kOther, At(2500)));
  Tell(ledger, other, At(2600));
  CHECK_FALSE(other.QuarantinedUntil(kOther, At(2600)));
  // Old word does not bring the crashes back.
  ledger.OnNotice({kOther, Target(4), milliseconds(900)}, At(2700));
  CHECK_FALSE(ledger.QuarantinedUntil(kOther, At(2700)));
}

TEST_CASE("a quarantine lapses, and nothing is kept for good") {
  crash_ledger ledger;
  for (int i = 0; i < 3; ++i)
    ledger.OnCrash(kPoison, Target(i), At(1000 * i));
  const auto until = ledger.QuarantinedUntil(kPoison, At(3000));
  REQUIRE(until);
  CHECK_FALSE(ledger.QuarantinedUntil(kPoison, *until));
  ledger.Expire(At(300'000));
  CHECK(ledger.Empty());
  CHECK(ledger.Notices(At(300'000)).empty());
}

// A run of the grown Korrigan site (scale-2): words with a minute of notices
// made the bytes between failure domains four times as many.
TEST_CASE("notices are told for a few seconds only") {
  crash_ledger ledger;
  ledger.OnCrash(kPoison, Target(1), At(0));
  CHECK(ledger.Notices(At(3000)).size() == 1);
  CHECK(ledger.Notices(At(5000)).empty());
}

TEST_CASE("memory and words are bounded") {
  crash_ledger ledger;
  for (int i = 0; i < 5000; ++i)
    ledger.OnCrash(static_cast<request_digest>(i), Target(i), At(i));
  CHECK(ledger.Notices(At(4000)).size() == 16);
}
