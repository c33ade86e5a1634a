#include "claims/internal/claim_batcher.h"

#include <algorithm>
#include <stdexcept>

namespace wist {
namespace {

constexpr milliseconds kRetryInterval{50};
constexpr seconds kWithdrawValidity{30};

// Whether the result of an unchanged bucket stays true of every later value.
bool IsFinal(const claim_result& result) {
  return !std::holds_alternative<claim_undecided>(result);
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

bool claim_batcher::Ready(const bucket_state& state, timestamp now) const {
  return !state.in_flight && !state.pending.empty() && state.not_before <= now;
}

std::optional<store_call> claim_batcher::NextCall(timestamp now) {
  for (auto& [key, state] : buckets_) {
    if (Ready(state, now))
      return MakeCall(key, state, now);
  }
  return std::nullopt;
}

store_call claim_batcher::MakeCall(const std::string& key,
                                   bucket_state& state,
                                   timestamp now) {
  state.in_flight = true;
  state.called_at = now;
  state.carried.clear();
  if (state.needs_read)
    return bucket_read{key};
  claim_bucket changed = state.cached;
  for (const pending_operation& pending : state.pending) {
    const operation_effect effect = Apply(pending.operation, changed);
    // An undecided answer from an old value is checked by a read.
    const bool stale = state.fresh_at < pending.submitted_at;
    if (!effect.changed && !IsFinal(effect.result) && stale) {
      state.carried.clear();
      return bucket_read{key};
    }
    state.carried.push_back(pending.number);
  }
  state.not_before = now + settings_.write_interval;
  state.proposed = std::move(changed);
  return bucket_swap{key, state.revision, EncodeBucket(state.proposed)};
}

std::vector<completed_operation> claim_batcher::OnAnswer(
    const std::string& bucket,
    const store_answer& answer,
    timestamp now) {
  bucket_state& state = buckets_[bucket];
  state.in_flight = false;
  if (const auto* entry = std::get_if<kv_entry>(&answer))
    return OnValue(state, *entry, now);
  if (std::holds_alternative<store_unavailable>(answer)) {
    state.not_before = now + kRetryInterval;
    return {};
  }
  const auto& swapped = std::get<kv_swap_result>(answer);
  if (const auto* written = std::get_if<kv_written>(&swapped))
    return SettleCarried(state, written->revision);
  if (const auto* conflict = std::get_if<kv_conflict>(&swapped))
    return OnValue(state, conflict->current, now);
  // In doubt: the next read shows whether the nonces are there. If not, the
  // same operations are written again; one of the two writes loses.
  state.needs_read = true;
  state.not_before = now + kRetryInterval;
  return {};
}

std::vector<completed_operation> claim_batcher::OnValue(bucket_state& state,
                                                        const kv_entry& entry,
                                                        timestamp now) {
  try {
    state.cached = DecodeBucket(entry.value);
  } catch (const std::runtime_error&) {
    // Not written by this product: nothing is claimed over it.
    state.needs_read = true;
    state.not_before = now + kRetryInterval;
    return {};
  }
  state.revision = entry.revision;
  state.fresh_at = state.called_at;
  state.needs_read = false;
  return SettleFromCache(state);
}

// Settles each operation that leaves the stored value as it is.
std::vector<completed_operation> claim_batcher::SettleFromCache(
    bucket_state& state) {
  std::vector<completed_operation> completed;
  std::erase_if(state.pending, [&](const pending_operation& pending) {
    claim_bucket scratch = state.cached;
    const operation_effect effect = Apply(pending.operation, scratch);
    const bool stale = state.fresh_at < pending.submitted_at;
    if (effect.changed || (!IsFinal(effect.result) && stale))
      return false;
    completed.push_back({pending.number, effect.result});
    return true;
  });
  return completed;
}

std::vector<completed_operation> claim_batcher::SettleCarried(
    bucket_state& state,
    std::uint64_t revision) {
  std::vector<completed_operation> completed;
  std::erase_if(state.pending, [&](const pending_operation& pending) {
    const bool carried = std::find(state.carried.begin(), state.carried.end(),
                                   pending.number) != state.carried.end();
    if (!carried)
      return false;
    claim_bucket scratch = state.proposed;
    const operation_effect effect = Apply(pending.operation, scratch);
    completed.push_back({pending.number, effect.result});
    return true;
  });
  state.cached = std::move(state.proposed);
  state.revision = revision;
  state.fresh_at = state.called_at;
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
      if (claim && pending.origin == operation_origin::own)
        withdrawals.push_back({claim->ticket});
      completed.push_back({pending.number, claim_unavailable{}});
      return true;
    });
    for (withdraw_operation& withdrawal : withdrawals)
      Submit(std::move(withdrawal), now, now + kWithdrawValidity);
    // A bucket without work is forgotten; its slice seldom comes back.
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
