// The store turns one gateway away, the one that reads it for the others. While
// that lasts, workers leave: their entries are removed, and they serve on. Do
// the other gateways, which the store serves, stop using them within drain_ms?
#include "deployment.hpp"

namespace {

using namespace kit;

constexpr char kHost[] = "drain.example";
constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kRefusalMs = 9000;
constexpr std::size_t kWorkers = 8;
// When workers leave, from the time at which the store begins to turn the
// gateway away.
constexpr std::int64_t kLeaves[] = {200, 1200, 3300, 4300, 6500};

int Run() {
  const bool has_trouble = HasTrouble();
  const temporary_folder folder;
  const std::vector<std::string> zones = {"zone-a"};
  const std::vector<std::string> ips = {"127.44.0.1", "127.44.0.2",
                                        "127.44.0.3"};
  const int first_port = FreePorts(ips);
  // The store and the workers serve until the end of the process.
  store& registry = *new store({"127.44.9.1", FreePort("127.44.9.1")});
  registry.Put("op/config", PlainConfiguration(kHost, "non_idempotent", 1500));
  run_log& runs = *new run_log;
  auto& workers = *new std::vector<std::unique_ptr<plain_worker>>;
  for (std::size_t i = 0; i < kWorkers; ++i)
    workers.push_back(
        std::make_unique<plain_worker>("worker-" + std::to_string(i), "plain",
                                       zones[0], "127.44.8.1", registry, runs));
  std::vector<std::unique_ptr<gateway>> gateways;
  std::vector<std::shared_ptr<store::entrance>> entrances;
  for (std::size_t i = 0; i < ips.size(); ++i) {
    const address way{"127.44.9.1", FreePort("127.44.9.1")};
    entrances.push_back(registry.Open(way));
    gateways.push_back(std::make_unique<gateway>(
        gateway::options{"front-" + std::to_string(i + 1), ips[i], zones[0],
                         zones, first_port, way, 110, true},
        folder.path()));
    gateways.back()->Start();
  }
  if (!AwaitReady(gateways, 15'000)) {
    record::Line("the gateways are not ready");
    return 2;
  }
  SleepMs(3000);
  std::vector<std::int64_t> watches_before;
  for (const auto& way : entrances)
    watches_before.push_back(way->watches);
  SleepMs(2000);
  std::size_t reader = 0;
  for (std::size_t i = 0; i < entrances.size(); ++i) {
    const std::int64_t watches = entrances[i]->watches - watches_before[i];
    record::Line("%s: %lld watches at the store in 2 s",
                 gateways[i]->name().c_str(), static_cast<long long>(watches));
    if (watches > entrances[reader]->watches - watches_before[reader])
      reader = i;
  }

  std::mutex mutex;
  std::map<std::string, std::size_t> gateway_of;
  std::map<std::string, std::int64_t> sent_at;
  std::map<std::string, int> status_of;
  std::atomic<bool> is_over = false;
  std::vector<std::thread> requesters;
  for (std::size_t i = 0; i < 12; ++i) {
    requesters.emplace_back([&, i] {
      for (std::size_t n = 0; !is_over; ++n) {
        const std::string id =
            "q" + std::to_string(i) + "-" + std::to_string(n);
        const std::size_t chosen = i % gateways.size();
        {
          std::lock_guard lock(mutex);
          gateway_of[id] = chosen;
          sent_at[id] = NowMs();
        }
        const answer got =
            Ask(gateways[chosen]->front(),
                Request("POST", kHost, "/plain/x", id, 1500, {}, "{}"), 1500);
        {
          std::lock_guard lock(mutex);
          status_of[id] = got.status;
        }
        SleepMs(70);
      }
    });
  }
  SleepMs(1000);
  const std::int64_t begin = NowMs();
  if (has_trouble) {
    entrances[reader]->refuses = true;
    record::Line("the store turns %s away", gateways[reader]->name().c_str());
  }
  std::map<std::string, std::int64_t> left_at;
  for (std::size_t i = 0; i < std::size(kLeaves); ++i) {
    SleepUntil(begin + kLeaves[i]);
    const std::string worker = "worker-" + std::to_string(i);
    registry.Remove("servers/" + worker);
    left_at[worker] = NowMs();
    record::Line("%s leaves: the store has removed its entry", worker.c_str());
  }
  SleepUntil(begin + kRefusalMs);
  entrances[reader]->refuses = false;
  record::Line("the store serves all gateways");
  SleepMs(2000);
  is_over = true;
  for (std::thread& requester : requesters)
    requester.join();

  std::size_t late = 0;
  std::size_t late_by_reader = 0;
  std::map<int, int> statuses;
  for (const auto& [id, status] : status_of)
    ++statuses[status];
  for (const run_entry& run : runs.All()) {
    const auto left = left_at.find(run.worker);
    if (left == left_at.end() || run.at_ms <= left->second)
      continue;
    const std::int64_t after = run.at_ms - left->second;
    const bool is_late = after > kDrainMs;
    const std::size_t sender = gateway_of[run.id];
    const bool is_by_reader = has_trouble && sender == reader;
    record::Line("%s, sent at %lld, reaches %s from %s %lld ms after it left%s",
                 run.id.c_str(), static_cast<long long>(sent_at[run.id]),
                 run.worker.c_str(), gateways[sender]->name().c_str(),
                 static_cast<long long>(after),
                 !is_late       ? ""
                 : is_by_reader ? " (late, not in touch)"
                                : " (late)");
    if (is_late)
      ++(is_by_reader ? late_by_reader : late);
  }
  for (const auto& [status, count] : statuses)
    record::Line("status %d: %d requests", status, count);
  record::Line(
      "later than %lld ms: %zu requests from gateways in touch, %zu from the "
      "one that was turned away",
      static_cast<long long>(kDrainMs), late, late_by_reader);
  printf("late %zu\n", late);
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  kit::record::Open(argv[1]);
  const int result = Run();
  kit::record::Line("result %d", result);
  _exit(result);
}
