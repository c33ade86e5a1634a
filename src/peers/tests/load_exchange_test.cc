#include <catch2/catch.hpp>

#include <deque>
#include <random>

#include "framework/net/tests/mocks/virtual_scheduler.h"
#include "peers/load_exchange.h"

using namespace wist;

namespace {

load_word Word(std::uint64_t number, std::int32_t runs) {
  return {"peer", 7, number, {{target_id("t"), runs, 100, 50}}};
}

class counted_port final : public i_datagram_port {
 public:
  void Send(const http_address&, const std::string& bytes) override {
    sent.push_back(bytes);
  }
  std::vector<std::string> sent;
};

struct fixture {
  fixture() { exchange.Start(port); }

  virtual_scheduler scheduler;
  counted_port port;
  std::vector<target_load> loads;
  std::vector<load_word> heard;
  load_exchange exchange{
      {},
      "self",
      1,
      scheduler,
      [this] {
        return own_word{loads, {}};
      },
      [this](const load_word& word) { heard.push_back(word); }};
};

}  // namespace

TEST_CASE("a word survives its encoding") {
  CHECK(DecodeLoadWord(EncodeLoadWord(Word(3, 2))) == Word(3, 2));
}

TEST_CASE("crashes and answers are told along with the loads") {
  load_word word = Word(3, 2);
  word.crashes = {{0xfedcba9876543210, target_id("t"), milliseconds(5)},
                  {4, std::nullopt, milliseconds(0)}};
  CHECK(DecodeLoadWord(EncodeLoadWord(word)) == word);
}

TEST_CASE("bytes that are no word are dropped") {
  fixture f;
  f.exchange.OnDatagram("");
  f.exchange.OnDatagram("nonsense");
  std::minstd_rand random(5);
  for (int i = 0; i < 500; ++i) {
    std::string bytes = EncodeLoadWord(Word(1, 1));
    bytes.resize(random() % bytes.size());
    for (char& byte : bytes)
      byte = random() % 4 == 0 ? static_cast<char>(random()) : byte;
    CHECK_NOTHROW(f.exchange.OnDatagram(bytes));
  }
}

TEST_CASE("a word that was overtaken changes nothing") {
  fixture f;
  f.exchange.OnDatagram(EncodeLoadWord(Word(5, 1)));
  f.exchange.OnDatagram(EncodeLoadWord(Word(4, 9)));
  REQUIRE(f.heard.size() == 1);
  load_word restarted = Word(1, 3);
  restarted.started_at = 8;
  f.exchange.OnDatagram(EncodeLoadWord(restarted));
  CHECK(f.heard.size() == 2);
}

TEST_CASE("an instance that fell silent counts as gone") {
  fixture f;
  CHECK_FALSE(f.exchange.HeardLately("peer"));
  f.exchange.OnDatagram(EncodeLoadWord(Word(5, 1)));
  f.scheduler.Advance(milliseconds(2900));
  CHECK(f.exchange.HeardLately("peer"));
  f.scheduler.Advance(milliseconds(200));
  CHECK_FALSE(f.exchange.HeardLately("peer"));
}

TEST_CASE("changes that come together are told once, to every peer") {
  fixture f;
  f.exchange.SetPeers({{"a", 1}, {"b", 1}});
  f.scheduler.Advance(milliseconds(100));
  f.port.sent.clear();
  for (int i = 0; i < 10; ++i)
    f.exchange.OnLoadChange();
  f.scheduler.Advance(milliseconds(20));
  CHECK(f.port.sent.size() == 2);
}

TEST_CASE("the rate of datagrams stays bounded with many peers") {
  fixture f;
  load_exchange_settings settings;
  settings.datagrams_per_second = 150;
  load_exchange exchange(
      settings, "self", 1, f.scheduler,
      [&] {
        return own_word{f.loads, {}};
      },
      [](const load_word&) {});
  exchange.Start(f.port);
  exchange.SetPeers(std::vector<http_address>(400, {"a", 1}));
  f.port.sent.clear();
  for (int i = 0; i < 10'000; ++i) {
    exchange.OnLoadChange();
    f.scheduler.Advance(milliseconds(1));
  }
  CHECK(f.port.sent.size() <= 150 * 10 + 400);
}

// Pattern: engines that just started draw all instances at once. A run of the
// grown Guild site (scale-1) had ten requests on one of them before any of
// their senders heard of another.
TEST_CASE("eighty instances hear of a new run before the next ones start") {
  fixture f;
  f.scheduler.Advance(milliseconds(100));
  f.exchange.SetPeers(std::vector<http_address>(81, {"a", 1}));
  f.exchange.OnLoadChange();
  f.scheduler.Advance(milliseconds(100));
  f.port.sent.clear();
  f.exchange.OnLoadChange();
  f.scheduler.Advance(milliseconds(20));
  CHECK(f.port.sent.size() == 81);
}

TEST_CASE("unchanged loads are told again, as datagrams get lost") {
  fixture f;
  f.exchange.SetPeers({{"a", 1}});
  f.scheduler.Advance(milliseconds(3500));
  CHECK(f.port.sent.size() == 3);
}
