#ifndef STAND_INS_ENGINE_ENGINE_TYPES_H_
#define STAND_INS_ENGINE_ENGINE_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/base/time_types.h"

namespace wist::stand_ins {

struct engine_settings {
  // Memory for the prompts and outputs of running generations, in tokens.
  std::int64_t memory_tokens = 40'000;
  int max_running = 256;
  microseconds step_base{8'000};
  microseconds step_per_sequence{200};
  microseconds step_per_prefill_token{40};
  int max_prefill_tokens_per_step = 256;
  // Capacity for prompt prefixes that stay cached after their generations end.
  std::int64_t prefix_cache_tokens = 16'000;
  milliseconds report_lag{500};
  // A cold engine takes longer per step, and crashes if it holds more requests
  // than this.
  int cold_bearable_requests = 2;
  int cold_step_factor = 3;
  int warm_up_tokens = 400;
  bool starts_cold = false;
  bool checks_fencing = false;
};

struct generation_request {
  std::string id;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;  // Unknown to the load balancer.
  int priority = 1;                // Higher values are preempted first.
  std::string prefix;
  std::int64_t prefix_tokens = 0;
};

enum class engine_event_kind { token, finished, preempted, lost };

struct engine_event {
  engine_event_kind kind = engine_event_kind::token;
  std::string generation;
  std::int64_t offset = 0;  // Index of the token, from 0.
  timestamp at;
};

// Load of the engine at the time `at`.
struct engine_report {
  timestamp at;
  int running = 0;
  int waiting = 0;
  std::int64_t memory_used = 0;
  std::int64_t memory_total = 0;
  bool cold = false;
  std::vector<std::string> cached_prefixes;
};

struct engine_counters {
  std::uint64_t tokens = 0;
  std::uint64_t preemptions = 0;
  std::uint64_t crashes = 0;
  std::uint64_t cold_violations = 0;
};

}  // namespace wist::stand_ins

#endif  // STAND_INS_ENGINE_ENGINE_TYPES_H_
