#ifndef BURN_BURN_TYPES_H_
#define BURN_BURN_TYPES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"

namespace wist {

// The labels by which burn is reported.
struct burn_subject {
  std::string service;
  std::string workspace;
  std::string domain;

  auto operator<=>(const burn_subject&) const = default;
};

// Counters of one subject, summed over all instances.
struct burn_counts {
  double requests = 0;
  double refusals = 0;
  double first_tokens = 0;
  double first_tokens_in_time = 0;
  double gaps = 0;  // Between two consecutive tokens of a stream.
  double gaps_in_time = 0;
  double stall_seconds = 0;

  auto operator<=>(const burn_counts&) const = default;
};

using burn_sample = std::map<burn_subject, burn_counts>;

// Error budget burn rate of one subject over one window. At a rate of 1 the
// error budget is used up exactly; above 1 the objective is missed.
struct burn_row {
  burn_subject subject;
  std::int64_t window_seconds = 0;
  double first_token_burn = 0;
  double between_tokens_burn = 0;
  // Fraction of the requests that were refused.
  double refusal_part = 0;
  double stall_seconds = 0;
  // Number of token gaps.
  double observations = 0;

  auto operator<=>(const burn_row&) const = default;
};

}  // namespace wist

#endif  // BURN_BURN_TYPES_H_
