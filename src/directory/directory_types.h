#ifndef DIRECTORY_DIRECTORY_TYPES_H_
#define DIRECTORY_DIRECTORY_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"
#include "framework/http/http_types.h"

namespace wist {

// A target as it registered itself.
struct target_entry {
  target_id id;
  service_id service;
  http_address address;
  domain_id domain;
  std::int32_t slots = 0;
  bool leaving = false;
  // How much longer the target was cold when it wrote the entry.
  milliseconds cold_for{0};
  // Grows with each entry of one start of the target.
  std::int64_t sequence = 0;
  // Distinguishes starts under one id: calendar time in milliseconds.
  std::int64_t started_at = 0;

  auto operator<=>(const target_entry&) const = default;
};

// What the directory holds of a target.
struct known_target {
  target_entry entry;
  timestamp cold_deadline;
  // Set while the entry is missing since an outage of the store.
  std::optional<timestamp> missing_deadline;
  // No new work may be sent; final for one start of the target.
  bool leaving = false;
  timestamp leaving_since;

  auto operator<=>(const known_target&) const = default;
};

}  // namespace wist

#endif  // DIRECTORY_DIRECTORY_TYPES_H_
