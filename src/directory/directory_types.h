#ifndef DIRECTORY_DIRECTORY_TYPES_H_
#define DIRECTORY_DIRECTORY_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"
#include "framework/http/http_types.h"

namespace wist {

// The registration that a target wrote to the store.
struct target_entry {
  target_id id;
  service_id service;
  http_address address;
  domain_id domain;
  std::int32_t slots = 0;
  bool leaving = false;
  // Remaining warm-up time when the target wrote the entry.
  milliseconds cold_remaining{0};
  // Increases with each entry that one process of the target writes.
  std::int64_t sequence = 0;
  // Start time of the target's process, in milliseconds of calendar time.
  // Distinguishes processes that register under the same id.
  std::int64_t started_at = 0;
  // Version of the target's software; empty if it stated none.
  std::string version;

  auto operator<=>(const target_entry&) const = default;
};

// A registered target and its state in the directory.
struct known_target {
  target_entry entry;
  timestamp cold_deadline;
  // Set while the entry is missing after a store outage.
  std::optional<timestamp> missing_deadline;
  // No new work may be sent. Stays set until the target restarts if the target
  // itself registered as leaving or said so in a response.
  bool leaving = false;
  bool stated_leaving = false;  // In a response.
  timestamp leaving_since;

  auto operator<=>(const known_target&) const = default;
};

}  // namespace wist

#endif  // DIRECTORY_DIRECTORY_TYPES_H_
