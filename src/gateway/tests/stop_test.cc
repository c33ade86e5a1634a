#include <catch2/catch.hpp>

#include "gateway/internal/stop_schedule.h"
#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against planned stops that cut requests without an answer, or answers
// that are not sent completely.

using namespace wist;

namespace {

const timestamp kSignal = timestamp(seconds(100));
const stop_schedule kSchedule = MakeStopSchedule(kSignal, milliseconds(8000));

stop_step StepAt(int after_signal_ms, std::size_t open_channels) {
  return NextStopStep(kSchedule, kSignal + milliseconds(after_signal_ms),
                      open_channels);
}

}  // namespace

TEST_CASE("a stop does not end while a channel still sends its answer") {
  CHECK(StepAt(2700, 1) == stop_step::drain);
  CHECK(StepAt(7500, 1) == stop_step::drain);
  CHECK(StepAt(7600, 1) == stop_step::answer);
  CHECK(StepAt(2700, 0) == stop_step::exit);
}

TEST_CASE(
    "requests are accepted until the load balancer has noticed the stop") {
  CHECK(StepAt(0, 0) == stop_step::accept);
  CHECK(StepAt(2599, 0) == stop_step::accept);
  CHECK(StepAt(2600, 0) == stop_step::exit);
}

TEST_CASE("a caller that takes nothing does not hold a stop past its limit") {
  CHECK(StepAt(7849, 5) == stop_step::answer);
  CHECK(StepAt(7850, 5) == stop_step::exit);
}

// The pattern: a target that is silent for longer than the rest of the stop,
// with a request that must not be repeated.
TEST_CASE("a request in progress at the end of a stop gets an answer") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.connection->StartDraining();
  f.connection->OnStopDeadline();
  CHECK(f.target_channel().aborted);
  CHECK(f.response().starts_with("HTTP/1.1 502"));
  CHECK(f.ResponseContains("Code: stopping"));
  CHECK(f.caller_channel->closed);
}

TEST_CASE("a request that was not sent before the end of a stop has not run") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().connected = false;
  f.connection->StartDraining();
  f.connection->OnStopDeadline();
  CHECK(f.response().starts_with("HTTP/1.1 503"));
}

TEST_CASE("a stream in progress at the end of a stop is not complete") {
  exchange_fixture f;
  f.SendStreamRequest();
  f.target_channel().Receive(f.StreamHead() + f.Event(1));
  f.connection->StartDraining();
  f.connection->OnStopDeadline();
  CHECK(f.caller_channel->aborted);
  CHECK_FALSE(f.response().ends_with(LastChunk()));
}
