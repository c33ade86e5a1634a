#ifndef LIMITS_CRASH_TYPES_H_
#define LIMITS_CRASH_TYPES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

// Hash of what may be the cause of a crash: a whole request, or a part of its
// prompt. Equal on all instances.
using suspect_digest = std::uint64_t;
using suspect_set = std::set<suspect_digest>;

// Hash of a request's method, path, caller, body and shared prompt parts.
// Equivalent requests have equal digests.
using request_digest = suspect_digest;

// Hash of the id of a part of a prompt.
using prompt_part_digest = suspect_digest;

// Identifies what a run may have crashed its target with: its request and the
// parts of its prompt that other requests share.
struct run_fingerprint {
  request_digest request = 0;
  std::vector<prompt_part_digest> prompt_parts;

  auto operator<=>(const run_fingerprint&) const = default;

  suspect_set Suspects() const;
};

// A prompt that crashes targets does so when they begin their response. The
// first output may still be sent; output after this time shows that the prompt
// is not the cause of a crash.
inline constexpr milliseconds kOutputSettlingTime{250};

// Report of one instance to its peers: `target` crashed under a run of the
// request `subject` with these parts or, if no target is set, a run with
// `subject`, a request or a part, produced output.
struct crash_notice {
  suspect_digest subject = 0;
  std::optional<target_id> target;
  microseconds age{0};
  // The parts of the run's prompt that may have caused the crash.
  std::vector<prompt_part_digest> prompt_parts;

  auto operator<=>(const crash_notice&) const = default;
};

// Suspects that crash targets when they come together in one request. Which of
// them is the cause may be unknown, so only requests that have all of them are
// refused.
struct quarantine {
  suspect_set suspects;
  // Lifted then, unless it is extended.
  timestamp deadline;

  auto operator<=>(const quarantine&) const = default;

  // Identifies the quarantine on all instances.
  std::string Name() const;
};

}  // namespace wist

#endif  // LIMITS_CRASH_TYPES_H_
