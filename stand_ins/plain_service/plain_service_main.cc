#include <boost/program_options.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "stand_ins/common/option_parsing.h"
#include "stand_ins/common/stand_in_server.h"

namespace wist::stand_ins {
namespace {

using json = nlohmann::json;

// Plain service that counts how often it ran the call of each idempotency key.
class plain_service_server {
 public:
  void Handle(const http_server_request& request, i_http_responder& responder) {
    if (request.path == "/faults")
      return SetFaults(request, responder);
    if (request.path == "/stats")
      return SendStats(responder);
    if (request.path == "/call")
      return HandleCall(request, responder);
    SendJson(responder, 404, json::object());
  }

 private:
  void HandleCall(const http_server_request& request,
                  i_http_responder& responder) {
    milliseconds delay{0};
    bool drop_response = false;
    int run_number = 0;
    {
      std::lock_guard lock(mutex_);
      if (refuse_)
        return SendJson(responder, 503, {{"error", "refused"}});
      run_number = ++runs_by_key_[request.Header("Idempotency-Key")];
      delay = delay_;
      drop_response = responses_to_drop_ > 0;
      if (drop_response)
        --responses_to_drop_;
    }
    std::this_thread::sleep_for(delay);
    if (drop_response)
      return responder.Abort();
    SendJson(responder, 200,
             {{"confirmed", true},
              {"run", run_number},
              {"key", request.Header("Idempotency-Key")}});
  }

  void SetFaults(const http_server_request& request,
                 i_http_responder& responder) {
    const json body = ParseObject(request.body);
    std::lock_guard lock(mutex_);
    refuse_ = body.value("refuse", refuse_);
    delay_ = milliseconds(body.value("delay_ms", delay_.count()));
    responses_to_drop_ = body.value("lose_answers", responses_to_drop_);
    SendJson(responder, 200, json::object());
  }

  void SendStats(i_http_responder& responder) {
    std::lock_guard lock(mutex_);
    int max_runs = 0;
    for (const auto& [key, runs] : runs_by_key_)
      max_runs = std::max(max_runs, runs);
    SendJson(responder, 200,
             {{"keys", runs_by_key_.size()},
              {"most_runs", max_runs},
              {"runs", runs_by_key_}});
  }

  std::mutex mutex_;
  std::map<std::string, int> runs_by_key_;
  bool refuse_ = false;
  milliseconds delay_{0};
  int responses_to_drop_ = 0;
};

}  // namespace
}  // namespace wist::stand_ins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::uint16_t port = 0;
  po::options_description options("plain service stand-in");
  options.add_options()("help", "print this text")(
      "port", po::value(&port)->default_value(0),
      "port to listen on; 0 selects any free port");
  if (!wist::stand_ins::ParseOptions(argc, argv, options))
    return 0;
  wist::stand_ins::plain_service_server server;
  return wist::stand_ins::ServeUntilSignal(
      "127.0.0.1", port, [&](const auto& request, auto& responder) {
        server.Handle(request, responder);
      });
}
