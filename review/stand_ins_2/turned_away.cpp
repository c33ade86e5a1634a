// The store turns three of eight gateways away while the configuration changes.
// Each version sends the route to a service of its own, so that a run shows
// which version was in force. Do the gateways that the store serves follow
// within config_apply_ms?
#include "deployment.hpp"

namespace {

using namespace kit;

constexpr char kHost[] = "versions.example";
constexpr std::int64_t kConfigApplyMs = 2000;
constexpr std::int64_t kRefusalMs = 9000;
constexpr std::int64_t kGapMs = 330;
// Two storms, one after the other.
constexpr std::int64_t kStormMs = 8000;
// The storm begins this long after the store has begun to turn gateways away.
constexpr std::int64_t kStormDelayMs = 330;
constexpr std::size_t kVersions = kStormMs / kGapMs + 1;

// Parents of others, where a gateway looks for what it doesn't read itself.
const std::set<std::string> kTurnedAway = {"front-zone-0-1", "front-zone-1-5",
                                           "front-zone-2-7"};

std::string Service(std::size_t number) {
  return "service-" + std::to_string(number);
}

std::string Configuration(std::size_t number) {
  json configuration =
      json::parse(PlainConfiguration(kHost, "idempotent", 1500));
  configuration["version"] = 10 + 3 * number;
  json& route = configuration["routes"][0];
  route["service"] = Service(number);
  route["allow_anonymous"] = false;
  const json service = configuration["services"][0];
  configuration["services"] = json::array();
  for (std::size_t i = 0; i <= kVersions; ++i) {
    configuration["services"].push_back(service);
    configuration["services"].back()["name"] = Service(i);
  }
  configuration["tenants"] = {{{"name", "tenant-1"}, {"api_keys", {"key-1"}}}};
  return configuration.dump();
}

int Run() {
  const bool has_trouble = HasTrouble();
  const temporary_folder folder;
  const std::vector<std::string> zones = {"zone-0", "zone-1", "zone-2"};
  const std::size_t sizes[] = {3, 3, 2};
  std::vector<std::string> ips;
  std::vector<std::string> zone_of;
  for (std::size_t zone = 0; zone < zones.size(); ++zone) {
    for (std::size_t i = 0; i < sizes[zone]; ++i) {
      ips.push_back("127.46." + std::to_string(zone) + "." +
                    std::to_string(i + 1));
      zone_of.push_back(zones[zone]);
    }
  }
  const int first_port = FreePorts(ips);
  // The store and the workers serve until the end of the process.
  store& registry = *new store({"127.46.9.1", FreePort("127.46.9.1")});
  registry.Put("op/config", Configuration(0));
  run_log& runs = *new run_log;
  auto& workers = *new std::vector<std::unique_ptr<plain_worker>>;
  for (std::size_t i = 0; i <= kVersions; ++i)
    workers.push_back(std::make_unique<plain_worker>(
        "worker-" + std::to_string(i), Service(i), zones[i % 3], "127.46.8.1",
        registry, runs));
  std::vector<std::unique_ptr<gateway>> gateways;
  std::vector<std::shared_ptr<store::entrance>> entrances;
  for (std::size_t i = 0; i < ips.size(); ++i) {
    const address way{"127.46.9.1", FreePort("127.46.9.1")};
    entrances.push_back(registry.Open(way));
    gateways.push_back(std::make_unique<gateway>(
        gateway::options{"front-" + zone_of[i] + "-" + std::to_string(i + 1),
                         ips[i], zone_of[i], zones, first_port, way, 110, true},
        folder.path()));
    gateways.back()->Start();
  }
  if (!AwaitReady(gateways, 20'000)) {
    record::Line("the gateways are not ready");
    return 2;
  }
  SleepMs(5000);

  struct sent_request {
    std::string id;
    std::size_t gateway;
    std::int64_t sent_ms;
    int status;
  };
  std::mutex mutex;
  std::vector<sent_request> requests;
  std::atomic<bool> is_over = false;
  std::vector<std::thread> requesters;
  for (std::size_t i = 0; i < gateways.size(); ++i) {
    requesters.emplace_back([&, i] {
      for (std::size_t n = 0; !is_over; ++n) {
        const std::string id = gateways[i]->name() + "-q" + std::to_string(n);
        const answer got = Ask(gateways[i]->front(),
                               Request("GET", kHost, "/plain/x", id, 1500,
                                       {{"X-Wisteriatally-Key", "key-1"}}),
                               1500);
        {
          std::lock_guard lock(mutex);
          requests.push_back({id, i, got.sent_ms, got.status});
        }
        SleepMs(40);
      }
    });
  }
  const std::int64_t begin = NowMs();
  for (std::size_t i = 0; has_trouble && i < gateways.size(); ++i) {
    if (kTurnedAway.contains(gateways[i]->name())) {
      entrances[i]->refuses = true;
      record::Line("the store turns %s away", gateways[i]->name().c_str());
    }
  }
  std::vector<std::int64_t> acknowledged;
  for (std::size_t i = 1; i <= kVersions; ++i) {
    SleepUntil(begin + kStormDelayMs +
               static_cast<std::int64_t>(i - 1) * kGapMs);
    registry.Put("op/config", Configuration(i));
    acknowledged.push_back(NowMs());
    record::Line("version %zu is acknowledged", i);
  }
  SleepUntil(begin + kRefusalMs);
  for (const auto& way : entrances)
    way->refuses = false;
  record::Line("the store serves all gateways");
  SleepMs(4000);
  is_over = true;
  for (std::thread& requester : requesters)
    requester.join();

  std::map<std::string, std::string> service_of;
  for (const run_entry& run : runs.All())
    service_of[run.id] = run.service;
  std::size_t late = 0;
  std::size_t late_elsewhere = 0;
  std::map<int, int> statuses;
  for (const sent_request& sent : requests) {
    ++statuses[sent.status];
    const auto ran = service_of.find(sent.id);
    if (ran == service_of.end())
      continue;
    const std::size_t version =
        std::stoul(ran->second.substr(Service(0).find('-') + 1));
    // The oldest version that may be in force for this request.
    std::size_t oldest = 0;
    while (oldest < acknowledged.size() &&
           acknowledged[oldest] + kConfigApplyMs < sent.sent_ms)
      ++oldest;
    const std::string& name = gateways[sent.gateway]->name();
    const bool is_turned_away = has_trouble && kTurnedAway.contains(name);
    record::Line("%s sent at %lld: run by version %zu, oldest allowed %zu%s",
                 sent.id.c_str(), static_cast<long long>(sent.sent_ms), version,
                 oldest,
                 version >= oldest ? ""
                 : is_turned_away  ? " (late, not in touch)"
                                   : " (late)");
    if (version < oldest)
      ++(is_turned_away ? late_elsewhere : late);
  }
  for (const auto& [status, count] : statuses)
    record::Line("status %d: %d requests", status, count);
  record::Line(
      "sent later than %lld ms after the acknowledgement and run by an older "
      "version: %zu at gateways in touch, %zu at those turned away",
      static_cast<long long>(kConfigApplyMs), late, late_elsewhere);
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
