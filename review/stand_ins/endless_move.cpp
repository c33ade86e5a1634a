// A model worker that is emptied answers the calls of /kv-move with bytes
// without end. The gateway's memory is watched as the platform does.

#include "engines.hpp"

namespace {

constexpr double kMemoryLimitMb = 110;

// Memory of the process's own, without files that it maps.
double OwnMemoryMb(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("RssAnon:"))
      return std::stod(line.substr(8)) * 1024 / 1e6;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const kit::setting setting = kit::ReadSetting(argc, argv);
  kit::record log(argv[1]);
  log.Line("trouble: %s", setting.trouble ? "yes" : "no");
  kit::store platform;
  kit::fleet fleet(platform, log, "motif-llm");
  platform.Put(
      "op/config",
      kit::Configuration(
          1,
          kit::json::array(
              {kit::Route("draft", "streaming", "motif-llm", 39000, 1800, 1),
               kit::Route("check", "idempotent", "agenda-app", 600, 100, 2)}),
          kit::json::array(
              {kit::Engines("motif-llm"), kit::PlainService("agenda-app")})));
  kit::plain_worker agenda(platform, log, "i-agenda", "breizh-rennes",
                           "agenda-app", 800, 150);
  kit::engine leaving(fleet, {"i-a", "breizh-rennes", true, setting.trouble});
  kit::engine sound_b(fleet, {"i-b", "breizh-brest"});
  kit::engine sound_c(fleet, {"i-c", "breizh-vannes"});
  kit::engine sound_d(fleet, {"i-d", "breizh-vannes"});
  leaving.Register("ready");
  kit::gateway gateway(setting.directory, "front-breizh-rennes-1",
                       "breizh-rennes", platform.port());
  if (!gateway.AwaitReady())
    kit::GiveUp(log, "the gateway is not ready", {&gateway});
  kit::SleepMs(3500);  // contact_ms

  std::mutex mutex;
  std::vector<kit::stream_result> results;
  std::vector<std::thread> requesters;
  const auto start_stream = [&](int number) {
    requesters.emplace_back([&, number] {
      const auto opened = kit::channel::Connect(gateway.front());
      const std::string id = "stream-" + std::to_string(number);
      kit::message first;
      // The channel is a kept one: an earlier request was answered on it.
      if (!opened ||
          !opened->Write(kit::Request("GET", "/check/x", "first-" + id, 600)) ||
          !opened->Read(first)) {
        log.Line("requester: no answer to first-%s", id.c_str());
        return;
      }
      const auto result = kit::ReadStream(log, opened, id, 3000, 1000, 420);
      const std::lock_guard lock(mutex);
      results.push_back(result);
    });
    kit::SleepMs(250);
  };
  int number = 0;
  for (int i = 0; i < 9; ++i)
    start_stream(++number);
  sound_b.Register("ready");
  sound_c.Register("ready");
  sound_d.Register("ready");
  kit::SleepMs(500);
  for (int i = 0; i < 6; ++i)
    start_stream(++number);
  kit::SleepMs(300);

  // Requesters of the sound plain worker, each on one kept channel.
  std::atomic<bool> done = false;
  std::vector<std::string> unanswered;
  std::vector<std::thread> callers;
  for (int i = 1; i <= 6; ++i) {
    callers.emplace_back([&, i] {
      const auto opened = kit::channel::Connect(gateway.front());
      for (int sent = 1; opened && !done; ++sent) {
        const std::string id =
            "check-" + std::to_string(i) + "-" + std::to_string(sent);
        kit::message answer;
        if (opened->Write(kit::Request("GET", "/check/x", id, 600)) &&
            opened->Read(answer))
          continue;
        const bool has_nothing =
            answer.start.empty() && opened->Buffered() == 0;
        log.Line("requester: the channel of %s ends, %s", id.c_str(),
                 has_nothing ? "without any answer" : "within its answer");
        const std::lock_guard lock(mutex);
        // On a kept channel, that is, after an answer on it.
        if (has_nothing && sent > 1)
          unanswered.push_back(id);
        return;
      }
    });
  }
  kit::SleepMs(700);

  log.Line("the operator empties worker i-a");
  leaving.Drain();
  double peak = 0;
  bool killed = false;
  const double watch_end = kit::NowMs() + 6000;
  while (kit::NowMs() < watch_end && !gateway.HasEnded()) {
    const double memory = OwnMemoryMb(gateway.process());
    peak = std::max(peak, memory);
    if (!killed && memory > kMemoryLimitMb) {
      log.Line(
          "the gateway's memory is %.0f MB, over the limit of %.0f MB: "
          "the platform kills it",
          memory, kMemoryLimitMb);
      gateway.Signal(SIGKILL);
      killed = true;
    }
    kit::SleepMs(5);
  }
  for (std::thread& requester : requesters)
    requester.join();
  done = true;
  for (std::thread& caller : callers)
    caller.join();
  log.Line("peak of the gateway's memory: %.0f MB of %.0f MB", peak,
           kMemoryLimitMb);
  if (!killed && gateway.HasEnded())
    log.Line("the gateway ended: %s", gateway.EndText().c_str());

  // Requests from a kept channel that were passed on to a sound worker, and
  // whose channel ended without an answer.
  const auto runs = agenda.Began();
  int lost = 0;
  for (const std::string& id : unanswered) {
    if (!runs.contains(id))
      continue;
    ++lost;
    log.Line("LOST: %s was passed on to i-agenda", id.c_str());
  }
  const auto broken =
      std::count_if(results.begin(), results.end(),
                    [](const auto& result) { return !result.whole; });
  log.Line("%zu streams, %d broken off", results.size(),
           static_cast<int>(broken));
  log.Line("%d requests lost at a sound worker (the rule allows 3)", lost);
  if (results.size() != 15)
    kit::GiveUp(log, "not all streams began", {&gateway});
  kit::Conclude(log, lost > 3, {&gateway});
}
