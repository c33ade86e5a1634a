#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against responses made of those of two targets: what is read of a
// response that breaks off is joined to the next one, or decides about it.

using namespace wist;

namespace {

const std::string kFirstEvent = "id: 1\ndata: first\n\n";
const std::string kSecondEvent = "id: 1\ndata: second\n\n";

// A request whose first target begins a response.
struct repeatable_request : exchange_fixture {
  explicit repeatable_request(const std::string& path) {
    settings.retry_slack = 100;
    SendRequest(path, path.starts_with("/again") ? "" : "Tokens: 1000\r\n");
  }

  std::size_t CountRequests(const std::string& start) const {
    std::size_t count = 0;
    for (const auto& channel : connector.channels)
      count += channel->written.starts_with(start) ? 1 : 0;
    return count;
  }

  bool WasSentAgain() const { return connector.channels.size() == 2; }

  // The body of the response, without chunk headers.
  std::string Body() const {
    const auto reader = MakeHttpResponseReader({65'536, 65'536});
    reader->Feed(response());
    return reader->TakeBody();
  }

  bool IsComplete() const {
    const auto reader = MakeHttpResponseReader({65'536, 65'536});
    reader->Feed(response());
    return reader->state() == response_state::complete;
  }
};

}  // namespace

// Guards against the pieces of two runs in one event (MIXED): the first target
// breaks off anywhere in its first event.
TEST_CASE("an event that breaks off is not joined to the next target's event") {
  for (const char* path : {"/resume/x", "/again/x"}) {
    for (std::size_t size = 0; size < kFirstEvent.size(); ++size) {
      INFO(path << " breaks off after " << size << " bytes");
      repeatable_request f(path);
      f.target_channel(0).Receive(
          f.StreamHead() +
          (size > 0 ? EncodeChunk(kFirstEvent.substr(0, size)) : ""));
      f.target_channel(0).End(channel_end::reset);
      REQUIRE(f.WasSentAgain());
      f.target_channel(1).Receive(f.StreamHead() + EncodeChunk(kSecondEvent) +
                                  std::string(LastChunk()));
      CHECK(f.Body() == kSecondEvent);
      CHECK(f.IsComplete());
    }
  }
}

// Guards against a whole response that is refused since the one before it broke
// off inside an event.
TEST_CASE(
    "an event that breaks off does not break the next target's response") {
  repeatable_request f("/again/x");
  f.target_channel(0).Receive(f.StreamHead() + EncodeChunk("id: 1\nda"));
  f.target_channel(0).End(channel_end::reset);
  REQUIRE(f.WasSentAgain());
  f.target_channel(1).Receive(f.Response("200 OK", "done"));
  CHECK(f.response().starts_with("HTTP/1.1 200"));
  CHECK(f.Body() == "done");
}

// Guards against memory that is held, but not counted, between two attempts.
TEST_CASE("what was read of a response that broke off takes no memory") {
  repeatable_request f("/resume/x");
  f.target_channel(0).Receive(f.StreamHead() +
                              EncodeChunk(std::string(1000, 'x')));
  CHECK(f.services.buffers.total_bytes() > 0);
  f.target_channel(0).End(channel_end::reset);
  REQUIRE(f.WasSentAgain());
  CHECK(f.services.buffers.total_bytes() == 0);
  f.target_channel(1).Receive(f.StreamHead() + EncodeChunk("id"));
  CHECK(f.services.buffers.total_bytes() == 2);
}

// Guards against the events of two runs in one response (MIXED, ORDER): a call
// that is slow after its first event is tried again.
TEST_CASE("a call whose first event was passed on is not sent again") {
  repeatable_request f("/again/x");
  f.target_channel(0).Receive(f.StreamHead() + EncodeChunk(kFirstEvent));
  f.scheduler.Advance(milliseconds(1000));
  CHECK_FALSE(f.WasSentAgain());
  f.target_channel(0).Receive(EncodeChunk("id: 2\ndata: first\n\n") +
                              std::string(LastChunk()));
  CHECK(f.Body() == kFirstEvent + "id: 2\ndata: first\n\n");
  CHECK(f.IsComplete());
}

// Guards against a stream that looks complete although its last target broke
// off before its first event (MIXED, ORDER): the events of the target before it
// were counted as its own.
TEST_CASE("a resumed stream without length and events has been broken off") {
  repeatable_request f("/resume/x");
  f.target_channel(0).Receive(f.StreamHead() + EncodeChunk(kFirstEvent));
  f.target_channel(0).End(channel_end::reset);
  REQUIRE(f.WasSentAgain());
  f.target_channel(1).Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nEvents: 1\r\n\r\n");
  f.target_channel(1).End(channel_end::closed);
  CHECK(f.caller_channel->aborted);
  CHECK_FALSE(f.IsComplete());
}

// Guards against a stream that looks complete although its second target sent
// none of its events (MIXED, ORDER).
TEST_CASE("a stream does not end with a response that is no stream") {
  for (const char* status : {"200 OK", "204 No Content"}) {
    INFO(status);
    repeatable_request f("/resume/x");
    f.target_channel(0).Receive(f.StreamHead() + EncodeChunk(kFirstEvent));
    f.target_channel(0).End(channel_end::reset);
    REQUIRE(f.WasSentAgain());
    f.target_channel(1).Receive(f.Response(status, ""));
    CHECK(f.caller_channel->aborted);
    CHECK_FALSE(f.IsComplete());
  }
}

// Guards against events that a caller gets twice (ORDER): a target begins a
// resumed stream anew, or repeats its last event, perhaps after an event
// without an id.
TEST_CASE("a resumed stream does not go back") {
  for (const char* first : {"", ": ping\n\n", "data: x\n\n"}) {
    for (const char* id : {"1", "2"}) {
      INFO(first << id);
      repeatable_request f("/resume/x");
      f.target_channel(0).Receive(f.StreamHead() + EncodeChunk(kFirstEvent) +
                                  EncodeChunk("id: 2\ndata: first\n\n"));
      f.target_channel(0).End(channel_end::reset);
      REQUIRE(f.WasSentAgain());
      f.target_channel(1).Receive(f.StreamHead());
      if (*first)
        f.target_channel(1).Receive(EncodeChunk(first));
      f.target_channel(1).Receive(
          EncodeChunk("id: " + std::string(id) + "\ndata: second\n\n"));
      CHECK(f.caller_channel->aborted);
      CHECK_FALSE(f.ResponseContains("second"));
      REQUIRE(f.invalid_responses.size() == 1);
      CHECK(f.invalid_responses.front().rule == "event_order");
    }
  }
}

// Guards against a second response, late, that is passed on as events (MIXED):
// the body has no length, and its channel carries more.
TEST_CASE("a second response is not part of a stream without length") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nEvents: 1\r\n\r\n";
  const std::string without_id =
      "HTTP/1.1 200 OK\r\nSigned: 1\r\nEvents: 1\r\n\r\n";
  struct example {
    std::string end;  // Of the first response.
    std::string second;
  };
  for (const auto& [end, second] :
       {example{"", head}, example{"", without_id}, example{"id: 2\n", head},
        example{"id: 2\n", without_id}, example{"id: 2\ndata: fi", head}}) {
    for (const bool is_separate : {true, false}) {
      INFO(end << second << is_separate);
      exchange_fixture f;
      f.SendStreamRequest();
      const std::string first = head + kFirstEvent + end;
      if (is_separate) {
        f.target_channel().Receive(first);
        f.target_channel().Receive(second + kFirstEvent);
        CHECK(f.caller_channel->aborted);
        CHECK(f.Occurrences("first") == 1);
      } else {
        f.target_channel().Receive(first + second + kFirstEvent);
        CHECK(f.response().starts_with("HTTP/1.1 502"));
        CHECK(f.Occurrences("first") == 0);
      }
      CHECK(f.Occurrences("HTTP/1.1") == 1);
      REQUIRE(f.invalid_responses.size() == 1);
      CHECK(f.invalid_responses.front().rule == "surplus_bytes");
    }
  }
}

// Guards against a sound stream that is broken off for its content.
TEST_CASE("a stream may have a line that begins like a status line") {
  exchange_fixture f;
  f.SendStreamRequest();
  f.target_channel().Receive(
      f.StreamHead() + EncodeChunk("id: 1\ndata: x\nHTTP/1.1 is a field\n\n") +
      std::string(LastChunk()));
  CHECK(f.ResponseContains("HTTP/1.1 is a field"));
  CHECK_FALSE(f.caller_channel->aborted);
}

// Guards against a prompt that crashes its targets after their first event and
// is cleared by the time that has passed since the first target's: the run of
// one target is taken for that of the next one.
TEST_CASE("the output of one run does not clear the prompt of the next one") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  std::vector<std::size_t> suspected_parts;
  std::vector<std::int64_t> event_counts;
  f.services.on_run_broken = [&](const run_fingerprint& run, std::int64_t count,
                                 const target_entry&) {
    suspected_parts.push_back(run.prompt_parts.size());
    event_counts.push_back(count);
  };
  f.SendRequest("/resume/x", "Tokens: 1000\r\nParts: a\r\n");
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
  f.target_channel(0).End(channel_end::reset);
  REQUIRE(f.connector.channels.size() == 2);
  f.scheduler.Advance(2 * kOutputSettlingTime);
  f.target_channel(1).Receive(f.StreamHead() + f.Event(2));
  f.target_channel(1).End(channel_end::reset);
  CHECK(suspected_parts == std::vector<std::size_t>{1, 1});
  CHECK(event_counts == std::vector<std::int64_t>{1, 1});
}

// Guards against a second response, late, that is passed on as part of the
// first one's body (MIXED): the body has no length, and its channel carries
// more.
TEST_CASE("a second response is not part of a body without length") {
  const std::string head = "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n\r\n";
  for (const char* second :
       {"HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 4\r\n\r\ndone",
        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: r\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: r\r\nSig"}) {
    INFO(second);
    exchange_fixture f;
    f.SendRequest("/once/x");
    f.target_channel().Receive(head + "done");
    f.target_channel().Receive(second);
    f.target_channel().End(channel_end::closed);
    CHECK(f.response().starts_with("HTTP/1.1 502"));
    CHECK_FALSE(f.ResponseContains("done"));
    REQUIRE(f.invalid_responses.size() == 1);
    CHECK(f.invalid_responses.front().rule == "surplus_bytes");
  }
}

// Guards against a sound response that is refused for its content.
TEST_CASE("a body without length may quote a response") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  const std::string body = "As in HTTP/1.1 200 OK\r\nX: 1\r\n\r\nwith a body";
  f.target_channel().Receive("HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\n\r\n" +
                             body);
  f.target_channel().End(channel_end::closed);
  CHECK(f.response().starts_with("HTTP/1.1 200"));
  CHECK(f.response().ends_with(body));
}

// Guards against a second response, late, that is passed on as that of the next
// request on its connection (MIXED): only its id tells them apart, and this
// request has none.
TEST_CASE("a request without an id is sent on a new connection") {
  exchange_fixture f;
  f.SendRequest("/once/x");
  f.target_channel().Receive(f.Response("200 OK", "first"));
  f.caller_channel->Receive(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nKey: k\r\n"
      "Content-Length: 2\r\n\r\nhi");
  CHECK(f.connector.channels.size() == 2);
}

// Guards against a run that is stopped, or an end of the process, by a move of
// an attempt that has ended: the copy is confirmed after its target broke off.
TEST_CASE("a move ends with its attempt") {
  repeatable_request f("/stream/x");
  const std::string source = f.TargetName(0);
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
  f.directory.Remove(target_id(source), std::nullopt, f.scheduler.Now());
  f.target_channel().Receive(f.Response("200 OK", "first"));
  const auto stop = f.connector.channels.back();
  REQUIRE(stop->written.starts_with("POST /stop/"));
  f.scheduler.Advance(milliseconds(100));
  const std::string receiver = f.connector.addresses.back().host;
  const auto run = f.connector.channels.back();
  REQUIRE(run->written.find("Memory: first") != std::string::npos);
  run->Receive(f.StreamHead());
  f.directory.Remove(target_id(receiver), std::nullopt, f.scheduler.Now());
  const auto move = f.connector.channels.back();
  run->End(channel_end::reset);
  CHECK(f.caller_channel->open());
  const auto stops = f.CountRequests("POST /stop/");
  if (move->written.starts_with("POST /move/"))
    move->Receive(f.Response("200 OK", "stale"));
  CHECK(f.CountRequests("POST /stop/") == stops);
  stop->Receive(f.Response("503 Full", "kept"));
  CHECK(f.target_channel().written.find("Memory: kept") != std::string::npos);
  CHECK(f.connector.addresses.back().host == source);
}

// Guards against copy requests that are used up before a resumed run has begun,
// so that it is not moved: the events of the target before count as its own.
TEST_CASE("a resumed run is moved after its own first event") {
  repeatable_request f("/resume/x");
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
  f.target_channel(0).End(channel_end::reset);
  REQUIRE(f.WasSentAgain());
  f.target_channel(1).Receive(f.StreamHead());
  f.directory.Remove(target_id(f.TargetName(1)), std::nullopt,
                     f.scheduler.Now());
  CHECK(f.CountRequests("POST /move/") == 0);
  f.target_channel(1).Receive(f.Event(2));
  CHECK(f.CountRequests("POST /move/") == 1);
}

// Guards against a prompt that crashes one more target: a resumed run that has
// no event yet is not ended, since the target before had sent some.
TEST_CASE("a resumed run that is about to crash its target is ended") {
  exchange_fixture f;
  f.settings.retry_slack = 100;
  run_fingerprint prompt;
  f.services.on_run_broken = [&](const run_fingerprint& run, std::int64_t,
                                 const target_entry&) { prompt = run; };
  f.SendRequest("/resume/x", "Tokens: 1000\r\nParts: a\r\n");
  f.target_channel(0).Receive(f.StreamHead() + f.Event(1));
  f.target_channel(0).End(channel_end::reset);
  REQUIRE(f.connector.channels.size() == 2);
  for (std::uint64_t i = 0; i < 5; ++i) {
    f.scheduler.Advance(kOutputSettlingTime);
    f.services.crashes.OnCrash({100 + i, prompt.prompt_parts},
                               target_id("x" + std::to_string(i)),
                               f.scheduler.Now());
  }
  f.connection->OnCrashesChanged();
  REQUIRE_FALSE(f.services.crashes.Quarantines().empty());
  CHECK(f.target_channel(1).aborted);
}

// Guards against events that a caller gets twice (ORDER): the last event has an
// empty id, with which a run can only begin anew.
TEST_CASE("a stream whose last id is empty is not resumed") {
  repeatable_request f("/resume/x");
  f.target_channel(0).Receive(f.StreamHead() +
                              EncodeChunk("id:\ndata: first\n\n"));
  f.target_channel(0).End(channel_end::reset);
  CHECK_FALSE(f.WasSentAgain());
  CHECK(f.caller_channel->aborted);
}

// Guards against a response with the proof of one target and the first event of
// another (MIXED): the head is that of the target whose first event was sent.
TEST_CASE("a stream has the head of the target of its first event") {
  for (const bool breaks_in_first_event : {true, false}) {
    INFO(breaks_in_first_event);
    exchange_fixture f;
    f.settings.retry_slack = 100;
    const auto channel = std::make_shared<scripted_channel>();
    const auto relayed = std::make_shared<caller_connection>(
        f.services, channel, [](caller_connection*) {}, /*is_relay=*/true);
    relayed->Start();
    channel->Receive(
        "POST /resume/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n"
        "Tokens: 1000\r\nContent-Length: 2\r\n\r\nhi");
    f.target_channel(0).Receive(f.StreamHead() + (breaks_in_first_event
                                                      ? EncodeChunk("id: 1\nd")
                                                      : f.Event(1)));
    f.target_channel(0).End(channel_end::reset);
    REQUIRE(f.connector.channels.size() == 2);
    f.target_channel(1).Receive(f.StreamHead() + f.Event(2) +
                                std::string(LastChunk()));
    const std::string head = std::string(kRespondingTargetHeader) + ": " +
                             f.TargetName(breaks_in_first_event ? 1 : 0) +
                             "\r\n";
    CHECK(channel->written.find(head) != std::string::npos);
    CHECK(channel->written.find("HTTP/1.1") ==
          channel->written.rfind("HTTP/1.1"));
  }
}
