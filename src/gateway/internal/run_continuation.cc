#include "gateway/internal/run_continuation.h"

#include <algorithm>
#include <utility>

namespace wist {

const char* CopyPlaceName(copy_place place) {
  switch (place) {
    case copy_place::receiver:
      return "receiver";
    case copy_place::source:
      return "source";
    case copy_place::backup:
      return "backup";
  }
  return "";
}

run_continuation::run_continuation(target_entry source, run_copy copy)
    : source_(std::move(source)), receiver_(copy.holder) {
  AddCopy(copy);
}

void run_continuation::AddCopy(const run_copy& copy) {
  const auto held =
      std::find_if(candidates_.begin(), candidates_.end(),
                   [&](const candidate& known) { return known.copy == copy; });
  if (held != candidates_.end()) {
    held->was_tried = false;
    return;
  }
  // A later copy has more of the run, and may have ended the earlier one.
  const auto position =
      std::lower_bound(candidates_.begin(), candidates_.end(), copy.place,
                       [](const candidate& known, copy_place place) {
                         return known.copy.place < place;
                       });
  candidates_.insert(position, {copy, /*was_tried=*/false});
}

void run_continuation::OnStopResult(const stop_result& result) {
  // A source that accepts no connection may do so later.
  is_stop_pending_ = result.outcome == stop_outcome::refused ||
                     result.outcome == stop_outcome::unreachable ||
                     result.outcome == stop_outcome::broken;
  if (result.handle.empty())
    return;
  const kv_cache_location kv_cache{source_.address, result.handle};
  if (result.outcome == stop_outcome::copied)
    AddCopy({copy_place::receiver, receiver_, kv_cache});
  AddCopy({copy_place::source, source_, kv_cache});
}

continuation_step run_continuation::Next(
    const std::function<bool(const run_copy&)>& is_usable) {
  copy_in_use_.reset();
  for (candidate& next : candidates_) {
    if (next.was_tried || !is_usable(next.copy))
      continue;
    next.was_tried = true;
    copy_in_use_ = next.copy;
    return continue_from_copy{next.copy};
  }
  if (is_stop_pending_)
    return await_stop{};
  return give_up_run{};
}

std::string run_continuation::HandleInUse() const {
  return copy_in_use_ ? copy_in_use_->kv_cache.handle : std::string();
}

std::vector<unused_copy> run_continuation::UnusedCopies() const {
  // A source frees a copy at both ends, and with it the memory of a run that
  // has returned to it.
  const bool runs_at_source =
      copy_in_use_ && copy_in_use_->place == copy_place::source;
  std::vector<unused_copy> unused;
  for (const candidate& known : candidates_) {
    const std::string& handle = known.copy.kv_cache.handle;
    // Targets free backups themselves when the run ends.
    if (known.copy.place == copy_place::backup || handle == HandleInUse())
      continue;
    const unused_copy copy{runs_at_source ? receiver_ : source_, handle};
    if (std::find(unused.begin(), unused.end(), copy) == unused.end())
      unused.push_back(copy);
  }
  return unused;
}

}  // namespace wist
