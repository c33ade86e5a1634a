#include "gateway/tests/mocks/exchange_fixture.h"

// Tests an instance that is cut off from all targets, while its callers, the
// store and the other instances reach it.

using namespace wist;

namespace {

struct relay_fixture : exchange_fixture {
  relay_fixture() {
    std::vector<known_instance> others;
    for (const char* name : {"i1", "i2", "i3", "i4"}) {
      known_instance instance;
      instance.name = name;
      instance.domain = domain_id("d");
      instance.address = {name, 7200};
      instance.relay_port = 7201;
      others.push_back(instance);
    }
    services.relays.SetInstances(domain_id("d"), others);
  }

  bool IsRelay(std::size_t index) const {
    return connector.addresses.at(index).port == 7201;
  }

  // Fails the connections to targets until a request is relayed or answered.
  void FailTargets() {
    while (!connector.channels.empty() &&
           !IsRelay(connector.channels.size() - 1) && response().empty()) {
      const std::size_t count = connector.channels.size();
      target_channel().connected = false;
      target_channel().End(channel_end::connect_failed);
      if (connector.channels.size() == count)
        return;
    }
  }

  // A request shows that the paths are lost, and is answered by another
  // instance.
  void LosePaths() {
    SendRequest("/once/x");
    FailTargets();
    REQUIRE(services.paths.IsLost());
    target_channel().Receive(Response("200 OK", "lost"));
    caller_channel->written.clear();
  }

  std::shared_ptr<caller_connection> AcceptRelay(
      const std::shared_ptr<scripted_channel>& channel) {
    auto accepted = std::make_shared<caller_connection>(
        services, channel, [](caller_connection*) {}, /*is_relay=*/true);
    accepted->Start();
    return accepted;
  }

  // Sends a request on a caller connection of its own.
  std::shared_ptr<scripted_channel> SendFromOtherCaller(
      const std::string& id,
      const std::string& path) {
    auto channel = std::make_shared<scripted_channel>();
    auto accepted = std::make_shared<caller_connection>(
        services, channel, [](caller_connection*) {});
    accepted->Start();
    channel->Receive("POST " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id +
                     "\r\nKey: k\r\nTokens: 1000\r\n"
                     "Content-Length: 2\r\n\r\nhi");
    return channel;
  }

  // Other instances refuse requests, and connections to e1 and e2 fail. Other
  // targets are reached, and do not respond yet.
  void SettleConnections() {
    while (settled_count < connector.channels.size()) {
      const std::size_t index = settled_count++;
      const auto channel = connector.channels[index];
      const std::string name = TargetName(index);
      if (IsRelay(index)) {
        channel->Receive(RefusalOfInstance());
      } else if (name == "e1" || name == "e2") {
        channel->connected = false;
        channel->End(channel_end::connect_failed);
      } else {
        channel->Open();
      }
    }
  }

  std::size_t settled_count = 0;

  // There is one other instance, to which a stream was relayed that has begun.
  std::shared_ptr<scripted_channel> RelayStreamToOnlyInstance() {
    LosePaths();
    known_instance only;
    only.name = "i1";
    only.domain = domain_id("d");
    only.address = {"i1", 7200};
    only.relay_port = 7201;
    services.relays.SetInstances(domain_id("d"), {only});
    SendStreamRequest();
    REQUIRE(IsRelay(connector.channels.size() - 1));
    target_channel().Receive(StreamHead() + Event(1));
    return connector.channels.back();
  }

  // Sends a request, and returns whether it was relayed, if need be after a
  // failed try of a target.
  bool IsNextRequestRelayed() {
    const auto caller = SendFromOtherCaller("next", "/stream/x");
    if (!IsRelay(connector.channels.size() - 1)) {
      target_channel().connected = false;
      target_channel().End(channel_end::connect_failed);
    }
    return IsRelay(connector.channels.size() - 1) && caller->written.empty();
  }

  static std::string RefusalOfInstance() {
    return Response("503 Service Unavailable", "",
                    std::string(kTryOtherInstanceHeader) + ": 1\r\n");
  }
};

}  // namespace

TEST_CASE("a request that reaches no target is sent through another instance") {
  relay_fixture f;
  f.SendRequest("/once/x", "Time: 3000\r\n");
  f.scheduler.Advance(milliseconds(100));
  f.FailTargets();
  REQUIRE(f.IsRelay(f.connector.channels.size() - 1));
  CHECK(f.logger.Count("target_paths_lost") == 1);
  const std::string& sent = f.target_channel().written;
  CHECK(sent.starts_with("POST /once/x HTTP/1.1\r\n"));
  CHECK(sent.find("Key: k\r\n") != std::string::npos);
  CHECK(sent.find("Time: 2900\r\n") != std::string::npos);
  CHECK(sent.ends_with("\r\n\r\nhi"));
  f.target_channel().Receive(f.Response("200 OK", "hello"));
  CHECK(f.ResponseContains("200 OK"));
  CHECK(f.response().ends_with("hello"));
  CHECK(f.caller_channel->open());
}

TEST_CASE("targets that reset connections for want of room are no cut") {
  relay_fixture f;
  f.SendRequest("/once/x");
  while (f.response().empty()) {
    REQUIRE_FALSE(f.IsRelay(f.connector.channels.size() - 1));
    f.target_channel().connected = false;  // Nothing was sent yet.
    f.target_channel().End(channel_end::reset);
  }
  CHECK(f.ResponseContains("503"));
  CHECK_FALSE(f.services.paths.IsSuspected(f.scheduler.Now()));
}

TEST_CASE("while paths are lost requests are relayed at once") {
  relay_fixture f;
  f.LosePaths();
  const std::size_t count = f.connector.channels.size();
  f.SendStreamRequest();
  REQUIRE(f.connector.channels.size() == count + 1);
  CHECK(f.IsRelay(count));
}

TEST_CASE("a relayed stream is forwarded as it arrives") {
  relay_fixture f;
  f.LosePaths();
  f.SendStreamRequest();
  f.target_channel().Receive(f.StreamHead() + f.Event(1));
  CHECK(f.response().find("id: 1") != std::string::npos);

  SECTION("it is complete") {
    f.target_channel().Receive(f.Event(2) + "0\r\n\r\n");
    CHECK(f.response().find("id: 2") != std::string::npos);
    CHECK(f.response().ends_with("0\r\n\r\n"));
    CHECK(f.caller_channel->open());
  }
  SECTION("the other instance breaks it off") {
    const std::size_t count = f.connector.channels.size();
    f.target_channel().End(channel_end::reset);
    CHECK_FALSE(f.response().ends_with("0\r\n\r\n"));
    CHECK(f.caller_channel->aborted);
    CHECK(f.connector.channels.size() == count);
  }
  SECTION("its caller leaves") {
    f.caller_channel->End(channel_end::closed);
    CHECK(f.target_channel().aborted);
  }
  SECTION("the deadline passes") {
    f.scheduler.Advance(milliseconds(5000));
    CHECK(f.target_channel().aborted);
    CHECK(f.caller_channel->aborted);
  }
  SECTION("this instance stops") {
    f.connection->OnStopDeadline();
    CHECK(f.target_channel().aborted);
    CHECK(f.caller_channel->aborted);
  }
}

TEST_CASE("a refusal that other instances do not share is followed by a try") {
  relay_fixture f;
  f.LosePaths();
  f.SendRequest("/once/x");
  const std::size_t first = f.connector.channels.size() - 1;
  f.target_channel().Receive(f.RefusalOfInstance());
  REQUIRE(f.connector.channels.size() == first + 2);
  f.target_channel().connected = false;
  f.target_channel().End(channel_end::connect_failed);
  REQUIRE(f.connector.channels.size() == first + 3);
  CHECK(f.TargetName(first) != f.TargetName(first + 1));
  CHECK(f.TargetName(first) != f.TargetName(first + 2));
  CHECK(f.TargetName(first + 1) != f.TargetName(first + 2));

  SECTION("the third instance accepts it") {
    f.target_channel().Receive(f.Response("200 OK", "third"));
    CHECK(f.response().ends_with("third"));
  }
  SECTION("no further one is tried") {
    f.target_channel().Receive(f.RefusalOfInstance());
    CHECK(f.connector.channels.size() == first + 3);
    CHECK(f.ResponseContains("503"));
    CHECK(f.ResponseContains("Again: "));
    CHECK_FALSE(f.ResponseContains(kTryOtherInstanceHeader));
  }
}

TEST_CASE("a request that no instance accepts is sent to a target") {
  relay_fixture f;
  f.LosePaths();
  // The targets that could not be reached may be used again.
  f.scheduler.Advance(milliseconds(900));
  f.SendRequest("/once/x");
  for (int i = 0; i < 3; ++i) {
    REQUIRE(f.IsRelay(f.connector.channels.size() - 1));
    f.target_channel().Receive(f.RefusalOfInstance());
  }
  REQUIRE_FALSE(f.IsRelay(f.connector.channels.size() - 1));

  SECTION("it responds") {
    f.target_channel().Receive(f.Response("200 OK", "direct"));
    CHECK(f.response().ends_with("direct"));
  }
  SECTION("it can't be reached") {
    const std::size_t count = f.connector.channels.size();
    f.target_channel().connected = false;
    f.target_channel().End(channel_end::connect_failed);
    CHECK(f.connector.channels.size() == count);
    CHECK(f.ResponseContains("503"));
  }
}

TEST_CASE("a relayed request that may have run is not sent again") {
  relay_fixture f;
  f.LosePaths();
  for (const char* path : {"/once/x", "/again/x"}) {
    f.SendRequest(path);
    const std::size_t count = f.connector.channels.size();
    REQUIRE(f.IsRelay(count - 1));
    f.target_channel().End(channel_end::reset);
    CHECK(f.connector.channels.size() == count);
    CHECK(f.ResponseContains("502"));
    f.scheduler.Advance(milliseconds(0));
    f.caller_channel->written.clear();
  }
}

TEST_CASE("the response of the other instance is passed on as it is") {
  relay_fixture f;
  f.LosePaths();
  for (const char* status : {"503 Service Unavailable", "502 Bad Gateway",
                             "504 Gateway Timeout", "404 Not Found"}) {
    f.SendRequest("/once/x");
    const std::size_t count = f.connector.channels.size();
    f.target_channel().Receive(f.Response(status, "text"));
    CHECK(f.connector.channels.size() == count);
    CHECK(f.ResponseContains(std::string("HTTP/1.1 ") + status));
    CHECK(f.response().ends_with("text"));
    f.scheduler.Advance(milliseconds(0));
    f.caller_channel->written.clear();
  }
}

TEST_CASE("the response to a relayed HEAD request has no body") {
  relay_fixture f;
  f.LosePaths();
  f.caller_channel->Receive(
      "HEAD /again/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n\r\n");
  CHECK(f.target_channel().written.starts_with("HEAD /again/x "));
  f.target_channel().Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 5\r\n\r\n");
  CHECK(f.ResponseContains("Content-Length: 5\r\n"));
  CHECK(f.response().ends_with("\r\n\r\n"));
}

TEST_CASE("a relayed response that exceeds the memory is not sent in part") {
  relay_fixture f;
  f.services.buffers.SetLimit(1'000'000);
  f.LosePaths();
  f.SendRequest("/once/x");
  f.target_channel().Receive(
      "HTTP/1.1 200 OK\r\nId: r\r\n"
      "Content-Length: 4000000\r\n\r\n" +
      std::string(2'000'000, 'x'));
  CHECK(f.target_channel().aborted);
  CHECK(f.ResponseContains("502"));
  CHECK_FALSE(f.ResponseContains("xxx"));
}

TEST_CASE("an instance that does not respond is left out") {
  relay_fixture f;
  f.LosePaths();
  f.SendRequest("/once/x", "Time: 1000\r\n");
  const std::size_t first = f.connector.channels.size() - 1;
  REQUIRE(f.IsRelay(first));
  f.scheduler.Advance(milliseconds(1000));
  CHECK(f.target_channel().aborted);
  CHECK(f.ResponseContains("502"));
  f.SendRequest("/once/x");
  // The request tries a target first, since a second has passed.
  f.target_channel().connected = false;
  f.target_channel().End(channel_end::connect_failed);
  REQUIRE(f.connector.channels.size() == first + 3);
  REQUIRE(f.IsRelay(first + 2));
  CHECK(f.TargetName(first + 2) != f.TargetName(first));
}

TEST_CASE("a request that was relayed is not relayed again") {
  relay_fixture f;
  f.LosePaths();
  const auto channel = std::make_shared<scripted_channel>();
  const auto accepted = f.AcceptRelay(channel);
  const std::size_t count = f.connector.channels.size();
  channel->Receive(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n"
      "Content-Length: 2\r\n\r\nhi");
  CHECK(f.connector.channels.size() == count);
  CHECK(channel->written.starts_with("HTTP/1.1 503"));
  CHECK(channel->written.find(kTryOtherInstanceHeader) != std::string::npos);
}

TEST_CASE("a relayed request is served like one of the own callers") {
  relay_fixture f;
  const auto channel = std::make_shared<scripted_channel>();
  const auto accepted = f.AcceptRelay(channel);

  SECTION("with a valid key") {
    channel->Receive(
        "POST /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n"
        "Content-Length: 2\r\n\r\nhi");
    REQUIRE(f.connector.channels.size() == 1);
    f.target_channel().Receive(f.Response("200 OK", "done"));
    CHECK(channel->written.ends_with("done"));
  }
  SECTION("without one") {
    channel->Receive(
        "POST /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: other\r\n"
        "Content-Length: 2\r\n\r\nhi");
    CHECK(f.connector.channels.empty());
    CHECK(channel->written.find("Code: unknown_key") != std::string::npos);
    CHECK(channel->written.find(kTryOtherInstanceHeader) == std::string::npos);
  }
}

TEST_CASE("paths are used again once targets respond") {
  relay_fixture f;
  f.LosePaths();
  f.scheduler.Advance(milliseconds(4000));
  for (int i = 0; i < 2; ++i) {
    f.SendRequest("/once/x");
    REQUIRE_FALSE(f.IsRelay(f.connector.channels.size() - 1));
    f.target_channel().Receive(f.Response("200 OK", "back"));
    f.scheduler.Advance(milliseconds(0));
  }
  CHECK_FALSE(f.services.paths.IsLost());
  CHECK(f.logger.Count("target_paths_restored") == 1);
}

TEST_CASE("a direct try that fails is relayed") {
  relay_fixture f;
  f.LosePaths();
  f.scheduler.Advance(milliseconds(4000));
  f.SendRequest("/once/x");
  const std::size_t count = f.connector.channels.size();
  REQUIRE_FALSE(f.IsRelay(count - 1));
  f.target_channel().connected = false;
  f.target_channel().End(channel_end::connect_failed);
  REQUIRE(f.connector.channels.size() == count + 1);
  CHECK(f.IsRelay(count));
}

TEST_CASE("connections that were open before the cut are not used") {
  relay_fixture f;
  f.SendRequest("/again/x");
  const auto open = f.connector.channels.back();
  open->Receive(f.Response("200 OK", "open"));
  // Requests that must not be repeated use a new connection from now on.
  f.scheduler.Advance(milliseconds(3000));
  f.caller_channel->written.clear();
  f.LosePaths();
  CHECK_FALSE(open->open());
}

TEST_CASE("without other instances nothing changes") {
  relay_fixture f;
  f.services.relays.SetInstances(domain_id("d"), {});
  f.SendRequest("/once/x");
  f.FailTargets();
  REQUIRE(f.services.paths.IsLost());
  CHECK(f.ResponseContains("503"));
  CHECK(f.ResponseContains("Again: "));
  f.scheduler.Advance(milliseconds(4000));
  f.caller_channel->written.clear();
  const std::size_t count = f.connector.channels.size();
  f.SendRequest("/once/x");
  CHECK(f.connector.channels.size() == count + 1);
}

// Guards against refusals while a target is free: two engines have ended, and
// the third one reads prompts for over a second before it responds.
TEST_CASE("two ended targets beside one that reads prompts are no cut") {
  relay_fixture f;
  std::vector<std::shared_ptr<scripted_channel>> callers;
  for (int i = 0; i < 7; ++i) {
    callers.push_back(
        f.SendFromOtherCaller("q" + std::to_string(i), "/stream/x"));
    f.SettleConnections();
    f.scheduler.Advance(milliseconds(50));
  }
  for (const auto& caller : callers)
    CHECK(caller->written.empty());
  CHECK_FALSE(f.services.paths.IsLost());
}

// Guards against a failed retry while targets are free: a target breaks off a
// request that may be repeated, and two others have ended.
TEST_CASE("a retry beside two ended targets reaches another one") {
  relay_fixture f;
  f.settings.retry_slack = 100;
  f.AddTarget("p3", "desk");
  f.AddTarget("p4", "desk");
  f.SendRequest("/again/x");
  f.target_channel().End(channel_end::reset);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(f.response().empty());
    REQUIRE_FALSE(f.IsRelay(f.connector.channels.size() - 1));
    f.target_channel().connected = false;
    f.target_channel().End(channel_end::connect_failed);
  }
  REQUIRE(f.services.paths.IsLost());
  CHECK(f.response().empty());
  f.target_channel().Receive(f.Response("200 OK", "served"));
  CHECK(f.response().ends_with("served"));
}

// Guards against refusals during a cut: a caller leaves before the only other
// instance has responded, since its target reads a long prompt.
TEST_CASE("a caller that leaves a slow request does not end its relay's use") {
  relay_fixture f;
  const auto stream = f.RelayStreamToOnlyInstance();
  const auto slow = f.SendFromOtherCaller("slow", "/stream/x");
  REQUIRE(f.IsRelay(f.connector.channels.size() - 1));
  for (int event = 2; event < 13; ++event) {
    f.scheduler.Advance(milliseconds(100));
    stream->Receive(f.Event(event));
  }
  slow->End(channel_end::closed);
  CHECK(f.IsNextRequestRelayed());
}

// Guards against refusals during a cut: the only other instance aborts a stream
// whose target has crashed.
TEST_CASE("a stream that breaks off does not end its relay's use") {
  relay_fixture f;
  const auto stream = f.RelayStreamToOnlyInstance();
  stream->End(channel_end::closed);
  CHECK(f.caller_channel->aborted);
  CHECK(f.IsNextRequestRelayed());
}

// Guards against requests to a target whose leaving this instance has passed on
// in a relayed response.
TEST_CASE("a target that states in a relayed response that it leaves is left") {
  relay_fixture f;
  f.LosePaths();
  f.SendRequest("/once/x");
  REQUIRE(f.IsRelay(f.connector.channels.size() - 1));
  f.target_channel().Receive(f.Response(
      "200 OK", "relayed",
      "Leaving: 1\r\n" + std::string(kRespondingTargetHeader) + ": p1\r\n"));
  CHECK(f.response().ends_with("relayed"));
  CHECK_FALSE(f.ResponseContains(kRespondingTargetHeader));
  CHECK_FALSE(f.directory.AcceptsNewWork(*f.directory.Find(target_id("p1"))));
  CHECK(f.directory.AcceptsNewWork(*f.directory.Find(target_id("p2"))));
}

TEST_CASE("the response to a relayed request names its target") {
  relay_fixture f;
  const auto channel = std::make_shared<scripted_channel>();
  const auto accepted = f.AcceptRelay(channel);
  channel->Receive(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n"
      "Content-Length: 2\r\n\r\nhi");
  f.target_channel().Receive(f.Response("200 OK", "done"));
  CHECK(channel->written.find(std::string(kRespondingTargetHeader) + ": " +
                              f.TargetName(f.connector.channels.size() - 1)) !=
        std::string::npos);
}

// Guards against callers that see the effect of a version and then are handled
// as an earlier one allows, by an instance that has not read the later one yet.
TEST_CASE("a relayed request is not handled by an earlier configuration") {
  relay_fixture f;
  const std::int64_t version = f.latest_configuration.version();
  const auto response_to = [&f](std::int64_t minimum) {
    const auto channel = std::make_shared<scripted_channel>();
    const auto accepted = f.AcceptRelay(channel);
    channel->Receive(
        "POST /unknown/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n" +
        std::string(kMinimumConfigurationHeader) + ": " +
        std::to_string(minimum) + "\r\nContent-Length: 2\r\n\r\nhi");
    return channel->written;
  };
  CHECK(response_to(version).find("Code: no_route") != std::string::npos);
  const std::string refusal = response_to(version + 1);
  CHECK(refusal.find("Code: not_ready") != std::string::npos);
  CHECK(refusal.find(kTryOtherInstanceHeader) != std::string::npos);
}

TEST_CASE("a relayed request states the configuration of its instance") {
  relay_fixture f;
  f.LosePaths();
  f.SendRequest("/once/x");
  REQUIRE(f.IsRelay(f.connector.channels.size() - 1));
  CHECK(f.target_channel().written.find(
            std::string(kMinimumConfigurationHeader) + ": " +
            std::to_string(f.latest_configuration.version()) + "\r\n") !=
        std::string::npos);
}

// Guards against the refusal of a relayed request whose head was accepted from
// the caller.
TEST_CASE("a head of the size that callers may send can be relayed") {
  relay_fixture f;
  f.LosePaths();
  const auto size = static_cast<std::size_t>(
      f.latest_configuration.table()->configuration().limits.max_header_bytes);
  const std::string head =
      "POST /once/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n"
      "Content-Length: 2\r\nBig: ";
  f.caller_channel->Receive(head + std::string(size - head.size() - 4, 'x') +
                            "\r\n\r\nhi");
  REQUIRE(f.IsRelay(f.connector.channels.size() - 1));
  const auto channel = std::make_shared<scripted_channel>();
  const auto accepted = f.AcceptRelay(channel);
  channel->Receive(f.target_channel().written);
  // It was read, and is refused since there is no path to a target.
  CHECK(channel->written.find(kTryOtherInstanceHeader) != std::string::npos);
}

// Guards against the bytes of two instances' responses in one (MIXED): a
// refusal that other instances do not share is read as a stream, and the
// request goes on elsewhere.
TEST_CASE("the body of a refusal is no part of the next response") {
  const std::string refusal = "HTTP/1.1 503 Busy\r\n" +
                              std::string(kTryOtherInstanceHeader) + ": 1\r\n";
  for (const std::string& rest :
       {"Transfer-Encoding: chunked\r\n\r\n" + EncodeChunk("busy") +
            std::string(LastChunk()),
        std::string("Content-Length: 4\r\n\r\nbusy"),
        std::string("\r\nbusy")}) {
    for (const char* path : {"/once/x", "/stream/x"}) {
      for (const int refusals : {1, 3}) {
        INFO(path << " " << refusals << " times " << rest);
        relay_fixture f;
        f.LosePaths();
        // The targets that could not be reached may be used again.
        f.scheduler.Advance(milliseconds(900));
        f.SendRequest(path, "Tokens: 1000\r\n");
        for (int i = 0; i < refusals; ++i) {
          REQUIRE(f.IsRelay(f.connector.channels.size() - 1));
          const auto instance = f.connector.channels.back();
          instance->Receive(refusal + rest);
          instance->End(channel_end::closed);
        }
        f.target_channel().Receive(f.Response("200 OK", "done"));
        CHECK_FALSE(f.ResponseContains("busy"));
        CHECK(f.response().starts_with("HTTP/1.1 200"));
        CHECK(f.response().ends_with("done"));
      }
    }
  }
}

// Guards against the bytes of two responses in one (MIXED): an instance breaks
// off anywhere in its response.
TEST_CASE("a relayed response that breaks off is followed by no other") {
  const std::string event = "id: 1\ndata: x\n\n";
  for (const std::string& whole :
       {exchange_fixture::Response("200 OK", "first"),
        exchange_fixture::StreamHead() + EncodeChunk(event) +
            std::string(LastChunk())}) {
    for (std::size_t size = 0; size < whole.size(); ++size) {
      for (const channel_end end : {channel_end::closed, channel_end::reset}) {
        INFO(size << " bytes of " << whole);
        relay_fixture f;
        f.LosePaths();
        f.SendRequest("/again/x");
        const std::size_t count = f.connector.channels.size();
        f.target_channel().Receive(whole.substr(0, size));
        f.target_channel().End(end);
        CHECK(f.connector.channels.size() == count);
        CHECK((f.response().starts_with("HTTP/1.1 502") ||
               f.caller_channel->aborted));
      }
    }
  }
}
