#ifndef GATEWAY_GATEWAY_TYPES_H_
#define GATEWAY_GATEWAY_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "directory/directory_types.h"
#include "framework/net/http_codec.h"
#include "verdict/verdict_types.h"

namespace wist {

// What a caller says of the generation that it asks for.
struct generation_facts {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The caller's estimate of the output: right in the median only.
  std::optional<std::int64_t> estimated_output_tokens;
  // Names the session whose prompts share their beginning; empty for none.
  std::string session;

  auto operator<=>(const generation_facts&) const = default;
};

// A request of a caller, decoded.
struct caller_request {
  std::string id;
  std::string host;
  std::string key;
  std::optional<milliseconds> time_left;
  std::optional<generation_facts> generation;
  http_request_message message;
};

// Where the memory of a run is.
struct run_memory {
  http_address address;
  std::string handle;

  auto operator<=>(const run_memory&) const = default;
};

// What is added to a request on its way to a target.
struct target_dispatch {
  target_entry target;
  milliseconds time_left{0};
  std::string workspace;
  std::int32_t priority = 0;
  // Set for a run that goes on from memory, after the event `last_event_id`.
  std::optional<run_memory> memory;
  std::string last_event_id;
  // Where the run's memory is copied as it grows.
  std::optional<http_address> backup;
};

// What a target's answer says by its head.
enum class answer_kind {
  success,  // Counts once its body is whole.
  failure,  // The target ran the request and failed.
  not_run,  // The target says that it did not run the request.
  invalid,  // Not an answer of a target in good order.
};

struct answer_facts {
  answer_kind kind = answer_kind::invalid;
  bool is_event_stream = false;
  // Another target has the address now.
  bool is_misdirected = false;
};

// An order to copy a run's memory to another target.
struct move_order {
  std::string request_id;
  http_address receiver;
};

struct move_answer {
  int status = 0;
  std::string handle;
};

// A refusal or failure of this instance's own.
struct refusal {
  error_code code = error_code::internal;
  run_verdict verdict = run_verdict::not_run;
  std::optional<milliseconds> retry_after;
};

// Bounds from the operators' settings.
struct gateway_settings {
  std::string instance;
  domain_id domain;
  http_address listen;
  http_address ready_listen;
  std::optional<http_address> metrics_listen;
  http_address peer_listen;
  // How long a withdrawn key may still be honoured.
  milliseconds key_validity{5000};
  // A stopping process ends by then after its signal.
  milliseconds stop_limit{8000};
  // How long entries may take to come back after an outage of the store.
  milliseconds missing_grace{2000};
  double retry_ratio = 0.2;
  double retry_slack = 0;
  milliseconds retry_window{10'000};
  std::size_t max_channels = 3000;
  // Rate of this instance's link, in Mbit/s.
  std::int64_t link_rate = 0;

  auto operator<=>(const gateway_settings&) const = default;
};

}  // namespace wist

#endif  // GATEWAY_GATEWAY_TYPES_H_
