#include <catch2/catch.hpp>

#include "coldstart/coldstart_module.h"
#include "configuration/tests/mocks/sample_configuration.h"

namespace wist {
namespace {

constexpr timestamp kStart{seconds(1000)};
const target_id kTarget("engine-1");
const instance_id kInstanceA("a");
const instance_id kInstanceB("b");

configuration_body MakeBody(std::int32_t cold_limit, std::int32_t instances) {
  configuration_body body = SampleBody();
  body.targets[0].cold_bearable_requests = cold_limit;
  body.domains[0].max_entry_instances = instances;
  return body;
}

kv_lease MakeLease(std::uint64_t number, timestamp deadline) {
  return {"cold/rennes", "coordinator", number, deadline};
}

target_report MakeReport(timestamp taken_at, std::int32_t running) {
  target_report report;
  report.taken_at = taken_at;
  report.running = running;
  report.cold = true;
  return report;
}

struct fixture {
  fixture() {
    // With a limit of 4 cold requests and 8 instances the static limit is 0, so
    // that all requests need a permit.
    coordinator->ApplyConfiguration(MakeBody(4, 8));
    // The epoch starts at kStart - 1 s. Reports taken in its first 1.5 s
    // (cold_report_propagation), before kStart + 500 ms, are ignored.
    coordinator->OnLease(MakeLease(1, kStart + seconds(20)),
                         kStart - seconds(1));
  }
  std::int32_t PermittedCount(const instance_id& instance,
                              std::int32_t running,
                              std::int32_t wanted,
                              timestamp now) {
    return coordinator
        ->IssuePermits(instance, {{kTarget, running, wanted}}, now)[0]
        .count;
  }
  std::unique_ptr<i_cold_start_coordinator> coordinator =
      MakeColdStartCoordinator({});
};

}  // namespace

TEST_CASE("static limits and the pooled limit add up to the target's limit") {
  for (std::int32_t cold_limit = 1; cold_limit <= 40; ++cold_limit) {
    for (std::int32_t instances = 1; instances <= 12; ++instances) {
      const configuration_body body = MakeBody(cold_limit, instances);
      const auto static_limit =
          StaticLimitPerInstance(body.targets[0], body.domains[0]);
      const auto pooled_limit = PooledLimit(body.targets[0], body.domains[0]);
      CHECK(static_limit >= 0);
      CHECK(pooled_limit >= 0);
      CHECK(static_limit * instances + pooled_limit == cold_limit);
    }
  }
}

TEST_CASE_METHOD(fixture,
                 "no permit is issued before a recent report of the target") {
  CHECK(PermittedCount(kInstanceA, 0, 2, kStart) == 0);
  coordinator->OnReport(kTarget, MakeReport(kStart + milliseconds(400), 0),
                        kStart);
  CHECK(PermittedCount(kInstanceA, 0, 2, kStart + seconds(1)) == 0);
  coordinator->OnReport(kTarget, MakeReport(kStart + milliseconds(500), 0),
                        kStart);
  CHECK(PermittedCount(kInstanceA, 0, 2, kStart + seconds(1)) == 2);
}

TEST_CASE_METHOD(fixture, "members share the pooled limit") {
  coordinator->OnReport(kTarget, MakeReport(kStart + seconds(1), 0), kStart);
  CHECK(PermittedCount(kInstanceA, 0, 3, kStart + seconds(1)) == 3);
  CHECK(PermittedCount(kInstanceB, 0, 3, kStart + seconds(1)) == 1);
}

TEST_CASE_METHOD(fixture, "requests of an earlier epoch are counted") {
  coordinator->OnReport(kTarget, MakeReport(kStart + seconds(1), 3), kStart);
  CHECK(PermittedCount(kInstanceA, 0, 4, kStart + seconds(1)) == 1);
  coordinator->OnReport(kTarget, MakeReport(kStart + seconds(2), 1), kStart);
  CHECK(PermittedCount(kInstanceA, 0, 4, kStart + seconds(2)) == 3);
}

TEST_CASE_METHOD(
    fixture,
    "requests of an expired permit are counted until a later report") {
  coordinator->OnReport(kTarget, MakeReport(kStart + seconds(1), 0), kStart);
  CHECK(PermittedCount(kInstanceA, 0, 3, kStart + seconds(1)) == 3);
  const timestamp later = kStart + seconds(6);
  CHECK(PermittedCount(kInstanceB, 0, 4, later) == 1);
  coordinator->OnReport(kTarget, MakeReport(later + seconds(1), 1), later);
  CHECK(PermittedCount(kInstanceB, 1, 4, later + seconds(1)) == 3);
}

TEST_CASE_METHOD(fixture,
                 "requests sent before a target turned cold are counted") {
  coordinator->OnReport(kTarget, MakeReport(kStart + seconds(1), 0), kStart);
  CHECK(PermittedCount(kInstanceA, 0, 1, kStart + seconds(1)) == 1);
  target_report warm = MakeReport(kStart + seconds(2), 30);
  warm.cold = false;
  coordinator->OnReport(kTarget, warm, kStart + seconds(2));
  const timestamp cold_at = kStart + seconds(9);
  coordinator->OnReport(kTarget, MakeReport(cold_at, 30), cold_at);
  CHECK(PermittedCount(kInstanceA, 0, 4, cold_at) == 0);
  // Other instances may send to it as to a warm target until they learn that it
  // is cold.
  coordinator->OnReport(kTarget, MakeReport(cold_at + seconds(1), 1), cold_at);
  CHECK(PermittedCount(kInstanceA, 0, 4, cold_at + seconds(1)) == 0);
  coordinator->OnReport(kTarget, MakeReport(cold_at + seconds(2), 3), cold_at);
  CHECK(PermittedCount(kInstanceA, 0, 4, cold_at + seconds(2)) == 1);
}

TEST_CASE_METHOD(fixture, "no permit is issued once the lease has expired") {
  coordinator->OnReport(kTarget, MakeReport(kStart + seconds(1), 0), kStart);
  CHECK(PermittedCount(kInstanceA, 0, 1, kStart + milliseconds(19400)) == 1);
  CHECK(PermittedCount(kInstanceA, 0, 1, kStart + milliseconds(19500)) == 0);
}

TEST_CASE_METHOD(fixture, "no permit is valid longer than the lease") {
  coordinator->OnReport(kTarget, MakeReport(kStart + seconds(1), 0), kStart);
  const timestamp late = kStart + seconds(18);
  const auto permit =
      coordinator->IssuePermits(kInstanceA, {{kTarget, 0, 1}}, late)[0];
  // The remaining 2 s of the lease less the safety margin of 500 ms.
  CHECK(permit.valid_for == milliseconds(1500));
}

TEST_CASE("a permit is not valid from its deadline on") {
  auto limiter = MakeColdStartLimiter({}, domain_id("rennes"), kStart);
  limiter->ApplyConfiguration(MakeBody(4, 8));
  CHECK(limiter->RequestLimit(kTarget, kStart) == 0);
  limiter->OnPermit({kTarget, 2, 1, milliseconds(3000)}, kStart);
  CHECK(limiter->RequestLimit(kTarget, kStart + milliseconds(2999)) == 2);
  CHECK(limiter->RequestLimit(kTarget, kStart + milliseconds(3000)) == 0);
}

TEST_CASE("a permit of an older epoch is ignored") {
  auto limiter = MakeColdStartLimiter({}, domain_id("rennes"), kStart);
  limiter->ApplyConfiguration(MakeBody(4, 8));
  limiter->OnPermit({kTarget, 1, 2, milliseconds(3000)}, kStart);
  limiter->OnPermit({kTarget, 4, 1, milliseconds(9000)}, kStart);
  CHECK(limiter->RequestLimit(kTarget, kStart) == 1);
}

TEST_CASE("the static limit is unused until the predecessor's requests end") {
  auto limiter = MakeColdStartLimiter({}, domain_id("rennes"), kStart);
  limiter->ApplyConfiguration(MakeBody(4, 4));
  CHECK(limiter->RequestLimit(kTarget, kStart + milliseconds(7999)) == 0);
  CHECK(limiter->RequestLimit(kTarget, kStart + milliseconds(8000)) == 1);
}

TEST_CASE("no requests are sent to cold targets of other domains") {
  auto limiter = MakeColdStartLimiter({}, domain_id("brest"), kStart);
  limiter->ApplyConfiguration(MakeBody(4, 1));
  CHECK(limiter->RequestLimit(kTarget, kStart + seconds(60)) == 0);
}

}  // namespace wist
