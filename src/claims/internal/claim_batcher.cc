#include "claims/internal/claim_batcher.h"

#include <algorithm>
#include <stdexcept>

namespace wist {
namespace {

constexpr milliseconds kRetryInterval{50};

// How long the withdrawal of an expired claim is retried.
constexpr seconds kWithdrawValidity{30};

// Returns whether a result computed from a cached bucket stays valid for all
// later values of that bucket.
bool IsFinal(const claim_result& result) {
  return !std::holds_alternative<claim_in_doubt>(result);
}

}  // namespace

operation_number claim_batcher::Submit(bucket_operation operation,
                                       timestamp now,
                                       timestamp deadline,
                                       operation_origin origin) {
  const claim_ticket& ticket = TicketOf(operation);
  bucket_state& state =
      buckets_[BucketKey(settings_, ticket.key, ticket.issued_at)];
  state.pending.push_back(
      {++last_number_, std::move(operation), now, deadline, origin});
  return last_number_;
}

bool claim_batcher::IsReady(const bucket_state& state, timestamp now) const {
  return !state.in_flight && !state.pending.empty() && state.not_before <= now;
}

std::optional<store_call> claim_batcher::NextCall(timestamp now) {
  for (auto& [key, state] : buckets_) {
    if (IsReady(state, now))
      return PrepareCall(key, state, now);
  }
  return std::nullopt;
}

store_call claim_batcher::PrepareCall(const std::string& key,
                                      bucket_state& state,
                                      timestamp now) {
  state.in_flight = true;
  state.called_at = now;
  state.swapped_numbers.clear();
  if (state.needs_read)
    return bucket_read{key};
  claim_bucket changed = state.cached;
  for (const pending_operation& pending : state.pending) {
    const operation_effect effect = Apply(pending.operation, changed);
    // The cached bucket may predate the outcome of the other claim: read it
    // again before reporting the claim as in doubt.
    const bool stale = state.cached_as_of < pending.submitted_at;
    if (!effect.changed && !IsFinal(effect.result) && stale) {
      state.swapped_numbers.clear();
      return bucket_read{key};
    }
    state.swapped_numbers.push_back(pending.number);
  }
  state.not_before = now + settings_.write_interval;
  state.proposed = std::move(changed);
  return bucket_swap{key, state.revision, EncodeBucket(state.proposed)};
}

std::vector<completed_operation> claim_batcher::OnStoreResponse(
    const std::string& bucket,
    const store_response& response,
    timestamp now) {
  bucket_state& state = buckets_[bucket];
  state.in_flight = false;
  if (const auto* entry = std::get_if<kv_entry>(&response))
    return OnBucketRead(state, *entry, now);
  if (std::holds_alternative<store_unavailable>(response)) {
    state.not_before = now + kRetryInterval;
    return {};
  }
  const auto& swapped = std::get<kv_swap_result>(response);
  if (const auto* written = std::get_if<kv_written>(&swapped))
    return CompleteSwapped(state, written->revision);
  if (const auto* conflict = std::get_if<kv_conflict>(&swapped))
    return OnBucketRead(state, conflict->current, now);
  // It is unknown whether the swap took effect. The next read shows whether the
  // nonces are stored. If they are not, the same operations are written again,
  // and only one of the two writes can succeed.
  state.needs_read = true;
  state.not_before = now + kRetryInterval;
  return {};
}

std::vector<completed_operation> claim_batcher::OnBucketRead(
    bucket_state& state,
    const kv_entry& entry,
    timestamp now) {
  try {
    state.cached = DecodeBucket(entry.value);
  } catch (const std::runtime_error&) {
    // The value is not a claim bucket. It is not overwritten, so all operations
    // on this bucket expire.
    state.needs_read = true;
    state.not_before = now + kRetryInterval;
    return {};
  }
  state.revision = entry.revision;
  state.cached_as_of = state.called_at;
  state.needs_read = false;
  return CompleteFromCache(state);
}

// Completes each pending operation that does not change the stored bucket.
std::vector<completed_operation> claim_batcher::CompleteFromCache(
    bucket_state& state) {
  std::vector<completed_operation> completed;
  std::erase_if(state.pending, [&](const pending_operation& pending) {
    claim_bucket bucket = state.cached;
    const operation_effect effect = Apply(pending.operation, bucket);
    const bool stale = state.cached_as_of < pending.submitted_at;
    if (effect.changed || (!IsFinal(effect.result) && stale))
      return false;
    completed.push_back({pending.number, effect.result});
    return true;
  });
  return completed;
}

std::vector<completed_operation> claim_batcher::CompleteSwapped(
    bucket_state& state,
    std::uint64_t revision) {
  std::vector<completed_operation> completed;
  std::erase_if(state.pending, [&](const pending_operation& pending) {
    const bool was_swapped =
        std::find(state.swapped_numbers.begin(), state.swapped_numbers.end(),
                  pending.number) != state.swapped_numbers.end();
    if (!was_swapped)
      return false;
    claim_bucket bucket = state.proposed;
    const operation_effect effect = Apply(pending.operation, bucket);
    completed.push_back({pending.number, effect.result});
    return true;
  });
  state.cached = std::move(state.proposed);
  state.revision = revision;
  state.cached_as_of = state.called_at;
  return completed;
}

std::vector<completed_operation> claim_batcher::Expire(timestamp now) {
  std::vector<completed_operation> completed;
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    bucket_state& state = it->second;
    std::vector<withdraw_operation> withdrawals;
    std::erase_if(state.pending, [&](const pending_operation& pending) {
      if (pending.deadline > now)
        return false;
      const auto* claim = std::get_if<claim_operation>(&pending.operation);
      if (claim && pending.origin == operation_origin::local)
        withdrawals.push_back({claim->ticket});
      completed.push_back({pending.number, claim_store_unavailable{}});
      return true;
    });
    for (withdraw_operation& withdrawal : withdrawals)
      Submit(std::move(withdrawal), now, now + kWithdrawValidity);
    // The cached state of an idle bucket is dropped, because keys of an old
    // time slice are rarely used again.
    const bool idle = !state.in_flight && state.pending.empty() &&
                      state.called_at + settings_.slice_length < now;
    it = idle ? buckets_.erase(it) : std::next(it);
  }
  return completed;
}

std::optional<timestamp> claim_batcher::NextWakeUp() const {
  std::optional<timestamp> next;
  const auto consider = [&](timestamp at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [key, state] : buckets_) {
    for (const pending_operation& pending : state.pending)
      consider(pending.deadline);
    if (!state.in_flight && !state.pending.empty())
      consider(state.not_before);
  }
  return next;
}

}  // namespace wist
