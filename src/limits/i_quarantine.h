#ifndef LIMITS_I_QUARANTINE_H_
#define LIMITS_I_QUARANTINE_H_

#include <optional>
#include <string>
#include <vector>

#include "limits/limits_types.h"

namespace wist {

// Refuses requests that crashed two targets. Not thread-safe.
class i_quarantine {
 public:
  virtual ~i_quarantine() = default;

  // Records a crash observed here or reported by another instance. Returns
  // whether it was new.
  virtual bool AddCrash(const target_crash& crash, timestamp now) = 0;

  // Returns the time until which the request is refused, or nothing if it is
  // allowed.
  virtual std::optional<timestamp> QuarantinedUntil(
      const std::string& request_digest,
      timestamp now) const = 0;

  // Returns the targets that crashed while they ran the request.
  virtual std::vector<target_id> CrashedTargets(
      const std::string& request_digest,
      timestamp now) const = 0;

  // Returns up to `max_count` crashes that have not expired, newest first.
  virtual std::vector<target_crash> UnexpiredCrashes(
      timestamp now,
      std::size_t max_count) const = 0;
};

}  // namespace wist

#endif  // LIMITS_I_QUARANTINE_H_
