#include "gateway/internal/crash_watch.h"

#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Pattern: a request that ends each target which runs it comes again and again.

using namespace wist;

namespace {

struct watched_gateway : exchange_fixture {
  watched_gateway() {
    services.on_run_broken = [this](request_digest digest,
                                    const target_entry& target) {
      watch.OnRunBroken(digest, target);
    };
  }

  // The newest request's target crashes, or is there still.
  void Break(channel_end new_channels) {
    target().End(channel_end::reset);
    target().End(new_channels);
    scheduler.Advance(milliseconds(1000));
  }

  // A caller of its own for each request.
  void RequestAgain() {
    caller_channel = std::make_shared<scripted_channel>();
    connection = std::make_shared<caller_connection>(services, caller_channel,
                                                     [](caller_connection*) {});
    connection->Start();
    RequestStream();
  }

  int told = 0;
  crash_watch watch{connector, scheduler, services.crashes, logger,
                    [this] { ++told; }};
};

}  // namespace

TEST_CASE("a request that crashed three targets is refused at once") {
  watched_gateway f;
  for (int i = 0; i < 3; ++i) {
    f.RequestAgain();
    REQUIRE(f.sent().empty());
    f.Break(channel_end::connect_failed);
  }
  CHECK(f.told == 3);
  const std::size_t channels = f.connector.channels.size();
  f.RequestAgain();
  CHECK(f.connector.channels.size() == channels);
  CHECK(f.Sent("quarantined"));
}

TEST_CASE("targets that lost answers only are no crashes") {
  watched_gateway f;
  for (int i = 0; i < 3; ++i) {
    f.RequestAgain();
    f.target().End(channel_end::reset);
    f.scheduler.Advance(milliseconds(1000));
  }
  CHECK(f.told == 0);
  f.RequestAgain();
  CHECK_FALSE(f.Sent("quarantined"));
}

TEST_CASE("a target that left is no crash") {
  watched_gateway f;
  f.RequestAgain();
  const std::size_t channels = f.connector.channels.size();
  f.directory.Remove(target_id(f.TargetName(channels - 1)), false,
                     f.scheduler.Now());
  f.target().End(channel_end::reset);
  CHECK(f.connector.channels.size() == channels);
}

TEST_CASE("an answered request is held innocent") {
  watched_gateway f;
  for (int i = 0; i < 2; ++i) {
    f.RequestAgain();
    f.Break(channel_end::connect_failed);
  }
  f.RequestAgain();
  f.target().Receive(f.StreamHead() + f.Event(1) + std::string(LastChunk()));
  f.RequestAgain();
  f.Break(channel_end::connect_failed);
  f.RequestAgain();
  CHECK_FALSE(f.Sent("quarantined"));
}
