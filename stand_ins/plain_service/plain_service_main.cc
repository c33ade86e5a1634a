#include <boost/program_options.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "stand_ins/common/option_parsing.h"
#include "stand_ins/common/stand_in_server.h"

namespace wist::stand_ins {
namespace {

using json = nlohmann::json;

// A booking desk: counts the runs of each idempotency key.
class plain_service_server {
 public:
  void Handle(const http_server_request& request, i_http_responder& responder) {
    if (request.path == "/faults")
      return SetFaults(request, responder);
    if (request.path == "/stats")
      return SendStats(responder);
    if (request.path == "/call")
      return Run(request, responder);
    SendJson(responder, 404, json::object());
  }

 private:
  void Run(const http_server_request& request, i_http_responder& responder) {
    milliseconds delay{0};
    bool lose_answer = false;
    int run = 0;
    {
      std::lock_guard lock(mutex_);
      if (refuse_)
        return SendJson(responder, 503, {{"error", "refused"}});
      run = ++runs_[request.Header("Idempotency-Key")];
      delay = delay_;
      lose_answer = lose_answers_ > 0;
      if (lose_answer)
        --lose_answers_;
    }
    std::this_thread::sleep_for(delay);
    if (lose_answer)
      return responder.Abort();
    SendJson(responder, 200,
             {{"confirmed", true},
              {"run", run},
              {"key", request.Header("Idempotency-Key")}});
  }

  void SetFaults(const http_server_request& request,
                 i_http_responder& responder) {
    const json body = ParseObject(request.body);
    std::lock_guard lock(mutex_);
    refuse_ = body.value("refuse", refuse_);
    delay_ = milliseconds(body.value("delay_ms", delay_.count()));
    lose_answers_ = body.value("lose_answers", lose_answers_);
    SendJson(responder, 200, json::object());
  }

  void SendStats(i_http_responder& responder) {
    std::lock_guard lock(mutex_);
    int most = 0;
    for (const auto& [key, runs] : runs_)
      most = std::max(most, runs);
    SendJson(responder, 200,
             {{"keys", runs_.size()}, {"most_runs", most}, {"runs", runs_}});
  }

  std::mutex mutex_;
  std::map<std::string, int> runs_;
  bool refuse_ = false;
  milliseconds delay_{0};
  int lose_answers_ = 0;
};

}  // namespace
}  // namespace wist::stand_ins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::uint16_t port = 0;
  po::options_description options("plain service stand-in");
  options.add_options()("help", "print this text")(
      "port", po::value(&port)->default_value(0), "port, 0 for any");
  if (!wist::stand_ins::ParseOptions(argc, argv, options))
    return 0;
  wist::stand_ins::plain_service_server server;
  return wist::stand_ins::ServeUntilSignal(
      "127.0.0.1", port, [&](const auto& request, auto& responder) {
        server.Handle(request, responder);
      });
}
