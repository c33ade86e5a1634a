#include "claims/internal/claim_bucket.h"

#include <catch2/catch.hpp>

namespace wist {
namespace {

const calendar_time kIssued{seconds(1'700'000'000)};
const claim_ticket kFirst{"key", "nonce-1", kIssued};
const claim_ticket kSecond{"key", "nonce-2", kIssued};
const recorded_outcome kOutcome{200, "confirmed"};

}  // namespace

TEST_CASE("a version 7 UUID carries its time of issue") {
  const auto key =
      idempotency_key::Parse("018BCFE5-6800-7000-8000-0123456789ab");
  REQUIRE(key);
  CHECK(key->text() == "018bcfe5-6800-7000-8000-0123456789ab");
  CHECK(key->issued_at() == calendar_time(milliseconds(0x018bcfe56800)));
}

TEST_CASE("other texts are no keys") {
  for (const char* text :
       {"", "booking-1", "018bcfe5-6800-4000-8000-0123456789ab",
        "018bcfe5-6800-7000-0000-0123456789ab",
        "018bcfe5x6800-7000-8000-0123456789ab"}) {
    CHECK_FALSE(idempotency_key::Parse(text));
  }
}

TEST_CASE("the first claim is granted and a second one is undecided") {
  claim_bucket bucket;
  CHECK(std::holds_alternative<claim_granted>(
      Apply(claim_operation{kFirst, "body"}, bucket).result));
  const auto second = Apply(claim_operation{kSecond, "body"}, bucket);
  CHECK(std::holds_alternative<claim_undecided>(second.result));
  CHECK_FALSE(second.changed);
}

TEST_CASE("a claim applied twice is granted once more to the same nonce") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  const auto again = Apply(claim_operation{kFirst, "body"}, bucket);
  CHECK(std::holds_alternative<claim_granted>(again.result));
  CHECK_FALSE(again.changed);
}

TEST_CASE("an outcome is replayed to a resend and refused to another body") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  Apply(outcome_operation{kFirst, kOutcome}, bucket);
  const auto resend = Apply(claim_operation{kSecond, "body"}, bucket).result;
  REQUIRE(std::holds_alternative<claim_replayed>(resend));
  CHECK(std::get<claim_replayed>(resend).outcome == kOutcome);
  CHECK(std::holds_alternative<claim_mismatch>(
      Apply(claim_operation{kSecond, "other"}, bucket).result));
}

TEST_CASE("only the claimant records an outcome or withdraws") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  Apply(outcome_operation{kSecond, kOutcome}, bucket);
  Apply(withdraw_operation{kSecond}, bucket);
  CHECK(bucket.records.at("key").nonce == "nonce-1");
  CHECK_FALSE(bucket.records.at("key").outcome);
}

TEST_CASE("a withdrawn claim lets a resend run, a finished one stays") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  Apply(withdraw_operation{kFirst}, bucket);
  CHECK(std::holds_alternative<claim_granted>(
      Apply(claim_operation{kSecond, "body"}, bucket).result));
  Apply(outcome_operation{kSecond, kOutcome}, bucket);
  Apply(withdraw_operation{kSecond}, bucket);
  CHECK(bucket.records.at("key").outcome == kOutcome);
}

TEST_CASE("a closed bucket refuses each claim as too old") {
  claim_bucket bucket{.closed = true};
  CHECK(std::holds_alternative<claim_too_old>(
      Apply(claim_operation{kFirst, "body"}, bucket).result));
  CHECK(DecodeBucket(EncodeBucket(bucket)) == bucket);
}

TEST_CASE("a bucket survives its text form") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  Apply(outcome_operation{kFirst, kOutcome}, bucket);
  bucket.withdrawals = 3;
  CHECK(DecodeBucket(EncodeBucket(bucket)) == bucket);
  CHECK(DecodeBucket("") == claim_bucket{});
  CHECK_THROWS(DecodeBucket("[]"));
}

}  // namespace wist
