#include <boost/program_options.hpp>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

#include "framework/base/system_clock.h"
#include "stand_ins/common/option_parsing.h"
#include "stand_ins/common/stand_in_server.h"
#include "stand_ins/platform/platform_model.h"

namespace wist::stand_ins {
namespace {

using json = nlohmann::json;

struct platform_faults {
  bool down = false;                  // Close the connection of every call.
  milliseconds delay{0};              // Added to every call.
  int write_responses_to_drop = 0;    // The writes take effect.
  std::set<std::string> cut_domains;  // Close connections from these domains.
};

// Serves platform_model over HTTP. Callers send their failure domain in the
// header X-Domain, so that a test can disconnect one domain from the platform.
class platform_server {
 public:
  explicit platform_server(const platform_settings& settings)
      : model_(settings) {}

  void Handle(const http_server_request& request, i_http_responder& responder) {
    if (request.path == "/faults")
      return SetFaults(request, responder);
    if (request.path == "/stats")
      return SendStats(responder);
    if (IsCut(request))
      return responder.Abort();
    Delay();
    if (!PathAfterPrefix(request.path, "/kv/").empty())
      return HandleValue(request, responder);
    if (!PathAfterPrefix(request.path, "/watch/").empty())
      return HandleWatch(request, responder);
    if (!PathAfterPrefix(request.path, "/leases/").empty())
      return HandleLease(request, responder);
    if (request.path.rfind("/instances", 0) == 0)
      return HandleInstances(request, responder);
    SendJson(responder, 404, json::object());
  }

 private:
  bool IsCut(const http_server_request& request) {
    std::lock_guard lock(mutex_);
    return faults_.down ||
           faults_.cut_domains.contains(request.Header("X-Domain"));
  }

  void Delay() {
    milliseconds delay{0};
    {
      std::lock_guard lock(mutex_);
      delay = faults_.delay;
    }
    std::this_thread::sleep_for(delay);
  }

  void SetFaults(const http_server_request& request,
                 i_http_responder& responder) {
    const json body = ParseObject(request.body);
    std::lock_guard lock(mutex_);
    faults_.down = body.value("down", faults_.down);
    faults_.delay = milliseconds(body.value("delay_ms", faults_.delay.count()));
    faults_.write_responses_to_drop =
        body.value("lose_write_answers", faults_.write_responses_to_drop);
    if (body.contains("cut_domains"))
      faults_.cut_domains = body.at("cut_domains").get<std::set<std::string>>();
    if (body.contains("roll_back_to"))
      model_.RollBack(body.at("roll_back_to").get<std::uint64_t>());
    values_changed_.notify_all();
    SendJson(responder, 200, {{"revision", model_.revision()}});
  }

  void SendStats(i_http_responder& responder) {
    std::lock_guard lock(mutex_);
    const platform_counters& counters = model_.counters();
    SendJson(responder, 200,
             {{"reads", counters.reads},
              {"writes", counters.writes},
              {"conflicts", counters.conflicts},
              {"refused", counters.refused},
              {"revision", model_.revision()}});
  }

  void HandleValue(const http_server_request& request,
                   i_http_responder& responder) {
    const std::string key = PathAfterPrefix(request.path, "/kv/");
    std::unique_lock lock(mutex_);
    if (request.method == "GET") {
      if (!model_.AdmitRead(clock_->Now()))
        return SendJson(responder, 429, json::object());
      const kv_entry entry = model_.Read(key);
      return SendEntry(responder, entry.revision == 0 ? 404 : 200, entry);
    }
    if (!model_.AdmitWrite(clock_->Now()))
      return SendJson(responder, 429, json::object());
    const std::uint64_t expected =
        std::stoull("0" + request.QueryValue("expected"));
    const kv_swap_result result =
        model_.CompareAndSwap(key, expected, request.body);
    values_changed_.notify_all();
    if (faults_.write_responses_to_drop > 0) {
      --faults_.write_responses_to_drop;
      return responder.Abort();
    }
    lock.unlock();
    if (const auto* written = std::get_if<kv_written>(&result))
      return SendEntry(responder, 200, {"", written->revision});
    SendEntry(responder, 409, std::get<kv_conflict>(result).current);
  }

  void HandleWatch(const http_server_request& request,
                   i_http_responder& responder) {
    const std::string key = PathAfterPrefix(request.path, "/watch/");
    const std::uint64_t known = std::stoull("0" + request.QueryValue("known"));
    const timestamp deadline =
        clock_->Now() +
        milliseconds(std::stoll("0" + request.QueryValue("wait_ms")));
    std::unique_lock lock(mutex_);
    if (!model_.AdmitRead(clock_->Now()))
      return SendJson(responder, 429, json::object());
    while (model_.Read(key).revision == known && !faults_.down &&
           !faults_.cut_domains.contains(request.Header("X-Domain")) &&
           clock_->Now() < deadline)
      values_changed_.wait_for(lock, deadline - clock_->Now());
    const kv_entry entry = model_.Read(key);
    const bool cut = faults_.down ||
                     faults_.cut_domains.contains(request.Header("X-Domain"));
    lock.unlock();
    if (cut)
      return responder.Abort();
    if (entry.revision == known)
      return responder.Send({204, {}, ""}, "application/json");
    SendEntry(responder, 200, entry);
  }

  void HandleLease(const http_server_request& request,
                   i_http_responder& responder) {
    const std::string name = PathAfterPrefix(request.path, "/leases/");
    std::lock_guard lock(mutex_);
    if (!model_.AdmitWrite(clock_->Now()))
      return SendJson(responder, 429, json::object());
    if (request.method == "DELETE") {
      model_.ReleaseLease(name, request.QueryValue("holder"));
      return SendJson(responder, 200, json::object());
    }
    const json body = ParseObject(request.body);
    const auto lease = model_.AcquireLease(
        name, body.value("holder", ""),
        milliseconds(body.value("validity_ms", std::int64_t{0})),
        clock_->Now());
    if (!lease)
      return SendJson(responder, 409, json::object());
    SendJson(responder, 200, {{"fencing_number", lease->fencing_number}});
  }

  void HandleInstances(const http_server_request& request,
                       i_http_responder& responder) {
    const std::string id = PathAfterPrefix(request.path, "/instances/");
    std::lock_guard lock(mutex_);
    if (request.method == "GET") {
      if (!model_.AdmitRead(clock_->Now()))
        return SendJson(responder, 429, json::object());
      json listed = json::array();
      for (const listed_instance& instance : model_.List(clock_->Now())) {
        listed.push_back({{"id", instance.id},
                          {"domain", instance.domain},
                          {"peer_address", instance.peer_address},
                          {"leaving", instance.leaving}});
      }
      return SendJson(responder, 200, {{"instances", listed}});
    }
    if (!model_.AdmitWrite(clock_->Now()))
      return SendJson(responder, 429, json::object());
    if (request.method == "DELETE") {
      model_.Withdraw(id, clock_->Now());
    } else {
      const json body = ParseObject(request.body);
      model_.Announce(
          {id, body.value("domain", ""), body.value("peer_address", ""),
           body.value("leaving", false)},
          clock_->Now());
    }
    SendJson(responder, 200, json::object());
  }

  static void SendEntry(i_http_responder& responder,
                        int status,
                        const kv_entry& entry) {
    SendJson(responder, status,
             {{"value", entry.value}, {"revision", entry.revision}});
  }

  const std::shared_ptr<const i_clock> clock_ = MakeSystemClock();
  std::mutex mutex_;
  std::condition_variable values_changed_;
  platform_model model_;
  platform_faults faults_;
};

}  // namespace
}  // namespace wist::stand_ins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  using namespace wist::stand_ins;
  platform_settings settings;
  std::int64_t list_lag_ms = 0;
  std::uint16_t port = 0;
  po::options_description options("platform stand-in");
  options.add_options()("help", "print this text")(
      "port", po::value(&port)->default_value(0),
      "port to listen on; 0 selects any free port")(
      "list-lag-ms", po::value(&list_lag_ms)->default_value(1000),
      "delay until a change appears in the instance list")(
      "writes-per-second",
      po::value(&settings.max_writes_per_second)->default_value(300),
      "writes per second above which calls are refused")(
      "reads-per-second",
      po::value(&settings.max_reads_per_second)->default_value(2000),
      "reads per second above which calls are refused");
  if (!wist::stand_ins::ParseOptions(argc, argv, options))
    return 0;
  settings.list_lag = wist::milliseconds(list_lag_ms);
  platform_server server(settings);
  return ServeUntilSignal("127.0.0.1", port,
                          [&](const auto& request, auto& responder) {
                            server.Handle(request, responder);
                          });
}
