// Configuration of Korrigan Henné Réservations: three failure domains in
// Brittany, ten engines for the design assistant, and three plain targets for
// bookings and payments.

#include <fmt/format.h>

#include "examples/program.h"

namespace {

constexpr int kEngines = 10;
constexpr int kPlainTargets = 3;
constexpr std::int64_t kEngineMemoryTokens = 40'000;
constexpr std::int32_t kColdRequestLimit = 4;
constexpr std::int32_t kEntryInstancesPerDomain = 4;

const char* const kDomains[] = {"rennes", "brest", "vannes"};

wist::configuration_body BuildConfiguration(
    const wist::examples::deployment_addresses& addresses) {
  wist::configuration_builder builder;
  for (const char* domain : kDomains)
    builder.AddDomain(domain, "brittany", kEntryInstancesPerDomain);
  for (int i = 0; i < kEngines; ++i) {
    builder.AddEngine(
        fmt::format("design-{}", i + 1), kDomains[i % 3], addresses.host,
        static_cast<std::uint16_t>(addresses.first_engine_port + i),
        kEngineMemoryTokens, kColdRequestLimit,
        /*checks_fencing=*/i % 2 == 0);
  }
  for (int i = 0; i < kPlainTargets; ++i) {
    builder.AddPlainTarget(
        fmt::format("booking-{}", i + 1), kDomains[i], addresses.host,
        static_cast<std::uint16_t>(addresses.first_plain_port + i));
  }
  // Workspaces: share of the capacity in thousandths, requests per minute and
  // priority.
  builder.AddWorkspace("salon-rennes", 250, 6000, 1)
      .AddWorkspace("salon-brest", 200, 6000, 1)
      .AddWorkspace("wedding-planners", 200, 6000, 1);
  for (const char* workspace :
       {"salon-vannes", "salon-quimper", "salon-lorient", "salon-lannion",
        "salon-dinan", "markets", "artists"})
    builder.AddWorkspace(workspace, 50, 3000, 2);
  builder.AddGenerationService("briefs", "design-assistant", {1900, 33, 950})
      .AddPlainService("deposits", /*repeatable=*/false)
      .AddPlainService("calendar", /*repeatable=*/true);
  const auto engines = builder.TargetIdsOfKind(wist::service_kind::generation);
  const auto plain_targets = builder.TargetIdsOfKind(wist::service_kind::plain);
  builder.AddRule("*", "briefs", engines)
      .AddRule("*", "deposits", plain_targets)
      .AddRule("*", "calendar", plain_targets);
  return builder.body();
}

}  // namespace

int main(int argc, char** argv) {
  return wist::examples::RunProgram(argc, argv, BuildConfiguration);
}
