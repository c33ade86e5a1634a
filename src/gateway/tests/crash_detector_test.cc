#include "gateway/internal/crash_detector.h"

#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against a request that crashes every target that runs it: if its
// callers keep repeating it, it takes down one target after another.

using namespace wist;

namespace {

struct crash_detection_fixture : exchange_fixture {
  crash_detection_fixture() {
    services.on_run_broken = [this](const run_fingerprint& run,
                                    std::int64_t event_count,
                                    const target_entry& target) {
      detector.OnRunBroken(run, event_count, target);
    };
  }

  // Breaks the latest run. `new_channels` is how a new connection to its target
  // ends: connect_failed if the target crashed.
  void BreakRun(channel_end new_channels) {
    target_channel().End(channel_end::reset);
    target_channel().End(new_channels);
    scheduler.Advance(milliseconds(1000));
  }

  void ConnectNewCaller() {
    caller_channel = std::make_shared<scripted_channel>();
    connection = std::make_shared<caller_connection>(services, caller_channel,
                                                     [](caller_connection*) {});
    connection->Start();
  }

  // Sends a streaming request on a new connection.
  void SendRequestFromNewCaller() {
    ConnectNewCaller();
    SendStreamRequest();
  }

  // Sends a streaming request whose prompt has the given parts, separated by
  // spaces.
  void SendPromptFromNewCaller(const std::string& path,
                               const std::string& parts) {
    ConnectNewCaller();
    SendRequest(path, "Tokens: 1000\r\nParts: " + parts + "\r\n");
  }

  // Returns the digest of a prompt's only part.
  static suspect_set PartsOf(const std::string& part) {
    caller_request request;
    request.shared_prompt_parts = {part};
    const auto parts = FingerprintOf(request).prompt_parts;
    return {parts.begin(), parts.end()};
  }

  int crash_count = 0;
  crash_detector detector{connector, scheduler, services.crashes, logger,
                          [this](const run_fingerprint&) { ++crash_count; }};
};

}  // namespace

TEST_CASE(
    "a request that crashed three targets is refused without a dispatch") {
  crash_detection_fixture f;
  for (int i = 0; i < 3; ++i) {
    f.SendRequestFromNewCaller();
    REQUIRE(f.response().empty());
    f.BreakRun(channel_end::connect_failed);
  }
  CHECK(f.crash_count == 3);
  const std::size_t channels = f.connector.channels.size();
  f.SendRequestFromNewCaller();
  CHECK(f.connector.channels.size() == channels);
  CHECK(f.ResponseContains("quarantined"));
}

// Guards against prompt parts that crash every engine that begins a response to
// them: no two requests with such a part are alike.
TEST_CASE(
    "different requests are refused by the prompt part that crashed three "
    "targets") {
  crash_detection_fixture f;
  for (const char* own_path : {"/stream/a", "/stream/b", "/stream/c"}) {
    f.SendPromptFromNewCaller(own_path, "common deadly");
    REQUIRE(f.response().empty());
    f.BreakRun(channel_end::connect_failed);
  }
  const std::size_t channels = f.connector.channels.size();
  f.SendPromptFromNewCaller("/stream/d", "common deadly");
  CHECK(f.connector.channels.size() == channels);
  CHECK(f.ResponseContains("quarantined"));
}

// Guards against refusals of sound requests whose body is that of deadly ones,
// because only the statements about their prompts differ.
TEST_CASE("requests with equal bodies and different prompts are not the same") {
  crash_detection_fixture f;
  for (const char* deadly_part : {"first", "second", "third"}) {
    f.SendPromptFromNewCaller("/stream/x", deadly_part);
    f.BreakRun(channel_end::connect_failed);
  }
  const std::size_t channels = f.connector.channels.size();
  f.SendPromptFromNewCaller("/stream/x", "sound");
  CHECK(f.connector.channels.size() == channels + 1);
  CHECK_FALSE(f.ResponseContains("quarantined"));
}

TEST_CASE("a lost response of a live target is not a crash") {
  crash_detection_fixture f;
  for (int i = 0; i < 3; ++i) {
    f.SendRequestFromNewCaller();
    f.target_channel().End(channel_end::reset);
    f.scheduler.Advance(milliseconds(1000));
  }
  CHECK(f.crash_count == 0);
  f.SendRequestFromNewCaller();
  CHECK_FALSE(f.ResponseContains("quarantined"));
}

TEST_CASE("the end of a deregistered target is not a crash") {
  crash_detection_fixture f;
  f.SendRequestFromNewCaller();
  const std::size_t channels = f.connector.channels.size();
  f.directory.Remove(target_id(f.TargetName(channels - 1)), std::nullopt,
                     f.scheduler.Now());
  f.target_channel().End(channel_end::reset);
  CHECK(f.connector.channels.size() == channels);
}

TEST_CASE(
    "a request that got a response is no longer held responsible for crashes") {
  crash_detection_fixture f;
  for (int i = 0; i < 2; ++i) {
    f.SendRequestFromNewCaller();
    f.BreakRun(channel_end::connect_failed);
  }
  f.SendRequestFromNewCaller();
  f.target_channel().Receive(f.StreamHead() + f.Event(1) +
                             std::string(LastChunk()));
  f.SendRequestFromNewCaller();
  f.BreakRun(channel_end::connect_failed);
  f.SendRequestFromNewCaller();
  CHECK_FALSE(f.ResponseContains("quarantined"));
}

TEST_CASE("a crash is logged with the prompt parts of each run that it broke") {
  crash_detection_fixture f;
  f.SendRequest("/stream/x", "Tokens: 1000\r\nParts: common rare\r\n");
  f.BreakRun(channel_end::connect_failed);
  const std::string parts =
      f.logger.LastField("target_crashed", "prompt_parts");
  REQUIRE(parts.size() == 33);
  CHECK(parts[16] == ',');
}

// Guards against sound callers that are refused because a domain lost power:
// nearly all runs on its targets share a part.
TEST_CASE("targets whose machines are silent are not held against a part") {
  crash_detection_fixture f;
  for (const char* path : {"/stream/a", "/stream/b", "/stream/c"}) {
    f.SendPromptFromNewCaller(path, "common");
    f.target_channel().End(channel_end::reset);
    f.scheduler.Advance(milliseconds(300));
    f.target_channel().End(channel_end::connect_failed);
    f.scheduler.Advance(milliseconds(700));
  }
  CHECK(f.crash_count == 3);
  // The targets' cooldowns are over.
  f.scheduler.Advance(milliseconds(1500));
  const std::size_t channels = f.connector.channels.size();
  f.SendPromptFromNewCaller("/stream/d", "common");
  CHECK(f.connector.channels.size() == channels + 1);
}

TEST_CASE("runs that have produced output are not held against their parts") {
  crash_detection_fixture f;
  for (const char* path : {"/stream/a", "/stream/b", "/stream/c"}) {
    f.SendPromptFromNewCaller(path, "common");
    f.target_channel().Receive(f.StreamHead() + f.Event(1));
    f.scheduler.Advance(milliseconds(300));
    f.target_channel().Receive(f.Event(2));
    f.BreakRun(channel_end::connect_failed);
    CHECK(f.logger.LastField("target_crashed", "prompt_parts").empty());
  }
  CHECK(f.crash_count == 3);
  CHECK(f.services.crashes.Quarantines().empty());
}

// A target may send its first event before the prompt crashes it.
TEST_CASE("a run that breaks right after its first event is still suspect") {
  crash_detection_fixture f;
  for (const char* path : {"/stream/a", "/stream/b", "/stream/c"}) {
    f.SendPromptFromNewCaller(path, "common");
    f.target_channel().Receive(f.StreamHead() + f.Event(1));
    f.BreakRun(channel_end::connect_failed);
  }
  CHECK(f.services.crashes.Quarantines().size() == 1);
}

TEST_CASE("a request that waits for capacity is refused when its part is") {
  crash_detection_fixture f;
  f.settings.retry_slack = 100;
  f.SendPromptFromNewCaller("/stream/a", "common");
  f.services.crashes.Restore(f.PartsOf("common"), f.scheduler.Now());
  f.target_channel().Receive(f.Response("503 Full", "", "Not-Run: 1\r\n"));
  CHECK(f.ResponseContains("HTTP/1.1 503"));
  CHECK(f.ResponseContains("quarantined"));
}

TEST_CASE("a trial reaches one target and is not repeated") {
  crash_detection_fixture f;
  f.settings.retry_slack = 100;
  f.services.crashes.Restore(f.PartsOf("common"), f.scheduler.Now());
  std::function<void(bool)> claim;
  f.services.on_quarantined_request = [&](const quarantine&,
                                          std::function<void(bool)> done) {
    claim = std::move(done);
    return true;
  };
  const std::size_t channels = f.connector.channels.size();
  f.SendPromptFromNewCaller("/stream/a", "common");
  CHECK(f.connector.channels.size() == channels);
  REQUIRE(claim);
  SECTION("that is refused to this instance") {
    claim(false);
    CHECK(f.connector.channels.size() == channels);
    CHECK(f.ResponseContains("quarantined"));
  }
  SECTION("that a target rejects") {
    claim(true);
    REQUIRE(f.connector.channels.size() == channels + 1);
    f.target_channel().Receive(f.Response("503 Full", "", "Not-Run: 1\r\n"));
    CHECK(f.connector.channels.size() == channels + 1);
    CHECK(f.ResponseContains("HTTP/1.1 503"));
  }
  SECTION("that a target serves") {
    claim(true);
    f.target_channel().Receive(f.StreamHead() + f.Event(1) +
                               std::string(LastChunk()));
    CHECK(f.ResponseContains("HTTP/1.1 200"));
    CHECK(f.services.crashes.Quarantines().empty());
  }
  SECTION("whose caller has gone") {
    f.caller_channel->End(channel_end::closed);
    claim(true);
    CHECK(f.connector.channels.size() == channels);
  }
}

// A deadly prompt is processed for some tenths of a second before its engine
// begins the response; by then others like it may be known to crash engines.
TEST_CASE("a run that is about to crash its target is ended") {
  crash_detection_fixture f;
  const auto crash = [&](int number) {
    const auto parts = f.PartsOf("common");
    f.services.crashes.OnCrash(
        {static_cast<request_digest>(number), {parts.begin(), parts.end()}},
        target_id("gone" + std::to_string(number)), f.scheduler.Now());
    f.scheduler.Advance(milliseconds(250));
    f.connection->OnCrashesChanged();
  };
  f.SendPromptFromNewCaller("/stream/a", "common");
  for (int i = 0; i < 3; ++i)
    crash(i);
  REQUIRE(f.services.crashes.Quarantines().size() == 1);
  SECTION("after one more crash") {
    CHECK(f.target_channel().open());
    crash(3);
    CHECK(f.target_channel().aborted);
    // The target may have begun it.
    CHECK(f.response().starts_with("HTTP/1.1 502"));
    CHECK(f.ResponseContains("quarantined"));
  }
  SECTION("but not once it has produced output") {
    f.target_channel().Receive(f.StreamHead() + f.Event(1));
    crash(3);
    CHECK(f.target_channel().open());
  }
}
