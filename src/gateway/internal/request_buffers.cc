#include "gateway/internal/request_buffers.h"

namespace wist {

std::unique_ptr<request_buffer> request_buffers::Add(
    std::function<void()> on_dropped) {
  const request_number number = memory_.Add(scheduler_.Now());
  holders_.emplace(number, std::move(on_dropped));
  return std::make_unique<request_buffer>(*this, number);
}

bool request_buffers::Claim(request_number number, std::size_t bytes) {
  const memory_decision decision =
      memory_.Claim(number, bytes, responses_.total_bytes(), scheduler_.Now());
  if (!decision.is_admitted) {
    if (observer_)
      observer_(shed_reason::no_room);
    return false;
  }
  for (const request_number victim : decision.victims) {
    const auto holder = holders_.find(victim);
    if (holder == holders_.end())
      continue;
    const auto on_dropped = std::move(holder->second);
    Remove(victim);
    if (observer_)
      observer_(shed_reason::slow);
    on_dropped();
  }
  return true;
}

void request_buffers::Remove(request_number number) {
  memory_.Remove(number);
  holders_.erase(number);
}

void request_buffer::OnReceived(std::size_t bytes) {
  buffers_.memory_.OnReceived(number_, bytes, buffers_.scheduler_.Now());
}

}  // namespace wist
