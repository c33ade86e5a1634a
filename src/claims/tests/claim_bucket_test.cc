#include "claims/internal/claim_bucket.h"

#include <catch2/catch.hpp>

namespace wist {
namespace {

const calendar_time kIssued{seconds(1'700'000'000)};
const claim_ticket kFirst{"key", "nonce-1", kIssued};
const claim_ticket kSecond{"key", "nonce-2", kIssued};
const recorded_outcome kOutcome{200, "confirmed"};

}  // namespace

TEST_CASE("a version 7 UUID contains its time of issue") {
  const auto key =
      idempotency_key::Parse("018BCFE5-6800-7000-8000-0123456789ab");
  REQUIRE(key);
  CHECK(key->text() == "018bcfe5-6800-7000-8000-0123456789ab");
  CHECK(key->issued_at() == calendar_time(milliseconds(0x018bcfe56800)));
}

TEST_CASE("a string that is not a version 7 UUID is not a valid key") {
  for (const char* text :
       {"", "booking-1", "018bcfe5-6800-4000-8000-0123456789ab",
        "018bcfe5-6800-7000-0000-0123456789ab",
        "018bcfe5x6800-7000-8000-0123456789ab"}) {
    CHECK_FALSE(idempotency_key::Parse(text));
  }
}

TEST_CASE("the first claim is granted and a second one is in doubt") {
  claim_bucket bucket;
  CHECK(std::holds_alternative<claim_granted>(
      Apply(claim_operation{kFirst, "body"}, bucket).result));
  const auto second = Apply(claim_operation{kSecond, "body"}, bucket);
  CHECK(std::holds_alternative<claim_in_doubt>(second.result));
  CHECK_FALSE(second.changed);
}

TEST_CASE("a claim applied again with the same nonce is granted again") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  const auto repeated = Apply(claim_operation{kFirst, "body"}, bucket);
  CHECK(std::holds_alternative<claim_granted>(repeated.result));
  CHECK_FALSE(repeated.changed);
}

TEST_CASE("an outcome is replayed to a resend but not to a different body") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  Apply(outcome_operation{kFirst, kOutcome}, bucket);
  const auto resend = Apply(claim_operation{kSecond, "body"}, bucket).result;
  REQUIRE(std::holds_alternative<claim_replayed>(resend));
  CHECK(std::get<claim_replayed>(resend).outcome == kOutcome);
  CHECK(std::holds_alternative<claim_body_mismatch>(
      Apply(claim_operation{kSecond, "other"}, bucket).result));
}

TEST_CASE("only the claimant can record an outcome or withdraw") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  Apply(outcome_operation{kSecond, kOutcome}, bucket);
  Apply(withdraw_operation{kSecond}, bucket);
  CHECK(bucket.records.at("key").nonce == "nonce-1");
  CHECK_FALSE(bucket.records.at("key").outcome);
}

TEST_CASE("a withdrawn claim can be made again but a recorded outcome stays") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  Apply(withdraw_operation{kFirst}, bucket);
  CHECK(std::holds_alternative<claim_granted>(
      Apply(claim_operation{kSecond, "body"}, bucket).result));
  Apply(outcome_operation{kSecond, kOutcome}, bucket);
  Apply(withdraw_operation{kSecond}, bucket);
  CHECK(bucket.records.at("key").outcome == kOutcome);
}

TEST_CASE("a closed bucket refuses all claims as too old") {
  claim_bucket bucket{.closed = true};
  CHECK(std::holds_alternative<claim_too_old>(
      Apply(claim_operation{kFirst, "body"}, bucket).result));
  CHECK(DecodeBucket(EncodeBucket(bucket)) == bucket);
}

TEST_CASE("a decoded bucket equals the encoded one") {
  claim_bucket bucket;
  Apply(claim_operation{kFirst, "body"}, bucket);
  Apply(outcome_operation{kFirst, kOutcome}, bucket);
  bucket.withdrawals = 3;
  CHECK(DecodeBucket(EncodeBucket(bucket)) == bucket);
  CHECK(DecodeBucket("") == claim_bucket{});
  CHECK_THROWS(DecodeBucket("[]"));
}

}  // namespace wist
