// A small deployment: a store, gateways in zones, plain workers, a balancer.
#ifndef REVIEW_STAND_INS_2_DEPLOYMENT_HPP_
#define REVIEW_STAND_INS_2_DEPLOYMENT_HPP_

#include "kit.hpp"

namespace kit {

// What workers have run: id of the request, service and time.
struct run_entry {
  std::string id;
  std::string service;
  std::string worker;
  std::int64_t at_ms = 0;
};

class run_log {
 public:
  void Add(const std::string& id,
           const std::string& service,
           const std::string& worker) {
    std::lock_guard lock(mutex_);
    runs_.push_back({id, service, worker, NowMs()});
  }
  std::vector<run_entry> All() const {
    std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<run_entry> runs_;
};

// A worker of a plain service, registered in the store.
class plain_worker {
 public:
  plain_worker(std::string id,
               std::string service,
               std::string zone,
               const std::string& ip,
               store& registry,
               run_log& runs)
      : id_(std::move(id)),
        service_(std::move(service)),
        address_{ip, FreePort(ip)},
        runs_(runs),
        server_(address_, [this](const auto& caller) { Serve(caller); }) {
    const json entry = {{"service", service_},
                        {"address", address_.Text()},
                        {"zone", zone},
                        {"version", "v1"},
                        {"slots", 6},
                        {"state", "ready"},
                        {"cold_remaining_ms", 0},
                        {"sequence", 1},
                        {"born", 1'790'000'000'000}};
    registry.Put("servers/" + id_, entry.dump());
  }

 private:
  void Serve(const std::shared_ptr<connection>& caller) {
    for (;;) {
      message request;
      if (!ReadHead(*caller, request, NowMs() + 4000) ||
          !ReadBody(*caller, request, NowMs() + 4000))
        return;
      const std::string request_id =
          request.Header("X-Wisteriatally-Request-Id");
      std::vector<header> headers = {{"X-Wisteriatally-Request-Id", request_id},
                                     {"X-Wisteriatally-Instance-Id", id_}};
      if (request.Header("X-Wisteriatally-Expect-Instance") != id_) {
        if (!caller->Write(Response(421, headers, "")))
          return;
        continue;
      }
      runs_.Add(request_id, service_, id_);
      SleepMs(15);
      headers.push_back({"X-Wisteriatally-Response-Signature", id_});
      headers.push_back({"Keep-Alive", "timeout=5"});
      if (!caller->Write(Response(200, headers, service_)))
        return;
    }
  }

  const std::string id_;
  const std::string service_;
  const address address_;
  run_log& runs_;
  server server_;
};

// The configuration of a deployment with one plain service and one open route.
inline std::string PlainConfiguration(const std::string& host,
                                      const std::string& kind,
                                      std::int64_t timeout_ms) {
  return json{{"version", 10},
              {"routes",
               {{{"name", "r-plain"},
                 {"hostname", host},
                 {"path_prefix", "/plain/"},
                 {"kind", kind},
                 {"timeout_ms", timeout_ms},
                 {"target_latency_ms", 300},
                 {"priority", 2},
                 {"service", "plain"},
                 {"max_attempts", 1},
                 {"allow_anonymous", true},
                 {"session_affinity", false},
                 {"stream_resume", false},
                 {"target_gap_ms", 180}}}},
              {"services",
               {{{"name", "plain"},
                 {"health_path", "/health"},
                 {"max_connections", 110},
                 {"protocol", "h1"},
                 {"tls", false},
                 {"cold_start_s", 0.0},
                 {"cold_per_s", 0.0}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 4194304},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

// Asks each gateway once a second whether it is ready, and chooses one for a
// new channel as PROTOCOL.md says under "Ingress".
class balancer {
 public:
  explicit balancer(std::vector<gateway*> gateways)
      : gateways_(std::move(gateways)),
        misses_(gateways_.size(), 2),
        prober_([this] {
          while (!is_stopped_) {
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
              const bool is_ready = gateways_[i]->IsReady();
              std::lock_guard lock(mutex_);
              const bool was_in = misses_[i] < 2;
              misses_[i] = is_ready ? 0 : misses_[i] + 1;
              if (was_in != (misses_[i] < 2))
                record::Line("%s is %s rotation", gateways_[i]->name().c_str(),
                             misses_[i] < 2 ? "in" : "out of");
            }
            SleepMs(1000);
          }
        }) {}
  ~balancer() {
    is_stopped_ = true;
    prober_.join();
  }

  gateway& Choose(std::size_t requester) {
    std::lock_guard lock(mutex_);
    std::vector<std::size_t> in_rotation;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (misses_[i] < 2)
        in_rotation.push_back(i);
    }
    // With fewer than half in rotation, all are used.
    if (2 * in_rotation.size() < gateways_.size())
      return *gateways_[requester % gateways_.size()];
    return *gateways_[in_rotation[requester % in_rotation.size()]];
  }

 private:
  std::vector<gateway*> gateways_;
  std::vector<int> misses_;
  std::mutex mutex_;
  std::atomic<bool> is_stopped_ = false;
  std::thread prober_;
};

inline bool AwaitReady(const std::vector<std::unique_ptr<gateway>>& gateways,
                       std::int64_t wait_ms) {
  const std::int64_t deadline = NowMs() + wait_ms;
  for (const auto& entry : gateways) {
    while (!entry->IsReady()) {
      if (NowMs() >= deadline || entry->HasEnded())
        return false;
      SleepMs(100);
    }
  }
  return true;
}

}  // namespace kit

#endif  // REVIEW_STAND_INS_2_DEPLOYMENT_HPP_
