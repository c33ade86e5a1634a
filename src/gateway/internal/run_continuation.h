#ifndef GATEWAY_INTERNAL_RUN_CONTINUATION_H_
#define GATEWAY_INTERNAL_RUN_CONTINUATION_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gateway/gateway_types.h"

namespace wist {

// Where a copy of a run's KV cache is held.
enum class copy_place {
  receiver,  // The target to which the run was copied.
  source,    // The target that stopped the run and kept its memory.
  backup,    // The target to which the run was copied while it went on.
};

const char* CopyPlaceName(copy_place place);

// A copy of a run's KV cache from which the run can continue at `holder`.
struct run_copy {
  copy_place place = copy_place::receiver;
  target_entry holder;
  kv_cache_location kv_cache;

  auto operator<=>(const run_copy&) const = default;
};

struct unused_copy {
  target_entry told_target;
  std::string handle;

  auto operator<=>(const unused_copy&) const = default;
};

// How a target responded to the request to stop a run.
enum class stop_outcome {
  copied,       // It stopped the run and copied the rest of it.
  kept,         // It stopped the run, and only it holds the memory.
  had_ended,    // It knows no such run.
  refused,      // The run goes on.
  unreachable,  // It accepts no connection.
  broken,       // It may have stopped the run.
};

struct stop_result {
  stop_outcome outcome = stop_outcome::broken;
  // Set if the outcome is `copied` or `kept`.
  std::string handle;

  auto operator<=>(const stop_result&) const = default;
};

// The next step of a run that its target no longer works on.
struct continue_from_copy {
  run_copy copy;

  auto operator<=>(const continue_from_copy&) const = default;
};
// The response to the stop may bring another copy.
struct await_stop {
  auto operator<=>(const await_stop&) const = default;
};
struct give_up_run {
  auto operator<=>(const give_up_run&) const = default;
};
using continuation_step =
    std::variant<continue_from_copy, await_stop, give_up_run>;

// Decides from which copy a run continues that was taken from its target, and
// what is tried after a holder has refused it. Reads no clock.
class run_continuation {
 public:
  // `copy` is the one that exists before the source is told to stop.
  run_continuation(target_entry source, run_copy copy);

  const target_entry& source() const { return source_; }
  const target_entry& receiver() const { return receiver_; }

  void AddCopy(const run_copy& copy);

  // Applies a response to the request to stop the run.
  void OnStopResult(const stop_result& result);

  // The source is not asked again.
  void OnStopEnd() { is_stop_pending_ = false; }

  // Returns what to do next. Each copy is returned once, unless the source has
  // completed it since then: those at the receiver first, of one place the
  // latest first. Copies for which `is_usable` returns false are left out.
  continuation_step Next(const std::function<bool(const run_copy&)>& is_usable);

  // The handle that Next returned last; empty if it returned none.
  std::string HandleInUse() const;

  // The copies that the run does not use, and the targets to be told to free
  // them.
  std::vector<unused_copy> UnusedCopies() const;

 private:
  struct candidate {
    run_copy copy;
    bool was_tried = false;
  };

  const target_entry source_;
  const target_entry receiver_;
  std::vector<candidate> candidates_;
  std::optional<run_copy> copy_in_use_;
  bool is_stop_pending_ = true;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_RUN_CONTINUATION_H_
