// The store turns one of three gateways away and serves the others, while
// workers are replaced one after the other. Requests reach workers that left.

#include <array>

#include "engines.h"

namespace {

constexpr double kRefusalMs = 9000;    // The longest of the site file.
constexpr double kSettleMs = 4000;     // contact_ms and a little more.
constexpr double kReplaceMs = 1000;    // Pause between replacements.
constexpr double kRequestMs = 180;     // 5 requests a second at each machine.
constexpr double kHeartbeatMs = 1200;
constexpr double kDrainMs = 2000;
constexpr double kLingerMs = 1500;

// A plain worker of the service that can be emptied.
class worker {
 public:
  worker(kit::store& platform, kit::record& log, const std::string& id,
         const std::string& zone)
      : platform_(platform),
        log_(log),
        id_(id),
        zone_(zone),
        listener_([this](const auto& opened) { Serve(opened); }) {
    Write("ready");
    std::thread([this] {
      for (;;) {
        kit::SleepMs(kHeartbeatMs);
        if (listener_.HasEnded())
          return;
        Write(left_ == 0 ? "ready" : "draining");
      }
    }).detach();
  }

  void Drain() {
    left_ = 1;
    left_ = Write("draining");
    log_.Line("worker %s is draining: acknowledged by the store", id_.c_str());
    std::thread([this] {
      kit::SleepMs(kDrainMs + kLingerMs);
      listener_.End();
      platform_.Remove("servers/" + id_);
    }).detach();
  }

  double left() const { return left_; }
  const std::string& id() const { return id_; }
  std::vector<std::pair<std::string, double>> Arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

 private:
  double Write(const std::string& state) {
    const std::lock_guard lock(write_mutex_);
    if (listener_.HasEnded())
      return kit::NowMs();
    return platform_.Put("servers/" + id_,
                         kit::WorkerEntry("agenda-app", listener_.port(), zone_,
                                          state, ++sequence_));
  }

  void Serve(const std::shared_ptr<kit::channel>& opened) {
    kit::message request;
    while (opened->Read(request)) {
      const std::string id = request.Header("X-Wisteriatally-Request-Id");
      if (request.Header("X-Wisteriatally-Expect-Instance") != id_) {
        if (!opened->Write(kit::Answer(
                421, "X-Wisteriatally-Not-Executed: 1\r\n", "")))
          return;
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        arrivals_.emplace_back(id, kit::NowMs());
      }
      kit::SleepMs(15);
      if (!opened->Write(kit::Answer(
              200,
              "X-Wisteriatally-Request-Id: " + id +
                  "\r\nX-Wisteriatally-Response-Signature: s-" + id_ + "\r\n",
              std::string(800, 'a'))))
        return;
    }
  }

  kit::store& platform_;
  kit::record& log_;
  const std::string id_;
  const std::string zone_;
  long sequence_ = 0;
  std::atomic<double> left_ = 0;
  std::mutex mutex_;
  std::mutex write_mutex_;
  std::vector<std::pair<std::string, double>> arrivals_;
  kit::listener listener_;
};

// The machines and zones of the sheet.
constexpr std::array<const char*, 8> kMachines = {
    "breizh-rennes-1", "breizh-rennes-2", "breizh-rennes-3", "breizh-brest-1",
    "breizh-brest-2",  "breizh-brest-3",  "breizh-vannes-1", "breizh-vannes-2"};
constexpr std::array<const char*, 3> kZones = {"breizh-rennes", "breizh-brest",
                                               "breizh-vannes"};

// The machines that the store turns away, one set after another: three of
// eight, a share of 0.35.
constexpr int kRefused[3][3] = {{5, 0, 7}, {4, 5, 2}, {6, 1, 5}};

struct span {
  int gateway;
  double from;
  double until;
};

}  // namespace

int main(int argc, char** argv) {
  const kit::setting setting = kit::ReadSetting(argc, argv);
  kit::record log(argv[1]);
  log.Line("trouble: %s", setting.trouble ? "yes" : "no");
  kit::store platform;
  platform.Put(
      "op/config",
      kit::Configuration(1,
                         kit::json::array({kit::Route("confirm",
                                                      "non_idempotent",
                                                      "agenda-app", 600, 100,
                                                      1)}),
                         kit::json::array({kit::PlainService("agenda-app")})));
  std::atomic<bool> refuses[kMachines.size()] = {};
  std::vector<std::unique_ptr<kit::gateway>> gateways;
  std::vector<kit::gateway*> started;
  for (std::size_t i = 0; i < kMachines.size(); ++i) {
    const std::string name = std::string("front-") + kMachines[i];
    gateways.push_back(std::make_unique<kit::gateway>(
        setting.directory, name, name.substr(6, name.size() - 8),
        platform.OpenDoor(refuses[i])));
    started.push_back(gateways.back().get());
  }
  std::vector<std::unique_ptr<worker>> workers;
  int next_worker = 0;
  const auto add_worker = [&] {
    ++next_worker;
    workers.push_back(std::make_unique<worker>(
        platform, log, "i-" + std::to_string(next_worker),
        kZones[next_worker % 3]));
  };
  for (int i = 0; i < 3; ++i)
    add_worker();
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady())
      kit::GiveUp(log, "a gateway is not ready", started);
  }
  kit::SleepMs(kSettleMs);

  std::atomic<bool> done = false;
  std::mutex mutex;
  std::map<std::string, double> sent;
  std::map<int, int> statuses;
  std::vector<std::thread> requesters;
  for (int i = 0; i < static_cast<int>(kMachines.size()); ++i) {
    requesters.emplace_back([&, i] {
      std::shared_ptr<kit::channel> opened;
      for (int number = 1; !done; ++number) {
        if (!opened)
          opened = kit::channel::Connect(started[i]->front());
        const std::string id =
            "g" + std::to_string(i) + "-" + std::to_string(number);
        {
          const std::lock_guard lock(mutex);
          sent[id] = kit::NowMs();
        }
        kit::message answer;
        if (!opened ||
            !opened->Write(
                kit::Request("POST", "/confirm/x", id, 600, "", "{}")) ||
            !opened->Read(answer)) {
          opened.reset();
          answer.start = "closed 0";
        } else if (answer.Header("Connection") == "close") {
          opened.reset();
        }
        {
          const std::lock_guard lock(mutex);
          ++statuses[answer.Status()];
        }
        kit::SleepMs(kRequestMs);
      }
    });
  }

  // The release goes on all the time; each machine is turned away once.
  std::vector<span> spans;
  std::thread operation([&] {
    while (!done) {
      add_worker();
      kit::SleepMs(kReplaceMs / 2);
      workers[workers.size() - 4]->Drain();
      kit::SleepMs(kReplaceMs / 2);
    }
  });
  kit::SleepMs(2000);
  for (const auto& refused : kRefused) {
    const double from = kit::NowMs();
    for (const int i : refused) {
      if (!setting.trouble)
        continue;
      log.Line("the store turns %s away (429)", kMachines[i]);
      refuses[i] = true;
    }
    kit::SleepMs(kRefusalMs);
    log.Line("the store serves all machines");
    for (const int i : refused) {
      refuses[i] = false;
      spans.push_back({i, from, kit::NowMs()});
    }
    kit::SleepMs(kSettleMs);
  }
  done = true;
  operation.join();
  for (std::thread& requester : requesters)
    requester.join();

  // Requests that a machine in touch took and that reached a worker too late.
  // A machine is out of touch while it is turned away and contact_ms after it.
  int late = 0;
  for (const auto& held : workers) {
    if (held->left() == 0)
      continue;
    for (const auto& [id, at] : held->Arrivals()) {
      const int from = id[1] - '0';
      const bool in_touch =
          std::none_of(spans.begin(), spans.end(), [&, at = at](const span& s) {
            return setting.trouble && s.gateway == from && at >= s.from &&
                   at < s.until + 3000;
          });
      if (!in_touch || at <= held->left() + kDrainMs)
        continue;
      ++late;
      log.Line("DRAIN: %s, sent at %.1f, reaches %s at %.1f, %.0f ms after the "
               "store acknowledged that it leaves (bound %.0f ms)",
               id.c_str(), sent[id], held->id().c_str(), at, at - held->left(),
               kDrainMs);
    }
  }
  for (const auto& [status, count] : statuses)
    log.Line("answers with status %d: %d", status, count);
  log.Line("%zu requests, %d too late at a leaving worker", sent.size(), late);
  if (sent.size() < 500)
    kit::GiveUp(log, "too few requests were sent", started);
  kit::Conclude(log, late > 0, started);
}
