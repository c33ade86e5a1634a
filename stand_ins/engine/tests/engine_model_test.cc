#include "stand_ins/engine/engine_model.h"

#include <catch2/catch.hpp>
#include <map>

namespace wist::stand_ins {
namespace {

constexpr timestamp kStart{seconds(1)};

// Runs the model until it has no work and returns the number of events by kind.
std::map<engine_event_kind, int> RunToEnd(engine_model& model) {
  std::map<engine_event_kind, int> counts;
  while (model.NextStepAt()) {
    for (const engine_event& event : model.Step())
      ++counts[event.kind];
  }
  return counts;
}

}  // namespace

TEST_CASE("a generation yields its tokens in order and finishes") {
  engine_model model({}, kStart);
  model.Submit({.id = "g", .prompt_tokens = 600, .output_tokens = 5}, kStart);
  std::int64_t expected = 0;
  bool finished = false;
  while (model.NextStepAt()) {
    for (const engine_event& event : model.Step()) {
      if (event.kind == engine_event_kind::token)
        CHECK(event.offset == expected++);
      finished |= event.kind == engine_event_kind::finished;
    }
  }
  CHECK(expected == 5);
  CHECK(finished);
  CHECK(model.Snapshot(kStart).memory_used == 0);
}

TEST_CASE("generations are preempted when memory runs out and still finish") {
  engine_model model({.memory_tokens = 1000}, kStart);
  for (const char* id : {"a", "b", "c"})
    model.Submit({.id = id, .prompt_tokens = 200, .output_tokens = 300},
                 kStart);
  auto counts = RunToEnd(model);
  CHECK(counts[engine_event_kind::finished] == 3);
  CHECK(counts[engine_event_kind::token] == 900);
  CHECK(counts[engine_event_kind::preempted] > 0);
}

TEST_CASE("a cold engine crashes on more requests than it can hold") {
  engine_model model({.cold_bearable_requests = 2, .starts_cold = true},
                     kStart);
  CHECK(model.Submit({.id = "a", .prompt_tokens = 1, .output_tokens = 900},
                     kStart));
  CHECK(model.Submit({.id = "b", .prompt_tokens = 1, .output_tokens = 900},
                     kStart));
  CHECK_FALSE(model.Submit(
      {.id = "c", .prompt_tokens = 1, .output_tokens = 900}, kStart));
  CHECK(model.Crash(kStart).size() == 3);
  CHECK(model.cold());
}

TEST_CASE("a cold engine becomes warm after its warm-up tokens") {
  engine_model model({.warm_up_tokens = 10, .starts_cold = true}, kStart);
  CHECK(model.cold());
  model.Submit({.id = "a", .prompt_tokens = 1, .output_tokens = 10}, kStart);
  RunToEnd(model);
  CHECK_FALSE(model.cold());
}

TEST_CASE("a report is at least the report lag old") {
  engine_model model({.report_lag = milliseconds(500)}, kStart);
  model.Submit({.id = "a", .prompt_tokens = 100, .output_tokens = 200}, kStart);
  for (int i = 0; i < 100; ++i)
    model.Step();
  const timestamp now = *model.NextStepAt();
  CHECK(model.Snapshot(now).running == 1);
  CHECK(model.PublishedReport(now).at <= now - milliseconds(500));
}

TEST_CASE("an idle engine keeps reporting with a current timestamp") {
  engine_model model({.report_lag = milliseconds(500)}, kStart);
  const timestamp now = kStart + seconds(60);
  CHECK(model.PublishedReport(now).at == now - milliseconds(500));
}

TEST_CASE("a cached prefix shortens the prefill time") {
  const auto time_to_finish = [](bool warm_cache) {
    engine_model model({}, kStart);
    const generation_request request{.id = "g",
                                     .prompt_tokens = 4000,
                                     .output_tokens = 1,
                                     .prefix = "p",
                                     .prefix_tokens = 3900};
    timestamp begin = kStart;
    if (warm_cache) {
      model.Submit(request, begin);
      while (model.NextStepAt()) {
        begin = *model.NextStepAt();
        model.Step();
      }
    }
    model.Submit(request, begin);
    timestamp end = begin;
    while (model.NextStepAt()) {
      end = *model.NextStepAt();
      model.Step();
    }
    return end - begin;
  };
  CHECK(time_to_finish(true) < time_to_finish(false) / 2);
}

}  // namespace wist::stand_ins
