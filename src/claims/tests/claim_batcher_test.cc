#include "claims/internal/claim_batcher.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "stand_ins/platform/platform_model.h"

namespace wist {
namespace {

using stand_ins::platform_model;

constexpr timestamp kStart{seconds(100)};
const calendar_time kIssued{seconds(1'700'000'000)};
const claim_settings kSettings{.buckets_per_slice = 1,
                               .write_interval = milliseconds(0)};

claim_operation Claim(const std::string& key, const std::string& nonce) {
  return {{key, nonce, kIssued}, "body"};
}

store_response ExecuteCall(platform_model& store, const store_call& call) {
  if (const auto* swap = std::get_if<bucket_swap>(&call))
    return store.CompareAndSwap(swap->bucket, swap->expected, swap->value);
  return store.Read(std::get<bucket_read>(call).bucket);
}

const std::string kBucket = BucketKey(kSettings, kIssued, 0);

// Executes store calls until the batcher has none left. Returns the completed
// operations.
std::vector<completed_operation> RunAll(claim_batcher& batcher,
                                        platform_model& store,
                                        timestamp now) {
  std::vector<completed_operation> completed;
  while (const auto call = batcher.NextCall(now)) {
    for (auto& operation :
         batcher.OnStoreResponse(kBucket, ExecuteCall(store, *call), now))
      completed.push_back(std::move(operation));
  }
  return completed;
}

}  // namespace

TEST_CASE("many claims are combined into one swap") {
  platform_model store;
  claim_batcher batcher(kSettings);
  for (int i = 0; i < 50; ++i)
    batcher.Submit(Claim("k" + std::to_string(i), "n"), kStart,
                   kStart + seconds(1));
  CHECK(RunAll(batcher, store, kStart).size() == 50);
  CHECK(store.revision() == 1);
}

TEST_CASE(
    "a claim with a lost store response completes by reading the nonce back") {
  platform_model store;
  claim_batcher batcher(kSettings);
  batcher.Submit(Claim("k", "n"), kStart, kStart + seconds(5));
  batcher.OnStoreResponse(
      kBucket, ExecuteCall(store, *batcher.NextCall(kStart)), kStart);
  const auto swap = batcher.NextCall(kStart);
  REQUIRE(std::holds_alternative<bucket_swap>(*swap));
  SECTION("when the write took effect") {
    ExecuteCall(store, *swap);
  }
  SECTION("when the write was lost too") {}
  CHECK(batcher
            .OnStoreResponse(kBucket,
                             kv_swap_result(kv_in_doubt{"no response"}), kStart)
            .empty());
  const auto completed = RunAll(batcher, store, kStart + seconds(1));
  REQUIRE(completed.size() == 1);
  CHECK(std::holds_alternative<claim_granted>(completed[0].result));
}

TEST_CASE("a claim that does not complete in time is withdrawn") {
  platform_model store;
  claim_batcher batcher(kSettings);
  batcher.Submit(Claim("k", "n"), kStart, kStart + seconds(1));
  batcher.OnStoreResponse(kBucket, store_unavailable{}, kStart);
  const auto expired = batcher.Expire(kStart + seconds(1));
  REQUIRE(expired.size() == 1);
  CHECK(std::holds_alternative<claim_store_unavailable>(expired[0].result));
  RunAll(batcher, store, kStart + seconds(2));

  claim_batcher other(kSettings);
  other.Submit(Claim("k", "n2"), kStart, kStart + seconds(9));
  const auto completed = RunAll(other, store, kStart + seconds(3));
  REQUIRE(completed.size() == 1);
  CHECK(std::holds_alternative<claim_granted>(completed[0].result));
}

TEST_CASE("a writer does not withdraw the claim of another instance") {
  platform_model store;
  claim_batcher writer(kSettings);
  const claim_operation claim = Claim("k", "n");
  writer.Submit(claim, kStart, kStart + seconds(1),
                operation_origin::forwarded);
  writer.Expire(kStart + seconds(1));
  // The claimant got no response from the writer, so it writes the claim itself
  // and dispatches the request.
  claim_batcher claimant(kSettings);
  claimant.Submit(claim, kStart + seconds(1), kStart + seconds(9));
  RunAll(claimant, store, kStart + seconds(1));
  RunAll(writer, store, kStart + seconds(2));
  CHECK(DecodeBucket(store.Read(kBucket).value).records.contains("k"));
}

// The operation expires while its swap is in flight. If the cache then missed
// the effect of that swap, the next swap would overwrite it.
TEST_CASE("an operation that expires during its swap stays in the cache") {
  platform_model store;
  claim_batcher batcher(kSettings);
  const claim_operation claim = Claim("k", "n");
  batcher.Submit(claim, kStart, kStart + seconds(9));
  RunAll(batcher, store, kStart);
  batcher.Submit(outcome_operation{claim.ticket, {200, "done"}}, kStart,
                 kStart + seconds(1));
  const auto swap = batcher.NextCall(kStart);
  const store_response response = ExecuteCall(store, *swap);
  batcher.Expire(kStart + seconds(2));
  batcher.OnStoreResponse(kBucket, response, kStart + seconds(2));
  batcher.Submit(Claim("other", "n"), kStart + seconds(2), kStart + seconds(9));
  RunAll(batcher, store, kStart + seconds(2));
  CHECK(DecodeBucket(store.Read(kBucket).value).records.at("k").outcome);
}

TEST_CASE("a claim is only reported as in doubt after a fresh read") {
  platform_model store;
  claim_batcher first(kSettings);
  claim_batcher second(kSettings);
  const claim_operation claim = Claim("k", "n1");
  first.Submit(claim, kStart, kStart + seconds(9));
  RunAll(first, store, kStart);
  // The cache of `second` now contains the claim without an outcome.
  second.Submit(Claim("other", "n2"), kStart, kStart + seconds(9));
  RunAll(second, store, kStart);
  first.Submit(outcome_operation{claim.ticket, {200, "done"}}, kStart,
               kStart + seconds(9));
  RunAll(first, store, kStart);

  second.Submit(Claim("k", "n3"), kStart + seconds(1), kStart + seconds(9));
  const auto completed = RunAll(second, store, kStart + seconds(1));
  REQUIRE(completed.size() == 1);
  CHECK(std::holds_alternative<claim_replayed>(completed[0].result));
}

// Several instances claim the same keys in random order. The store is
// unavailable at times, loses responses to writes, and applies some of these
// writes late or not at all.
TEST_CASE("at most one claim of a key is granted in any interleaving") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    platform_model store;
    std::vector<claim_batcher> instances(3, claim_batcher(kSettings));
    std::vector<std::optional<store_call>> in_flight(3);
    std::vector<bucket_swap> late_swaps;
    std::map<std::string, std::set<std::string>> granted;
    std::map<std::pair<std::size_t, operation_number>, claim_ticket> tickets;
    timestamp now = kStart;
    for (int step = 0; step < 200; ++step) {
      now += milliseconds(random() % 40);
      const std::size_t i = random() % 3;
      switch (random() % 6) {
        case 0: {
          const auto claim =
              Claim("k" + std::to_string(random() % 3), std::to_string(step));
          const auto number =
              instances[i].Submit(claim, now, now + milliseconds(400));
          tickets[{i, number}] = claim.ticket;
          break;
        }
        case 1:
          if (!in_flight[i])
            in_flight[i] = instances[i].NextCall(now);
          break;
        case 2:
          if (!late_swaps.empty()) {
            ExecuteCall(store, late_swaps.back());
            late_swaps.pop_back();
          }
          break;
        case 3:
          instances[i].Expire(now);
          break;
        default: {
          if (!in_flight[i])
            break;
          store_response response = ExecuteCall(store, bucket_read{kBucket});
          const auto* swap = std::get_if<bucket_swap>(&*in_flight[i]);
          if (swap && random() % 4 == 0) {
            late_swaps.push_back(*swap);
            response = kv_swap_result(kv_in_doubt{"lost"});
          } else if (random() % 8 == 0) {
            response = store_unavailable{};
          } else if (swap) {
            response = ExecuteCall(store, *swap);
            if (random() % 4 == 0)
              response = kv_swap_result(kv_in_doubt{"lost"});
          }
          in_flight[i].reset();
          for (const auto& operation :
               instances[i].OnStoreResponse(kBucket, response, now)) {
            const claim_ticket& ticket = tickets[{i, operation.number}];
            if (std::holds_alternative<claim_granted>(operation.result) &&
                !ticket.key.empty())
              granted[ticket.key].insert(ticket.nonce);
          }
        }
      }
    }
    for (const auto& [key, nonces] : granted) {
      INFO("seed " << seed << " key " << key);
      CHECK(nonces.size() <= 1);
    }
  }
}

}  // namespace wist
