#ifndef GATEWAY_GATEWAY_TYPES_H_
#define GATEWAY_GATEWAY_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "directory/directory_types.h"
#include "framework/http/http_codec.h"
#include "verdict/verdict_types.h"

namespace wist {

// Parameters of a generation, as stated by the caller.
struct generation_parameters {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The caller's estimate of the output length. Accurate only in the median.
  std::optional<std::int64_t> estimated_output_tokens;
  // Session whose prompts share a common prefix; empty if there is none.
  std::string session;

  auto operator<=>(const generation_parameters&) const = default;
};

// A decoded request from a caller.
struct caller_request {
  std::string id;
  std::string host;
  // API key; empty if the request has none.
  std::string key;
  // Time until the caller's deadline, if it stated one.
  std::optional<milliseconds> time_left;
  std::optional<generation_parameters> generation;
  // Parts of the prompt that other requests may share, in order. Bounded.
  std::vector<std::string> shared_prompt_parts;
  // Sent by an instance that has no path to the targets. It is not relayed
  // again.
  bool is_relayed = false;
  // Version of the configuration of the instance that relayed it; 0 if it was
  // not relayed. An instance with an earlier version refuses it.
  std::int64_t minimum_configuration = 0;
  http_request_message message;
};

// Location of a run's KV cache.
struct kv_cache_location {
  http_address address;
  std::string handle;

  auto operator<=>(const kv_cache_location&) const = default;
};

// Data added to a request when it is dispatched to a target.
struct target_dispatch {
  target_entry target;
  milliseconds time_left{0};
  std::string workspace;
  std::int32_t priority = 0;
  // Set for a run that resumes from an existing KV cache.
  std::optional<kv_cache_location> kv_cache;
  // Last event that the caller has received; empty if there was none. The run
  // continues after it.
  std::string last_event_id;
  // Address of the target to which the run's KV cache is copied while it grows.
  std::optional<http_address> backup_address;
};

// Class of a target's response, determined from its head.
enum class response_kind {
  success,  // Valid only once its body is complete.
  failure,  // The target ran the request and failed.
  not_run,  // The target states that it did not run the request.
  invalid,  // Not a valid response of a working target.
};

struct response_classification {
  response_kind kind = response_kind::invalid;
  bool is_event_stream = false;
  // The address now belongs to another target.
  bool is_misdirected = false;
  // Name of the rule that an invalid response breaks.
  std::string broken_rule;
};

// What a target states about itself in the head of a response.
struct target_signals {
  // It accepts no new work and will shut down soon.
  bool is_leaving = false;
  // Time for which it accepts no requests from this instance.
  std::optional<milliseconds> pause;
  // It refused the request for want of room.
  bool is_full = false;
  // Set if it fails when it has to refuse more requests than this in a second,
  // from all instances together.
  std::optional<std::int32_t> tolerated_refusals;
  // It states such a number, which can't be read.
  bool has_invalid_tolerance = false;

  auto operator<=>(const target_signals&) const = default;
};

// A request to copy a run's KV cache to another target.
struct move_request {
  std::string request_id;
  http_address receiver;
  // The source stops the run before it copies what the receiver lacks.
  bool stops_run = false;

  auto operator<=>(const move_request&) const = default;
};

// Maximum size of a response to a move request, which holds a handle and a
// number.
inline constexpr std::size_t kMaxMoveResponseBytes = 4096;

struct move_response {
  int status = 0;
  std::string handle;
};

// A refusal or failure reported by this instance itself, not by a target.
struct refusal {
  error_code code = error_code::internal;
  run_verdict verdict = run_verdict::not_run;
  std::optional<milliseconds> retry_after;
  // States to the instance that relayed the request that another one may serve
  // it.
  bool other_instance_may_serve = false;
};

// Header of a refusal after which a relayed request may be sent to another
// instance: it did not run, and the cause is one of the refusing instance.
inline constexpr char kTryOtherInstanceHeader[] = "Wist-Try-Other-Instance";

// Header of a relayed request: the configuration of the instance that sent it.
inline constexpr char kMinimumConfigurationHeader[] =
    "Wist-Minimum-Configuration";

// Header of a relayed response: the id of the target that sent it.
inline constexpr char kRespondingTargetHeader[] = "Wist-Responding-Target";

// Settings of the gateway, from the operators' settings file.
struct gateway_settings {
  std::string instance;
  domain_id domain;
  http_address listen;
  http_address ready_listen;
  std::optional<http_address> metrics_listen;
  http_address peer_listen;
  // Accepts the requests that other instances relay.
  std::optional<http_address> relay_listen;
  // Maximum time for which a revoked key may still be accepted.
  milliseconds key_validity{5000};
  // Maximum time from the stop signal to the end of the process.
  milliseconds stop_limit{8000};
  // How long a target may be sent requests after the store holds that it
  // leaves.
  milliseconds leaving_target_use{2000};
  // Grace period for entries to be registered again after a store outage.
  milliseconds outage_grace{2000};
  double retry_ratio = 0.2;
  double retry_slack = 0;
  milliseconds retry_window{10'000};
  std::size_t max_connections = 3000;
  // Memory beyond which the platform ends this process.
  std::size_t memory_limit_bytes = 64'000'000;
  // Memory for all bytes that are held for callers; 0 selects half of the
  // memory limit. The rest is left for other state, for the kernel's receive
  // buffers and for what the allocator can't return.
  std::size_t caller_memory_bytes = 0;
  // Maximum number of connections to each port that serves no callers.
  std::size_t max_internal_connections = 256;
  // Bandwidth of this instance's network link, in Mbit/s.
  std::int64_t link_mbps = 0;
  // Whether no instance of the system has run before.
  bool is_first_start = false;
  // Whether roll-outs are enabled. The settings below have no effect otherwise.
  bool rollouts_enabled = false;
  // Share of a service's requests that a new version may receive before it is
  // accepted, and the number of requests beyond that share.
  double canary_share = 0.1;
  double canary_slack = 50;
  // Time from a version's 50th bad response to the last request sent to it.
  milliseconds rollback_timeout{5000};
  // Time for which instances may lack contact with each other.
  milliseconds contact_time{4000};
  // Time by which an impaired store may delay a roll-back.
  milliseconds outer_time{6000};

  auto operator<=>(const gateway_settings&) const = default;
};

std::size_t CallerMemoryBytes(const gateway_settings& settings);

// The body of a request is held twice: as received, and as it is sent to a
// target. Returns the memory that a request with a body of this size needs.
constexpr std::size_t RequestMemoryBytes(std::size_t body_bytes) {
  constexpr std::size_t kCopies = 2;
  return kCopies * body_bytes;
}

// Size of the kernel's receive buffer of each connection from a caller, so that
// all of them together stay within their share of the memory limit.
int ReceiveBufferBytes(const gateway_settings& settings);

}  // namespace wist

#endif  // GATEWAY_GATEWAY_TYPES_H_
