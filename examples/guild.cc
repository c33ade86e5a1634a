// Configuration of the New England Tortoise Overwintering Guild: four failure
// domains, twelve engines for care plans, and four plain targets for berth
// bookings and status requests.

#include <fmt/format.h>

#include "examples/program.h"

namespace {

constexpr int kEngines = 12;
constexpr int kPlainTargets = 4;
constexpr std::int64_t kEngineMemoryTokens = 40'000;
constexpr std::int32_t kColdRequestLimit = 4;
constexpr std::int32_t kEntryInstancesPerDomain = 3;

const char* const kDomains[] = {"nashua", "worcester", "hartford",
                                "burlington"};

wist::configuration_body BuildConfiguration(
    const wist::examples::deployment_addresses& addresses) {
  wist::configuration_builder builder;
  for (const char* domain : kDomains)
    builder.AddDomain(domain, "new-england", kEntryInstancesPerDomain);
  for (int i = 0; i < kEngines; ++i) {
    builder.AddEngine(
        fmt::format("care-{}", i + 1), kDomains[i % 4], addresses.host,
        static_cast<std::uint16_t>(addresses.first_engine_port + i),
        kEngineMemoryTokens, kColdRequestLimit,
        /*checks_fencing=*/i % 3 == 0);
  }
  for (int i = 0; i < kPlainTargets; ++i) {
    builder.AddPlainTarget(
        fmt::format("berth-{}", i + 1), kDomains[i], addresses.host,
        static_cast<std::uint16_t>(addresses.first_plain_port + i));
  }
  // Workspaces: share of the capacity in thousandths, requests per minute and
  // priority.
  builder.AddWorkspace("boarding-nashua", 250, 6000, 1)
      .AddWorkspace("boarding-hartford", 250, 6000, 1);
  for (const char* workspace :
       {"boarding-worcester", "boarding-burlington", "boarding-keene",
        "boarding-salem", "boarding-bangor", "boarding-newport", "keepers",
        "owners"})
    builder.AddWorkspace(workspace, 60, 3000, 2);
  builder.AddGenerationService("care-plans", "care-planner", {1900, 33, 950})
      .AddPlainService("berths", /*repeatable=*/false)
      .AddPlainService("status", /*repeatable=*/true);
  const auto engines = builder.TargetIdsOfKind(wist::service_kind::generation);
  const auto plain_targets = builder.TargetIdsOfKind(wist::service_kind::plain);
  builder.AddRule("*", "care-plans", engines)
      .AddRule("*", "berths", plain_targets)
      .AddRule("*", "status", plain_targets);
  return builder.body();
}

}  // namespace

int main(int argc, char** argv) {
  return wist::examples::RunProgram(argc, argv, BuildConfiguration);
}
