#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

using namespace wist;

TEST_CASE("an answer is passed on whole, and the channel is kept") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.Request("/once/x");
  CHECK(f.target().written.starts_with("POST /once/x HTTP/1.1\r\n"));
  f.target().Receive(f.Answer("200 OK", "done"));
  CHECK(f.sent().starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(f.sent().ends_with("\r\n\r\ndone"));
  CHECK(f.caller_channel->open());
}

TEST_CASE("a call that may have run is never repeated unless idempotent") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.Request("/once/x");
  f.target().End(channel_end::reset);
  CHECK(f.connector.channels.size() == 1);
  CHECK(f.sent().starts_with("HTTP/1.1 502"));
}

TEST_CASE("an idempotent call is repeated once on another target") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.Request("/again/x");
  f.target().End(channel_end::reset);
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.TargetName(0) != f.TargetName(1));
  f.target().End(channel_end::reset);
  CHECK(f.connector.channels.size() == 2);
  CHECK(f.sent().starts_with("HTTP/1.1 502"));
}

TEST_CASE("without retry budget nothing is repeated") {
  exchange_fixture f;
  f.settings.retry_ratio = 0;
  f.Request("/again/x");
  f.target().End(channel_end::reset);
  CHECK(f.connector.channels.size() == 1);
  CHECK(f.sent().starts_with("HTTP/1.1 502"));
}

TEST_CASE("a target that says it did not run the request is replaced") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.Request("/once/x");
  f.target().Receive(f.Answer("503 Full", "", "Not-Run: 1\r\n"));
  REQUIRE(f.connector.channels.size() == 2);
  f.target().Receive(f.Answer("200 OK", "done"));
  CHECK(f.sent().starts_with("HTTP/1.1 200"));
}

TEST_CASE("when all targets refuse, the caller hears that it did not run") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.Request("/once/x");
  f.target().Receive(f.Answer("503 Full", "", "Not-Run: 1\r\n"));
  f.target().Receive(f.Answer("503 Full", "", "Not-Run: 1\r\n"));
  CHECK(f.sent().starts_with("HTTP/1.1 503"));
  CHECK(f.Sent("Code: overloaded"));
  CHECK(f.Sent("Again: "));
}

TEST_CASE("a target that can't be reached is replaced without any budget") {
  exchange_fixture f;
  f.settings.retry_ratio = 0;
  f.Request("/once/x");
  f.target().connected = false;
  f.target().End(channel_end::connect_failed);
  REQUIRE(f.connector.channels.size() == 2);
  f.target().Receive(f.Answer("200 OK", "done"));
  CHECK(f.sent().starts_with("HTTP/1.1 200"));
}

TEST_CASE("a success without the target's signature is not passed on") {
  exchange_fixture f;
  f.Request("/once/x");
  f.target().Receive(f.Answer("200 OK", "forged", ""));
  CHECK(f.sent().starts_with("HTTP/1.1 502"));
  CHECK_FALSE(f.Sent("forged"));
}

TEST_CASE("a target's own failure is passed on unchanged") {
  exchange_fixture f;
  f.Request("/once/x");
  f.target().Receive(f.Answer("500 Oops", "why"));
  CHECK(f.sent().starts_with("HTTP/1.1 500"));
  CHECK(f.sent().ends_with("why"));
}

TEST_CASE("at its deadline a request that was sent may have run") {
  exchange_fixture f;
  f.Request("/once/x", "Time: 300\r\n");
  CHECK(f.target().written.find("Left: 300\r\n") != std::string::npos);
  f.scheduler.Advance(milliseconds(301));
  CHECK(f.sent().starts_with("HTTP/1.1 502"));
  CHECK(f.Sent("Code: deadline_exceeded"));
  CHECK(f.target().aborted);
}

TEST_CASE("at its deadline a request that never left did not run") {
  exchange_fixture f;
  f.Request("/once/x", "Time: 200\r\n");
  f.target().connected = false;
  f.scheduler.Advance(milliseconds(201));
  CHECK(f.sent().starts_with("HTTP/1.1 503"));
}

TEST_CASE("a slow idempotent call goes to another target") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  f.Request("/again/x");
  f.scheduler.Advance(milliseconds(850));
  REQUIRE(f.connector.channels.size() == 2);
  CHECK(f.target(0).aborted);
  f.target().Receive(f.Answer("200 OK", "done"));
  CHECK(f.sent().starts_with("HTTP/1.1 200"));
}

TEST_CASE("work stops at once when the caller leaves") {
  exchange_fixture f;
  f.Request("/again/x");
  f.caller_channel->End(channel_end::closed);
  CHECK(f.target().aborted);
  f.scheduler.Advance(seconds(10));
  CHECK(f.connector.channels.size() == 1);
}

TEST_CASE("keyed requests are refused once the configuration is too old") {
  exchange_fixture f;
  f.scheduler.Advance(milliseconds(4950));
  f.Request("/once/x");
  CHECK(f.connector.channels.empty());
  CHECK(f.caller_channel->closed);
  CHECK(f.sent().starts_with("HTTP/1.1 503"));
  CHECK(f.Sent("Code: not_ready"));
}

TEST_CASE("routes without keys are served with an old configuration") {
  exchange_fixture f;
  f.scheduler.Advance(seconds(20));
  // The caller's channel was idle for too long, so it has a new one.
  f.caller_channel = std::make_shared<scripted_channel>();
  f.connection = std::make_shared<caller_connection>(
      f.services, f.caller_channel, [](caller_connection*) {});
  f.connection->Start();
  f.Request("/open/x");
  CHECK(f.connector.channels.size() == 1);
}

TEST_CASE("an unknown path is refused only by a fresh configuration") {
  exchange_fixture f;
  f.Request("/nowhere/x");
  CHECK(f.Sent("Code: no_route"));
  exchange_fixture old;
  old.scheduler.Advance(milliseconds(4950));
  old.Request("/nowhere/x");
  CHECK(old.Sent("Code: not_ready"));
}

TEST_CASE("a stream is passed on event by event") {
  exchange_fixture f;
  f.RequestStream();
  f.target().Receive(f.StreamHead() + f.Event(1));
  CHECK(f.Sent("id: 1"));
  f.target().Receive(EncodeChunk("id: 2\ndata"));
  CHECK_FALSE(f.Sent("id: 2"));
  f.target().Receive(EncodeChunk(": x\n\n") + std::string(LastChunk()));
  CHECK(f.Sent("id: 2"));
  CHECK(f.sent().ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream that breaks does not look whole") {
  exchange_fixture f;
  f.RequestStream();
  f.target().Receive(f.StreamHead() + f.Event(1));
  f.target().End(channel_end::reset);
  CHECK(f.caller_channel->aborted);
  CHECK_FALSE(f.sent().ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream that ends in the middle of an event is not whole") {
  exchange_fixture f;
  f.RequestStream();
  f.target().Receive(f.StreamHead() + f.Event(1) + EncodeChunk("id: 2\n") +
                     std::string(LastChunk()));
  CHECK(f.caller_channel->aborted);
}

TEST_CASE("requests in one read are answered in their order") {
  exchange_fixture f;
  f.Request("/once/1");
  f.Request("/once/2");
  REQUIRE(f.connector.channels.size() == 1);
  f.target().Receive(f.Answer("200 OK", "first"));
  f.scheduler.Advance(milliseconds(1));
  CHECK(f.target(0).written.find("/once/2") != std::string::npos);
}

TEST_CASE("kept channels to a target that fell silent are not used again") {
  exchange_fixture f;
  f.directory.Remove(target_id("p2"), false, f.scheduler.Now());
  f.Request("/once/x");
  f.target(0).Receive(f.Answer("200 OK", "done"));
  f.scheduler.Advance(milliseconds(10));
  f.Request("/once/x", "Time: 300\r\n");
  CHECK(f.connector.channels.size() == 1);
  f.scheduler.Advance(milliseconds(301));
  f.Request("/once/x", "Time: 300\r\n");
  CHECK(f.connector.channels.size() == 2);
}

TEST_CASE("a stopping instance takes what it can still finish") {
  exchange_fixture f;
  f.services.accept_deadline = f.scheduler.Now() + milliseconds(2600);
  f.services.stop_deadline = f.scheduler.Now() + milliseconds(7000);
  f.Request("/once/x");
  REQUIRE(f.connector.channels.size() == 1);
  f.target().Receive(f.Answer("200 OK", "done"));
  f.RequestStream();
  CHECK(f.connector.channels.size() == 2);
}

TEST_CASE("a stopping instance sends elsewhere what it would cut") {
  exchange_fixture f;
  f.services.accept_deadline = f.scheduler.Now() + milliseconds(2600);
  f.services.stop_deadline = f.scheduler.Now() + milliseconds(900);
  f.RequestStream();
  CHECK(f.connector.channels.empty());
  CHECK(f.Sent("Code: stopping"));
  CHECK(f.caller_channel->closed);
}

TEST_CASE("a stopping instance takes nothing after its accept deadline") {
  exchange_fixture f;
  f.services.accept_deadline = f.scheduler.Now() + milliseconds(2600);
  f.services.stop_deadline = f.scheduler.Now() + milliseconds(7000);
  f.scheduler.Advance(milliseconds(2600));
  f.Request("/once/x");
  CHECK(f.connector.channels.empty());
  CHECK(f.Sent("Code: stopping"));
}

TEST_CASE("the log's verdict is the one that the caller was told") {
  exchange_fixture refused;
  refused.settings.retry_slack = 100;
  refused.Request("/once/x");
  refused.target().Receive(refused.Answer("503 Full", "", "Not-Run: 1\r\n"));
  refused.target().Receive(refused.Answer("503 Full", "", "Not-Run: 1\r\n"));
  CHECK(refused.logger.Last("request", "outcome") == "refused");
  CHECK(refused.logger.Last("request", "verdict") == "not_run");
  exchange_fixture failed;
  failed.Request("/once/x");
  failed.target().End(channel_end::reset);
  CHECK(failed.logger.Last("request", "verdict") == "may_have_run");
  exchange_fixture answered;
  answered.Request("/once/x");
  answered.target().Receive(answered.Answer("200 OK", "done"));
  CHECK(answered.logger.Last("request", "verdict") == "ran");
}

TEST_CASE("a stream never starts on a kept channel, which may be dead") {
  exchange_fixture f;
  for (const char* name : {"e2", "e3"})
    f.directory.Remove(target_id(name), false, f.scheduler.Now());
  f.RequestStream();
  f.target(0).Receive(f.StreamHead() + f.Event(1) + std::string(LastChunk()));
  f.scheduler.Advance(milliseconds(1));
  f.RequestStream();
  REQUIRE(f.connector.channels.size() == 2);
  f.target(1).connected = false;
  f.target(1).End(channel_end::connect_failed);
  CHECK(f.sent().find("HTTP/1.1 503") != std::string::npos);
}

TEST_CASE("an answer too large to keep is never passed on in part") {
  exchange_fixture f;
  f.Request("/once/x");
  f.target().Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n"
      "Content-Length: 9000000\r\n\r\n");
  const std::string part(1'000'000, 'x');
  for (int i = 0; i < 9; ++i)
    f.target().Receive(part);
  CHECK(f.sent().starts_with("HTTP/1.1 502"));
  CHECK(f.target().aborted);
}

TEST_CASE("a head that comes byte by byte has to be whole in time") {
  exchange_fixture f;
  for (int i = 0; i < 4; ++i) {
    f.caller_channel->Receive("X");
    f.scheduler.Advance(milliseconds(900));
  }
  CHECK(f.Sent("Code: request_timeout"));
  CHECK(f.caller_channel->closed);
}

TEST_CASE("a caller that sends far ahead of its answers is cut off") {
  exchange_fixture f;
  f.Request("/once/x");
  const std::string part(100'000, 'x');
  for (int i = 0; i < 3; ++i)
    f.caller_channel->Receive(part);
  CHECK(f.caller_channel->aborted);
  CHECK(f.target().aborted);
}

// Pattern: a burst fills all engines for a moment.
TEST_CASE("a refused generation comes back while it can be served in time") {
  exchange_fixture f;
  selection_request large;
  large.service = service_id("engines");
  large.size = generation_size{9000, 0};
  for (const char* name : {"e1", "e2", "e3"})
    f.selector.Begin(target_id(name), large, f.scheduler.Now());
  f.RequestStream();
  f.scheduler.Advance(milliseconds(100));
  REQUIRE(f.sent().starts_with("HTTP/1.1 503"));
  const std::size_t field = f.sent().find("Again: ");
  REQUIRE(field != std::string::npos);
  const int again = std::stoi(f.sent().substr(field + 7));
  // Half of the objective of 400 ms is left for the answer.
  CHECK(again >= 100);
  CHECK(again <= 150);
}
