#ifndef LIMITS_REQUEST_MEMORY_H_
#define LIMITS_REQUEST_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "framework/base/time_types.h"

namespace wist {

using request_number = std::int64_t;

// Requests up to this size may use all of the budget.
inline constexpr std::size_t kSmallRequestBytes = 65'536;

// Larger ones leave the budget divided by this number to the small ones.
inline constexpr std::size_t kSmallReserveDivisor = 8;

// The largest requests that a budget can hold: what is left after the reserve.
constexpr std::size_t LargeRequestBytes(std::size_t budget_bytes) {
  return budget_bytes - budget_bytes / kSmallReserveDivisor;
}

// What a request's claim of memory leads to.
struct memory_decision {
  bool is_admitted = false;
  // Requests to end first, in this order. Empty unless the claim is admitted.
  std::vector<request_number> victims;

  bool operator==(const memory_decision&) const = default;
};

// Decides which requests an instance may hold: those that are received, and
// complete ones until they end. Does no I/O; not thread-safe.
//
// A claim that fits costs no other request anything. If it doesn't fit,
// requests whose senders are slow make room, those first that hold most for the
// longest time; if that is not enough, the claim is refused.
class request_memory {
 public:
  explicit request_memory(std::size_t limit_bytes)
      : limit_bytes_(limit_bytes) {}

  void SetLimit(std::size_t limit_bytes) { limit_bytes_ = limit_bytes; }

  // Adds a request without any memory, which is being received.
  request_number Add(timestamp now);

  // The request needs `bytes` in all from now on. `other_bytes` are those that
  // others hold of the same budget, such as responses. If the claim is admitted
  // after its victims have been removed, it is in effect; otherwise the request
  // keeps what it had. A smaller claim than the last one is always admitted.
  memory_decision Claim(request_number number,
                        std::size_t bytes,
                        std::size_t other_bytes,
                        timestamp now);

  // `bytes` of the request have arrived in all.
  void OnReceived(request_number number, std::size_t bytes, timestamp now);

  // The request has arrived completely, and is not chosen as a victim any more.
  void OnComplete(request_number number);

  void Remove(request_number number);

  std::size_t BytesOf(request_number number) const;
  std::size_t total_bytes() const { return total_bytes_; }
  std::size_t limit_bytes() const { return limit_bytes_; }

 private:
  struct progress_mark {
    timestamp at;
    std::size_t bytes = 0;
  };

  struct request {
    std::size_t claimed_bytes = 0;
    std::size_t received_bytes = 0;
    bool is_complete = false;
    timestamp last_received_at;
    // The rate is measured from `earlier`, which trails `later`.
    progress_mark earlier;
    progress_mark later;
  };

  // Bytes per second since the earlier mark, 0 if nothing has arrived lately;
  // nullopt if the request is too young to be judged.
  static std::optional<double> Rate(const request& current, timestamp now);

  std::size_t limit_bytes_;
  std::size_t total_bytes_ = 0;
  request_number last_number_ = 0;
  std::map<request_number, request> requests_;
};

}  // namespace wist

#endif  // LIMITS_REQUEST_MEMORY_H_
