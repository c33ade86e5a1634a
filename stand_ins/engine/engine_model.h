#ifndef STAND_INS_ENGINE_ENGINE_MODEL_H_
#define STAND_INS_ENGINE_ENGINE_MODEL_H_

#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

#include "stand_ins/engine/engine_types.h"

namespace wist::stand_ins {

// Model of an inference engine with continuous batching, whose memory use grows
// with each generated token. Uses no sockets or threads: the owner calls Step()
// at the time that NextStepAt() returns.
class engine_model {
 public:
  engine_model(engine_settings settings, timestamp now);

  // Queues a generation. Returns false if the engine is cold and now has more
  // requests than it can hold; the owner must then call Crash().
  bool Submit(const generation_request& request, timestamp now);

  void Cancel(const std::string& id);

  // Returns when the step in progress ends, or nullopt if there is no work.
  std::optional<timestamp> NextStepAt() const;

  // Ends the step in progress, starts the next one and returns the events of
  // the step that ended.
  std::vector<engine_event> Step();

  // Returns the newest report that is at least settings.report_lag old.
  engine_report PublishedReport(timestamp now) const;

  // Returns the current state without lag.
  engine_report Snapshot(timestamp now) const;

  // Drops all sequences and restarts the engine cold. Returns a `lost` event
  // for each dropped sequence.
  std::vector<engine_event> Crash(timestamp now);

  // Makes the engine cold and clears its prefix cache. Keeps its sequences.
  void TurnCold(timestamp now);
  bool cold() const { return cold_; }
  std::optional<timestamp> warm_since() const { return warm_since_; }
  int active() const {
    return static_cast<int>(running_.size() + waiting_.size());
  }
  const engine_counters& counters() const { return counters_; }

 private:
  struct sequence {
    generation_request request;
    std::int64_t generated = 0;
    std::int64_t prefill_remaining = 0;
    std::int64_t allocated_tokens = 0;
    bool prefilling = false;
  };

  void StartStep(timestamp now);
  void AdmitWaiting();
  std::int64_t CachedTokens(const generation_request& request);
  void CachePrefix(const generation_request& request);
  microseconds ScheduleStep();
  void PreemptToFit(std::vector<engine_event>& events, timestamp at);
  std::int64_t DecodingCount() const;
  std::list<sequence>::iterator SelectVictim();
  void Preempt(std::list<sequence>::iterator victim,
               std::vector<engine_event>& events,
               timestamp at);
  void Decode(sequence& running,
              std::vector<engine_event>& events,
              timestamp at);
  void AdvanceWarmUp(timestamp at);
  void ResetToCold();
  void RecordReport(timestamp at);

  const engine_settings settings_;
  std::list<sequence> running_;
  std::deque<sequence> waiting_;
  std::int64_t memory_used_ = 0;
  std::optional<timestamp> step_end_;
  bool cold_ = false;
  int warm_up_tokens_remaining_ = 0;
  std::optional<timestamp> warm_since_;
  engine_counters counters_;
  std::deque<engine_report> reports_;
  std::list<generation_request> prefix_cache_;  // Most recently used first.
  std::int64_t prefix_cache_tokens_ = 0;
};

}  // namespace wist::stand_ins

#endif  // STAND_INS_ENGINE_ENGINE_MODEL_H_
