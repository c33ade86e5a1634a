#ifndef CONFIGURATION_CONFIGURATION_TYPES_H_
#define CONFIGURATION_CONFIGURATION_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/strong_id.h"

namespace wist {

using domain_id = strong_id<struct domain_tag>;
using target_id = strong_id<struct target_tag>;
using workspace_id = strong_id<struct workspace_tag>;
using service_id = strong_id<struct service_tag>;

enum class service_kind { generation, plain };
enum class domain_state { in, out };
enum class target_state { active, leaving };

// A failure domain and whether it accepts new work.
struct domain_spec {
  domain_id id;
  std::string region;
  domain_state state = domain_state::in;
  // Maximum number of live entry instances in the domain, including
  // replacements.
  std::int32_t max_entry_instances = 4;

  auto operator<=>(const domain_spec&) const = default;
};

// A model engine or a plain service process.
struct target_spec {
  target_id id;
  domain_id domain;
  service_kind kind = service_kind::generation;
  std::string host;
  std::uint16_t port = 0;
  target_state state = target_state::active;
  // Whether the target rejects orders with an outdated fencing number.
  bool checks_fencing = false;
  // Maximum number of concurrent requests while the target is cold.
  std::int32_t cold_bearable_requests = 2;
  // KV cache capacity for running generations, in tokens; 0 for plain services.
  std::int64_t memory_tokens = 0;

  auto operator<=>(const target_spec&) const = default;
};

struct workspace_spec {
  workspace_id id;
  // Share of the capacity of targets under contention, in thousandths. The
  // shares of all workspaces sum to at most 1000.
  std::int32_t share_permille = 0;
  // Limit for all instances together.
  std::int32_t max_requests_per_minute = 0;
  // Lower values are shed later.
  std::int32_t priority = 1;

  auto operator<=>(const workspace_spec&) const = default;
};

// Service-level objective of a service.
struct objective_spec {
  std::int32_t first_token_ms = 1900;
  std::int32_t between_tokens_ms = 33;
  // Share of observations that must meet both limits, in thousandths.
  std::int32_t good_permille = 950;

  auto operator<=>(const objective_spec&) const = default;
};

struct service_spec {
  service_id id;
  service_kind kind = service_kind::generation;
  std::string model;
  // False for calls that run at most once and need an idempotency key.
  bool repeatable = true;
  objective_spec objective;

  auto operator<=>(const service_spec&) const = default;
};

// Binds requests of a workspace ("*" for any workspace) for a service to
// targets.
struct rule_spec {
  workspace_id workspace;
  service_id service;
  std::vector<target_id> targets;

  auto operator<=>(const rule_spec&) const = default;
};

// The part of a configuration that operators edit. Lists are sorted by id in
// the canonical form.
struct configuration_body {
  std::vector<domain_spec> domains;
  std::vector<target_spec> targets;
  std::vector<workspace_spec> workspaces;
  std::vector<service_spec> services;
  std::vector<rule_spec> rules;

  auto operator<=>(const configuration_body&) const = default;
};

// One accepted change, kept for `wistctl history`.
struct change_record {
  std::int64_t version = 0;
  std::string change_id;
  std::string author;
  std::string digest;

  auto operator<=>(const change_record&) const = default;
};

// A configuration with its version and its change history.
struct configuration_document {
  std::int64_t version = 0;
  std::string change_id;
  std::string author;
  std::vector<change_record> history;
  configuration_body body;

  auto operator<=>(const configuration_document&) const = default;
};

// A validation error and the path of the configuration entry that it concerns.
struct configuration_error {
  std::string path;
  std::string message;

  auto operator<=>(const configuration_error&) const = default;
};

}  // namespace wist

#endif  // CONFIGURATION_CONFIGURATION_TYPES_H_
