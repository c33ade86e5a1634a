#include <catch2/catch.hpp>

#include "coldstart/coldstart_module.h"
#include "configuration/tests/mocks/sample_configuration.h"

namespace wist {
namespace {

constexpr timestamp kStart{seconds(1000)};
const target_id kTarget("engine-1");
const instance_id kA("a");
const instance_id kB("b");

configuration_body Body(std::int32_t bearable, std::int32_t instances) {
  configuration_body body = SampleBody();
  body.targets[0].cold_bearable_requests = bearable;
  body.domains[0].max_entry_instances = instances;
  return body;
}

kv_lease Lease(std::uint64_t number, timestamp deadline) {
  return {"cold/rennes", "steward", number, deadline};
}

target_report Report(timestamp taken_at, std::int32_t running) {
  target_report report;
  report.taken_at = taken_at;
  report.running = running;
  report.cold = true;
  return report;
}

struct fixture {
  fixture() {
    steward->ApplyConfiguration(Body(4, 8));  // Everything is pooled.
    steward->OnLease(Lease(1, kStart + seconds(20)), kStart - seconds(1));
  }
  std::int32_t Ask(const instance_id& member,
                   std::int32_t running,
                   std::int32_t wanted,
                   timestamp now) {
    return steward->Exchange(member, {{kTarget, running, wanted}}, now)[0]
        .count;
  }
  std::unique_ptr<i_cold_steward> steward = MakeColdSteward({});
};

}  // namespace

TEST_CASE("static parts and the pool never exceed what a target bears") {
  for (std::int32_t bearable = 1; bearable <= 40; ++bearable) {
    for (std::int32_t instances = 1; instances <= 12; ++instances) {
      const configuration_body body = Body(bearable, instances);
      const auto part = StaticPart(body.targets[0], body.domains[0]);
      const auto pool = PooledPart(body.targets[0], body.domains[0]);
      CHECK(part >= 0);
      CHECK(pool >= 0);
      CHECK(part * instances + pool == bearable);
    }
  }
}

TEST_CASE_METHOD(fixture, "nothing is granted before a report tells the load") {
  CHECK(Ask(kA, 0, 2, kStart) == 0);
  steward->OnReport(kTarget, Report(kStart + milliseconds(400), 0), kStart);
  CHECK(Ask(kA, 0, 2, kStart + seconds(1)) == 0);
  steward->OnReport(kTarget, Report(kStart + milliseconds(500), 0), kStart);
  CHECK(Ask(kA, 0, 2, kStart + seconds(1)) == 2);
}

TEST_CASE_METHOD(fixture, "members share the pool") {
  steward->OnReport(kTarget, Report(kStart + seconds(1), 0), kStart);
  CHECK(Ask(kA, 0, 3, kStart + seconds(1)) == 3);
  CHECK(Ask(kB, 0, 3, kStart + seconds(1)) == 1);
}

TEST_CASE_METHOD(fixture, "requests of an earlier epoch are counted") {
  steward->OnReport(kTarget, Report(kStart + seconds(1), 3), kStart);
  CHECK(Ask(kA, 0, 4, kStart + seconds(1)) == 1);
  steward->OnReport(kTarget, Report(kStart + seconds(2), 1), kStart);
  CHECK(Ask(kA, 0, 4, kStart + seconds(2)) == 3);
}

TEST_CASE_METHOD(fixture, "a silent member's requests count until reported") {
  steward->OnReport(kTarget, Report(kStart + seconds(1), 0), kStart);
  CHECK(Ask(kA, 0, 3, kStart + seconds(1)) == 3);
  const timestamp later = kStart + seconds(6);
  CHECK(Ask(kB, 0, 4, later) == 1);
  steward->OnReport(kTarget, Report(later + seconds(1), 1), later);
  CHECK(Ask(kB, 1, 4, later + seconds(1)) == 3);
}

TEST_CASE_METHOD(fixture, "work from before a target turned cold is counted") {
  steward->OnReport(kTarget, Report(kStart + seconds(1), 0), kStart);
  CHECK(Ask(kA, 0, 1, kStart + seconds(1)) == 1);
  target_report warm = Report(kStart + seconds(2), 30);
  warm.cold = false;
  steward->OnReport(kTarget, warm, kStart + seconds(2));
  const timestamp cold_at = kStart + seconds(9);
  steward->OnReport(kTarget, Report(cold_at, 30), cold_at);
  CHECK(Ask(kA, 0, 4, cold_at) == 0);
  // Others may send as to a warm target until they hear of it, too.
  steward->OnReport(kTarget, Report(cold_at + seconds(1), 1), cold_at);
  CHECK(Ask(kA, 0, 4, cold_at + seconds(1)) == 0);
  steward->OnReport(kTarget, Report(cold_at + seconds(2), 3), cold_at);
  CHECK(Ask(kA, 0, 4, cold_at + seconds(2)) == 1);
}

TEST_CASE_METHOD(fixture, "a lease that ran out grants nothing") {
  steward->OnReport(kTarget, Report(kStart + seconds(1), 0), kStart);
  CHECK(Ask(kA, 0, 1, kStart + milliseconds(19400)) == 1);
  CHECK(Ask(kA, 0, 1, kStart + milliseconds(19500)) == 0);
}

TEST_CASE_METHOD(fixture, "no permit outlives the lease") {
  steward->OnReport(kTarget, Report(kStart + seconds(1), 0), kStart);
  const timestamp late = kStart + seconds(18);
  const auto permit = steward->Exchange(kA, {{kTarget, 0, 1}}, late)[0];
  CHECK(permit.valid_for == milliseconds(1500));
}

TEST_CASE("a member never acts on a permit past its deadline") {
  auto member = MakeColdAllowance({}, domain_id("rennes"), kStart);
  member->ApplyConfiguration(Body(4, 8));
  CHECK(member->Allowance(kTarget, kStart) == 0);
  member->OnPermit({kTarget, 2, 1, milliseconds(3000)}, kStart);
  CHECK(member->Allowance(kTarget, kStart + milliseconds(2999)) == 2);
  CHECK(member->Allowance(kTarget, kStart + milliseconds(3000)) == 0);
}

TEST_CASE("a permit of an older epoch is refused") {
  auto member = MakeColdAllowance({}, domain_id("rennes"), kStart);
  member->ApplyConfiguration(Body(4, 8));
  member->OnPermit({kTarget, 1, 2, milliseconds(3000)}, kStart);
  member->OnPermit({kTarget, 4, 1, milliseconds(9000)}, kStart);
  CHECK(member->Allowance(kTarget, kStart) == 1);
}

TEST_CASE("the static part waits for a predecessor's requests to end") {
  auto member = MakeColdAllowance({}, domain_id("rennes"), kStart);
  member->ApplyConfiguration(Body(4, 4));
  CHECK(member->Allowance(kTarget, kStart + milliseconds(7999)) == 0);
  CHECK(member->Allowance(kTarget, kStart + milliseconds(8000)) == 1);
}

TEST_CASE("targets of other domains get nothing while cold") {
  auto member = MakeColdAllowance({}, domain_id("brest"), kStart);
  member->ApplyConfiguration(Body(4, 1));
  CHECK(member->Allowance(kTarget, kStart + seconds(60)) == 0);
}

}  // namespace wist
