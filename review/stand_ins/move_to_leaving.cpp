// Two model workers of eight are emptied shortly after one another, while the
// others are crowded. Runs of the first one are sent to the second after it has
// reported that it leaves.

#include "engines.hpp"

int main(int argc, char** argv) {
  const kit::setting setting = kit::ReadSetting(argc, argv);
  kit::record log(argv[1]);
  log.Line("trouble: %s", setting.trouble ? "yes" : "no");
  kit::store platform;
  kit::fleet fleet(platform, log, "motif-llm");
  platform.Put("op/config",
               kit::Configuration(
                   1,
                   kit::json::array({kit::Route("draft", "streaming",
                                                "motif-llm", 39000, 1800, 1)}),
                   kit::json::array({kit::Engines("motif-llm")})));
  kit::engine first(fleet, {"i-a", "breizh-rennes"});
  kit::engine second(fleet, {"i-b", "breizh-brest"});
  std::vector<std::unique_ptr<kit::engine>> staying;
  const std::vector<std::string> zones = {"breizh-rennes", "breizh-brest",
                                          "breizh-vannes"};
  for (int i = 0; i < 6; ++i) {
    staying.push_back(std::make_unique<kit::engine>(
        fleet,
        kit::engine_options{"i-" + std::string(1, static_cast<char>('c' + i)),
                            zones[i % 3]}));
    staying.back()->Register("ready");
  }
  first.Register("ready");
  kit::gateway gateway(setting.directory, "front-breizh-rennes-1",
                       "breizh-rennes", platform.port());
  if (!gateway.AwaitReady())
    kit::GiveUp(log, "the gateway is not ready", {&gateway});
  kit::SleepMs(3500);  // contact_ms

  int broken_before = 0;
  constexpr int kStreams = 48;  // About seven at each of seven workers.
  std::mutex mutex;
  std::vector<kit::stream_result> results;
  std::vector<std::thread> requesters;
  for (int i = 1; i <= kStreams; ++i) {
    requesters.emplace_back([&, i] {
      kit::stream_result result;
      // A requester comes again after a refusal, as a new request.
      for (int attempt = 1; attempt <= 3 && result.status != 200; ++attempt) {
        const auto opened = kit::channel::Connect(gateway.front());
        if (!opened)
          return;
        kit::SleepMs(result.status == 0 ? 0 : 500);
        result = kit::ReadStream(
            log, opened,
            "stream-" + std::to_string(i) + "-" + std::to_string(attempt), 3000,
            1400, 420);
      }
      const std::lock_guard lock(mutex);
      results.push_back(result);
    });
    kit::SleepMs(65);
  }
  kit::SleepMs(1300);
  second.Register("ready");
  kit::SleepMs(400);

  double second_left = 0;
  if (setting.trouble) {
    log.Line("the operator empties worker i-a");
    first.Drain();
    kit::SleepMs(150);
    log.Line("the operator empties worker i-b");
    second_left = second.Drain();
  }
  for (std::thread& requester : requesters)
    requester.join();

  int late = 0;
  for (const kit::engine_arrival& arrival : second.Arrivals()) {
    if (second_left == 0 || arrival.at <= second_left + kit::kDrainMs)
      continue;
    ++late;
    log.Line(
        "DRAIN: %s reaches i-b %.0f ms after the store acknowledged that "
        "it leaves (bound %.0f ms)",
        arrival.request.c_str(), arrival.at - second_left, kit::kDrainMs);
  }
  int broken = 0;
  for (const kit::stream_result& result : results)
    broken += result.whole ? 0 : 1;
  log.Line(
      "%zu streams, %d broken off; %d requests too late at a leaving worker",
      results.size(), broken, late);
  for (const kit::stream_result& result : results)
    broken_before += result.status == 200 ? 0 : 1;
  if (results.size() != kStreams || broken_before > 0)
    kit::GiveUp(log, "not all streams began", {&gateway});
  kit::Conclude(log, late > 0, {&gateway});
}
