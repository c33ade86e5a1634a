#ifndef LIMITS_CRASH_LEDGER_H_
#define LIMITS_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "configuration/configuration_types.h"
#include "framework/base/time_types.h"

namespace wist {

// Equal for requests that do the same: of method, path, caller and body.
using request_digest = std::uint64_t;

// Word of one instance to the others: a target crashed under the request, or,
// without a target, the request was answered.
struct crash_notice {
  request_digest digest = 0;
  std::optional<target_id> target;
  microseconds age{0};

  auto operator<=>(const crash_notice&) const = default;
};

// Which requests crash the targets that run them, as far as this instance saw
// it or was told. Not thread-safe; reads no clock.
class crash_ledger {
 public:
  void OnCrash(request_digest digest, const target_id& target, timestamp now);

  // A request that is answered crashes nothing.
  void OnAnswered(request_digest digest, timestamp now);
  void OnNotice(const crash_notice& notice, timestamp now);

  // Returns the time until which the request is refused, if it is.
  std::optional<timestamp> QuarantinedUntil(request_digest digest,
                                            timestamp now) const;

  // Whether nothing is held against any request.
  bool Empty() const { return entries_.empty(); }

  // What the others may not know yet, newest first.
  std::vector<crash_notice> Notices(timestamp now) const;

  void Expire(timestamp now);

 private:
  struct crash {
    target_id target;
    timestamp at;
  };

  struct entry {
    // In the order of their times.
    std::vector<crash> crashes;
    // Crashes before it count no more.
    std::optional<timestamp> answered_at;
  };

  void NoteCrash(request_digest digest, const target_id& target, timestamp at);
  void NoteAnswer(request_digest digest, timestamp at);

  std::map<request_digest, entry> entries_;
};

}  // namespace wist

#endif  // LIMITS_CRASH_LEDGER_H_
