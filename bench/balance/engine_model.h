#ifndef BENCH_BALANCE_ENGINE_MODEL_H_
#define BENCH_BALANCE_ENGINE_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace wist::bench {

// A generation on an engine. Tokens and microseconds.
struct generation {
  int prompt_tokens = 0;
  int output_tokens = 0;
  int priority = 0;  // Lower values are more urgent.
  int instance = 0;
  std::uint64_t run = 0;
  std::int64_t arrived_at = 0;  // At the first instance, for the first time.
  std::int64_t queued_at = 0;   // At the engine.
  bool was_refused_room = false;
  // Progress.
  int prefilled_tokens = 0;
  int produced_tokens = 0;
};

// A model engine that reads prompts in chunks between the steps in which all
// runs of its batch produce a token. What doesn't fit waits in its queue.
class engine_model {
 public:
  static constexpr int kSlots = 24;
  static constexpr int kMemoryTokens = 26'970;
  static constexpr int kChunkTokens = 112;
  static constexpr double kPromptTokensPerMs = 14;
  static constexpr double kStepMs = 7;
  static constexpr double kStepMsPerRun = 0.12;
  static constexpr int kTokensPerEvent = 4;

  double speed = 1;
  std::vector<generation> batch;
  std::deque<generation> queue;
  std::int64_t queue_time_us = 0;
  std::int64_t starts = 0;
  bool is_running = false;

  int UsedTokens() const {
    int used = 0;
    for (const generation& run : batch)
      used += run.prompt_tokens + run.produced_tokens;
    return used;
  }

  bool Fits(const generation& run) const {
    return batch.empty() ||
           (batch.size() < kSlots &&
            UsedTokens() + run.prompt_tokens + run.produced_tokens <=
                kMemoryTokens);
  }

  // Whether the first waiting run is kept waiting for room, not only for the
  // end of a step.
  bool IsOverloaded() const { return !queue.empty() && !Fits(queue.front()); }

  bool HasRoomFor(const generation& run) const {
    return queue.empty() && Fits(run);
  }

  void Enqueue(generation added, std::int64_t now) {
    added.queued_at = now;
    const auto position = std::find_if(
        queue.begin(), queue.end(), [&](const generation& waiting) {
          return added.priority < waiting.priority;
        });
    queue.insert(position, added);
  }

  // Runs one iteration that begins at `now`: returns when it ends. Calls the
  // handlers for runs with a first event or an end.
  std::int64_t RunIteration(
      std::int64_t now,
      const std::function<void(const generation&, std::int64_t)>& on_first,
      const std::function<void(const generation&, std::int64_t)>& on_end) {
    while (!queue.empty() && Fits(queue.front())) {
      if (queue.front().was_refused_room)
        queue_time_us += now - queue.front().queued_at;
      batch.push_back(queue.front());
      queue.pop_front();
    }
    for (generation& waiting : queue)
      waiting.was_refused_room = true;
    // The newest run makes room if the others outgrow the memory.
    while (batch.size() > 1 && UsedTokens() > kMemoryTokens) {
      generation displaced = batch.back();
      batch.pop_back();
      displaced.prefilled_tokens = 0;
      displaced.queued_at = now;
      queue.push_front(displaced);
    }
    double ms = 0;
    const auto decoding =
        std::count_if(batch.begin(), batch.end(), [](const generation& run) {
          return run.prefilled_tokens >= run.prompt_tokens;
        });
    if (decoding > 0)
      ms += kStepMs + kStepMsPerRun * static_cast<double>(decoding);
    const auto unread =
        std::find_if(batch.begin(), batch.end(), [](const generation& run) {
          return run.prefilled_tokens < run.prompt_tokens;
        });
    generation* read = unread == batch.end() ? nullptr : &*unread;
    if (read)
      ms += kChunkTokens / kPromptTokensPerMs;
    const auto end = now + std::max<std::int64_t>(
                               1, static_cast<std::int64_t>(ms * 1000 / speed));
    for (generation& run : batch) {
      if (run.prefilled_tokens < run.prompt_tokens)
        continue;
      ++run.produced_tokens;
      if (run.produced_tokens == std::min(kTokensPerEvent, run.output_tokens))
        on_first(run, end);
    }
    if (read)
      read->prefilled_tokens += kChunkTokens;
    std::erase_if(batch, [&](const generation& run) {
      if (run.produced_tokens < run.output_tokens)
        return false;
      on_end(run, end);
      return true;
    });
    return end;
  }
};

}  // namespace wist::bench

#endif  // BENCH_BALANCE_ENGINE_MODEL_H_
