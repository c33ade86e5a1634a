#include <catch2/catch.hpp>

#include "claims/internal/claim_bucket.h"
#include "framework/base/tests/mocks/virtual_clock.h"
#include "store/tests/mocks/model_kv_store.h"

namespace wist {
namespace {

const claim_settings kSettings{.buckets_per_slice = 2};

struct fixture {
  std::string AddClaim(calendar_time issued_at) {
    claim_bucket bucket;
    Apply(claim_operation{{"key", "nonce", issued_at}, "body"}, bucket);
    const std::string key = BucketKey(kSettings, "key", issued_at);
    store->model.CompareAndSwap(key, 0, EncodeBucket(bucket));
    return key;
  }
  bool IsClosed(const std::string& key) const {
    return DecodeBucket(store->model.Read(key).value).closed;
  }
  void SweepRepeatedly(calendar_time now) {
    for (int i = 0; i < 200; ++i)
      sweeper->Sweep(now, clock.Now() + seconds(1));
  }

  virtual_clock clock;
  std::shared_ptr<model_kv_store> store =
      std::make_shared<model_kv_store>(clock);
  std::unique_ptr<i_claim_sweeper> sweeper = MakeClaimSweeper(store, kSettings);
};

}  // namespace

TEST_CASE_METHOD(fixture, "buckets are closed after the retention time") {
  const calendar_time issued = clock.CalendarNow();
  const std::string key = AddClaim(issued);
  SweepRepeatedly(issued + kClaimRetention);
  CHECK_FALSE(IsClosed(key));
  SweepRepeatedly(issued + kClaimRetention + seconds(30));
  CHECK(IsClosed(key));
}

TEST_CASE_METHOD(fixture, "a bucket without records stays unchanged") {
  SweepRepeatedly(clock.CalendarNow());
  CHECK(store->model.revision() == 0);
}

TEST_CASE_METHOD(fixture, "a store outage only delays the closing of buckets") {
  const calendar_time issued = clock.CalendarNow();
  const std::string key = AddClaim(issued);
  SweepRepeatedly(issued + kClaimRetention);
  store->down = true;
  const calendar_time later = issued + kClaimRetention + seconds(60);
  CHECK_THROWS_AS(sweeper->Sweep(later, clock.Now()), kv_unavailable);
  store->down = false;
  SweepRepeatedly(later);
  CHECK(IsClosed(key));
}

}  // namespace wist
