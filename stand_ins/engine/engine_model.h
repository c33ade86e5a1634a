#ifndef STAND_INS_ENGINE_ENGINE_MODEL_H_
#define STAND_INS_ENGINE_ENGINE_MODEL_H_

#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

#include "stand_ins/engine/engine_types.h"

namespace wist::stand_ins {

// A model engine with continuous batching and memory that grows by token,
// without sockets or threads. The owner calls Step() at NextStepAt().
class engine_model {
 public:
  engine_model(engine_settings settings, timestamp now);

  // Queues a generation. Returns false if the engine fell over from it.
  bool Submit(const generation_request& request, timestamp now);

  void Cancel(const std::string& id);

  // When the step in progress ends; nothing while there is no work.
  std::optional<timestamp> NextStepAt() const;

  // Ends the step in progress, starts the next and returns what happened.
  std::vector<engine_event> Step();

  // The newest report that is at least the report lag old.
  engine_report Report(timestamp now) const;

  // The state at this moment, for tests and capacity figures.
  engine_report Snapshot(timestamp now) const;

  // Loses all work; the engine goes on cold.
  std::vector<engine_event> Crash(timestamp now);

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
    std::int64_t prefill_left = 0;
    std::int64_t memory = 0;
    bool prefilling = false;
  };

  void StartStep(timestamp now);
  void AdmitWaiting();
  std::int64_t CachedTokens(const generation_request& request);
  void RememberPrefix(const generation_request& request);
  microseconds PlanStep();
  void MakeRoom(std::vector<engine_event>& events, timestamp at);
  std::int64_t DecodingCount() const;
  std::list<sequence>::iterator LeastImportant();
  void Preempt(std::list<sequence>::iterator victim,
               std::vector<engine_event>& events,
               timestamp at);
  void Decode(sequence& running,
              std::vector<engine_event>& events,
              timestamp at);
  void NoteWarmUp(timestamp at);
  void SetCold();
  void Record(timestamp at);

  const engine_settings settings_;
  std::list<sequence> running_;
  std::deque<sequence> waiting_;
  std::int64_t memory_used_ = 0;
  std::optional<timestamp> step_end_;
  bool cold_ = false;
  int warm_up_left_ = 0;
  std::optional<timestamp> warm_since_;
  engine_counters counters_;
  std::deque<engine_report> reports_;
  std::list<generation_request> cache_;  // Newest first.
  std::int64_t cache_tokens_ = 0;
};

}  // namespace wist::stand_ins

#endif  // STAND_INS_ENGINE_ENGINE_MODEL_H_
