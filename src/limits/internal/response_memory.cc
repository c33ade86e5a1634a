#include "limits/response_memory.h"

#include <tuple>
#include <utility>

namespace wist {
namespace {

// Responses up to this size are not given up: they free too little memory, and
// most of them belong to sound targets and callers.
constexpr std::size_t kSmallResponseBytes = 65'536;

}  // namespace

response_number response_memory::AddGrowing(std::string source) {
  return Add(std::move(source), /*is_complete=*/false);
}

response_number response_memory::AddComplete(std::string source) {
  return Add(std::move(source), /*is_complete=*/true);
}

response_number response_memory::Add(std::string source, bool is_complete) {
  responses_.emplace(++last_number_,
                     response{std::move(source), is_complete, 0});
  return last_number_;
}

void response_memory::SetBytes(response_number number, std::size_t bytes) {
  const auto found = responses_.find(number);
  if (found == responses_.end())
    return;
  total_bytes_ += bytes;
  total_bytes_ -= std::exchange(found->second.bytes, bytes);
}

std::size_t response_memory::BytesOf(response_number number) const {
  const auto found = responses_.find(number);
  return found == responses_.end() ? 0 : found->second.bytes;
}

void response_memory::Remove(response_number number) {
  SetBytes(number, 0);
  responses_.erase(number);
}

// A complete response is worth more than one that may never end, so the growing
// ones go first; among them those of the target that holds most, which is the
// one that sends without end rather than one with a large response.
std::optional<response_number> response_memory::ChooseVictim() const {
  if (total_bytes_ <= limit_bytes_)
    return std::nullopt;
  std::map<std::string, std::size_t> growing_bytes;
  for (const auto& [number, response] : responses_) {
    if (!response.is_complete)
      growing_bytes[response.source] += response.bytes;
  }
  // Ordered by completeness, then by what the source holds, then by size.
  using rank = std::tuple<bool, std::size_t, std::size_t>;
  std::optional<response_number> victim;
  rank highest;
  for (const auto& [number, response] : responses_) {
    if (response.bytes <= kSmallResponseBytes)
      continue;
    const rank current = {
        !response.is_complete,
        response.is_complete ? 0 : growing_bytes[response.source],
        response.bytes};
    if (victim && current <= highest)
      continue;
    victim = number;
    highest = current;
  }
  return victim;
}

}  // namespace wist
