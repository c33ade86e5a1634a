#include "limits/crash_types.h"

#include <fmt/format.h>

#include "framework/base/hashing.h"

namespace wist {

suspect_set run_fingerprint::Suspects() const {
  suspect_set suspects(prompt_parts.begin(), prompt_parts.end());
  suspects.insert(request);
  return suspects;
}

std::string quarantine::Name() const {
  std::uint64_t hash = 0;
  for (const suspect_digest suspect : suspects)
    hash = StableHash(fmt::format("{:016x}", suspect), hash);
  return fmt::format("{:016x}", hash);
}

}  // namespace wist
