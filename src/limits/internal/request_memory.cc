#include "limits/request_memory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace wist {
namespace {

// The progress of a request is judged over at least this time, so that a pause
// of the sender, of the network or of this process is no reason to end it.
constexpr milliseconds kMinObservation{1000};

// A sender below this rate (bytes per second) is slow. A body of 4 MiB would
// take over two minutes.
constexpr double kSlowRate = 32'768;

// Added to the rate in the ranking, so that among stalled senders those that
// hold more go first.
constexpr double kRankRate = 1024;

}  // namespace

request_number request_memory::Add(timestamp now) {
  request added;
  added.earlier = added.later = {now, 0};
  added.last_received_at = now;
  requests_.emplace(++last_number_, added);
  return last_number_;
}

memory_decision request_memory::Claim(request_number number,
                                      std::size_t bytes,
                                      std::size_t other_bytes,
                                      timestamp now) {
  const auto claiming = requests_.find(number);
  if (claiming == requests_.end())
    return {};
  request& claimant = claiming->second;
  const std::size_t limit = bytes <= kSmallRequestBytes
                                ? limit_bytes_
                                : LargeRequestBytes(limit_bytes_);
  const std::size_t needed =
      total_bytes_ - claimant.claimed_bytes + bytes + other_bytes;
  memory_decision decision{true, {}};
  if (bytes > claimant.claimed_bytes && needed > limit) {
    using candidate = std::pair<double, request_number>;
    std::vector<candidate> candidates;
    for (const auto& [other_number, other] : requests_) {
      if (other_number == number || other.is_complete ||
          other.claimed_bytes == 0)
        continue;
      const auto rate = Rate(other, now);
      if (rate && *rate < kSlowRate)
        candidates.emplace_back(
            static_cast<double>(other.claimed_bytes) / (*rate + kRankRate),
            other_number);
    }
    std::sort(candidates.rbegin(), candidates.rend());
    std::size_t excess = needed - limit;
    for (const auto& [rank, victim] : candidates) {
      decision.victims.push_back(victim);
      const std::size_t freed = BytesOf(victim);
      if (freed >= excess) {
        excess = 0;
        break;
      }
      excess -= freed;
    }
    // Nobody is ended for a claim that is refused nevertheless.
    if (excess > 0)
      return {};
  }
  total_bytes_ += bytes;
  total_bytes_ -= std::exchange(claimant.claimed_bytes, bytes);
  return decision;
}

void request_memory::OnReceived(request_number number,
                                std::size_t bytes,
                                timestamp now) {
  const auto found = requests_.find(number);
  if (found == requests_.end())
    return;
  request& current = found->second;
  if (now >= current.later.at + kMinObservation) {
    current.earlier = current.later;
    current.later = {now, current.received_bytes};
  }
  current.received_bytes = bytes;
  current.last_received_at = now;
}

void request_memory::OnComplete(request_number number) {
  const auto found = requests_.find(number);
  if (found != requests_.end())
    found->second.is_complete = true;
}

void request_memory::Remove(request_number number) {
  total_bytes_ -= BytesOf(number);
  requests_.erase(number);
}

std::size_t request_memory::BytesOf(request_number number) const {
  const auto found = requests_.find(number);
  return found == requests_.end() ? 0 : found->second.claimed_bytes;
}

std::optional<double> request_memory::Rate(const request& current,
                                           timestamp now) {
  if (now >= current.last_received_at + kMinObservation)
    return 0;
  if (now < current.earlier.at + kMinObservation)
    return std::nullopt;
  const double elapsed_s =
      std::chrono::duration<double>(now - current.earlier.at).count();
  return static_cast<double>(current.received_bytes - current.earlier.bytes) /
         elapsed_s;
}

}  // namespace wist
