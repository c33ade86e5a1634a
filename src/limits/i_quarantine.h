#ifndef LIMITS_I_QUARANTINE_H_
#define LIMITS_I_QUARANTINE_H_

#include <optional>
#include <string>
#include <vector>

#include "limits/limits_types.h"

namespace wist {

// Stops a request that crashed two targets. Not thread-safe.
class i_quarantine {
 public:
  virtual ~i_quarantine() = default;

  // Notes a crash, seen here or told by another instance. Returns whether it
  // was new.
  virtual bool AddStrike(const crash_strike& strike, timestamp now) = 0;

  // Returns the time until which the request is refused, if it is.
  virtual std::optional<timestamp> QuarantinedUntil(
      const std::string& request_digest,
      timestamp now) const = 0;

  // Returns the targets that crashed under the request.
  virtual std::vector<target_id> StruckTargets(
      const std::string& request_digest,
      timestamp now) const = 0;

  // Returns the strikes that have not lapsed, newest first, at most `most`.
  virtual std::vector<crash_strike> Strikes(timestamp now,
                                            std::size_t most) const = 0;
};

}  // namespace wist

#endif  // LIMITS_I_QUARANTINE_H_
