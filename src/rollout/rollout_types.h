#ifndef ROLLOUT_ROLLOUT_TYPES_H_
#define ROLLOUT_ROLLOUT_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"
#include "rollout/version_samples.h"

namespace wist {

// Version of a target's software; empty if the target states none.
using version_name = std::string;

// Request of an operator to shift a service to targets of another version.
struct rollout_request {
  service_id service;
  version_name target;
  // As stated by the operator; decoders limit it to +-1e12.
  double duration_s = 0;

  auto operator<=>(const rollout_request&) const = default;
};

// A stored request that could not be decoded.
struct malformed_rollout_request {
  std::string error;  // What is wrong, with the value where there is one.

  auto operator<=>(const malformed_rollout_request&) const = default;
};

using decoded_rollout_request =
    std::variant<rollout_request, malformed_rollout_request>;

enum class rollout_state { running, succeeded, rolled_back };

// What the status `running` states for the instances.
enum class rollout_stage {
  canary,  // A share of the requests goes to the new version.
  shift    // All new requests go to it.
};

// Content of the status key.
struct rollout_status {
  rollout_state state = rollout_state::running;
  version_name target;
  // Revision of the roll-out request that the status is about; 0 if it was
  // written by another program.
  std::int64_t request_revision = 0;
  // When the roll-out request was first seen, by the wall clock of the decider.
  calendar_time started_at{};
  double duration_s = 0;  // From the roll-out request.
  rollout_stage stage = rollout_stage::canary;
  // Share of the requests for the new version in the canary stage, in [0, 1].
  double share = 0;
  // Versions that served the service before.
  std::set<version_name> old_versions;
  std::string reason;  // Of a final state.

  auto operator<=>(const rollout_status&) const = default;
};

// Which versions new requests to a service may use.
enum class rollout_phase { none, canary, only_new, only_old };

struct version_rule {
  rollout_phase phase = rollout_phase::none;
  version_name target;  // The new version; empty in phase `none`.
  double share = 0;     // In phase `canary`.
  // Versions that were never permitted, or no longer are, in any phase.
  std::set<version_name> withheld;

  auto operator<=>(const version_rule&) const = default;
};

// Why a roll-out request is invalid.
enum class rollout_request_error {
  malformed,
  wrong_service,  // The body names another service than the key.
  unknown_service,
  duration_not_positive,
  duration_too_long,
  no_target_of_version,
  only_version,
  all_domains_evacuated
};

struct invalid_request {
  rollout_request_error error = rollout_request_error::malformed;
  std::string item;   // Field or key.
  std::string value;  // As received.
  std::string bound;  // What is allowed.

  auto operator<=>(const invalid_request&) const = default;
};

const char* ToString(rollout_state state);
const char* ToString(rollout_stage stage);
const char* ToString(rollout_phase phase);
const char* ToString(rollout_request_error error);

}  // namespace wist

#endif  // ROLLOUT_ROLLOUT_TYPES_H_
