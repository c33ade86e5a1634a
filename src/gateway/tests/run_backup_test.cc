#include <catch2/catch.hpp>

#include "gateway/tests/mocks/exchange_fixture.h"

// Guards against long generations that are lost when their engine crashes or is
// cut off from this instance by a network partition.

using namespace wist;

namespace {

struct backed_up_stream : exchange_fixture {
  backed_up_stream() {
    AddTarget("far", "engines", "other");
    SendLongStreamRequest();
    target_channel(0).Receive(StreamHead() + Event(1) + Event(2));
  }
};

}  // namespace

TEST_CASE("a long run is backed up in another failure domain") {
  backed_up_stream f;
  CHECK(f.target_channel(0).written.find("Backup: far\r\n") !=
        std::string::npos);
}

TEST_CASE("a short run is not backed up") {
  exchange_fixture f;
  f.AddTarget("far", "engines", "other");
  f.SendStreamRequest();
  CHECK(f.target_channel(0).written.find("Backup") == std::string::npos);
}

TEST_CASE("a run whose engine failed resumes from its backup") {
  backed_up_stream f;
  f.target_channel(0).Receive(EncodeChunk("id: 3\nda"));
  f.target_channel(0).End(channel_end::reset);
  f.ConfirmStop();
  REQUIRE(f.connector.channels.size() == 3);
  CHECK(f.TargetName(2) == "far");
  CHECK(f.target_channel(2).written.find("Memory: r\r\nAfter: 2\r\n") !=
        std::string::npos);
  f.target_channel(2).Receive(f.StreamHead() + f.Event(3) +
                              std::string(LastChunk()));
  CHECK(f.response().ends_with("0\r\n\r\n"));
  CHECK(f.response().find("id: 3") == f.response().rfind("id: 3"));
}

TEST_CASE("a run without output is not resumed from its backup") {
  exchange_fixture f;
  f.AddTarget("far", "engines", "other");
  f.SendLongStreamRequest();
  f.target_channel(0).End(channel_end::reset);
  CHECK(f.connector.channels.size() == 1);
  CHECK(f.response().starts_with("HTTP/1.1 502"));
}

TEST_CASE("a stream is aborted if the backup is gone") {
  backed_up_stream f;
  f.target_channel(0).End(channel_end::reset);
  f.ConfirmStop();
  f.target_channel(2).Receive(f.Response("503 Gone", "", "Not-Run: 1\r\n"));
  CHECK(f.caller_channel->aborted);
}

TEST_CASE("backups count as memory and are not made where memory is short") {
  backed_up_stream f;
  bool counted = false;
  for (const target_load& load : f.selector.OwnLoads(f.scheduler.Now())) {
    if (load.target == target_id("far"))
      counted = load.tokens == 1500 && load.runs == 0;
  }
  CHECK(counted);
  selection_request large;
  large.service = service_id("engines");
  large.size = generation_size{5000, 0};
  CHECK_FALSE(
      f.selector.ChooseBackup(target_id("e1"), large, f.scheduler.Now()));
}

TEST_CASE("the memory of a backup is released when the run ends") {
  backed_up_stream f;
  f.target_channel(0).Receive(std::string(LastChunk()));
  CHECK(f.selector.OwnLoads(f.scheduler.Now()).empty());
}

TEST_CASE("the number of resumes after target failures is limited") {
  backed_up_stream f;
  for (int i = 0; i < 8; ++i)
    f.AddTarget("far" + std::to_string(i), "engines",
                "other" + std::to_string(i));
  for (int i = 0; i < 8 && f.caller_channel->open(); ++i) {
    f.target_channel().End(channel_end::reset);
    if (!f.caller_channel->open())
      break;
    f.ConfirmStop();
    f.target_channel().Receive(f.StreamHead() + f.Event(3 + i));
  }
  CHECK_FALSE(f.caller_channel->open());
  std::size_t runs = 0;
  for (const auto& channel : f.connector.channels)
    runs += channel->written.starts_with("POST /stream/") ? 1 : 0;
  CHECK(runs <= 3);
}
