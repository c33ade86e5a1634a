// A model worker that does not drop a request when its channel closes is
// emptied. Its runs go on at another worker while it still works on them.

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
  kit::engine leaving(fleet, {"i-a", "breizh-rennes", false});
  kit::engine staying_b(fleet, {"i-b", "breizh-rennes"});
  kit::engine staying_c(fleet, {"i-c", "breizh-brest"});
  kit::engine staying_d(fleet, {"i-d", "breizh-vannes"});
  const std::vector<kit::engine*> staying = {&staying_b, &staying_c,
                                             &staying_d};
  leaving.Register("ready");
  kit::gateway gateway(setting.directory, "front-breizh-rennes-1",
                       "breizh-rennes", platform.port());
  if (!gateway.AwaitReady())
    kit::GiveUp(log, "the gateway is not ready", {&gateway});
  kit::SleepMs(3500);  // contact_ms

  int broken_before = 0;
  constexpr int kStreams = 4;
  std::mutex mutex;
  std::vector<kit::stream_result> results;
  std::vector<std::thread> requesters;
  for (int i = 1; i <= kStreams; ++i) {
    requesters.emplace_back([&, i] {
      const auto opened = kit::channel::Connect(gateway.front());
      if (!opened)
        return;
      const auto result = kit::ReadStream(
          log, opened, "stream-" + std::to_string(i), 3000, 1000, 420);
      const std::lock_guard lock(mutex);
      results.push_back(result);
    });
    kit::SleepMs(300);
  }
  for (kit::engine* worker : staying)
    worker->Register("ready");
  kit::SleepMs(1000);
  if (setting.trouble) {
    log.Line("the operator empties worker i-a");
    leaving.Drain();
  }
  for (std::thread& requester : requesters)
    requester.join();
  kit::SleepMs(1000);

  int twice = 0;
  const auto runs = leaving.Runs();
  for (kit::engine* worker : staying) {
    for (const kit::engine_arrival& arrival : worker->Arrivals()) {
      const auto before = runs.find(arrival.request);
      if (!arrival.continues || !arrival.ran || before == runs.end())
        continue;
      const double ended = before->second.work_ended;
      const double overlap = (ended > 0 ? ended : kit::NowMs()) - arrival.at;
      if (overlap <= 400)
        continue;
      ++twice;
      log.Line(
          "TWICE: %s went on at %s while i-a worked on it for another "
          "%.0f ms (bound 400 ms)",
          arrival.request.c_str(), worker->options().id.c_str(), overlap);
    }
  }
  log.Line("%zu streams, %d ran at two workers at once", results.size(), twice);
  for (const kit::stream_result& result : results)
    broken_before += result.status == 200 ? 0 : 1;
  if (results.size() != kStreams || broken_before > 0)
    kit::GiveUp(log, "not all streams began", {&gateway});
  kit::Conclude(log, twice > 0, {&gateway});
}
