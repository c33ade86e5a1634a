#include <signal.h>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "framework/base/system_clock.h"
#include "framework/http/http_codec.h"
#include "framework/net/i_event_loop.h"
#include "framework/net/short_request_server.h"
#include "stand_ins/common/hex.h"
#include "stand_ins/common/option_parsing.h"

// A service that sends bytes as they are, also those that are no response, and
// closes the connection. POST /responses sets them in hexadecimal:
// {"default":BYTES,"PATH":BYTES}. GET /requests counts the requests by path.
namespace wist::stand_ins {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxConnections = 500;

class raw_service {
 public:
  void Handle(const std::shared_ptr<i_channel>& channel,
              const http_request_message& request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/responses") {
      responses_ = json::parse(request.body);
      return Send(channel, EncodeHttpResponse(200, {}, ""));
    }
    if (path == "/requests")
      return Send(channel, EncodeHttpResponse(200, {}, counts_.dump()));
    counts_[path] = counts_.value(path, 0) + 1;
    Send(channel, DecodeHex(responses_.value(
                      path, responses_.value("default", std::string()))));
  }

 private:
  static void Send(const std::shared_ptr<i_channel>& channel,
                   const std::string& bytes) {
    channel->Write(bytes);
    channel->Close();
  }

  json responses_ = json::object();
  json counts_ = json::object();
};

}  // namespace
}  // namespace wist::stand_ins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::uint16_t port = 0;
  po::options_description options("raw service stand-in");
  options.add_options()("help", "print this text")(
      "port", po::value(&port)->required(), "port to listen on");
  if (!wist::stand_ins::ParseOptions(argc, argv, options))
    return 0;
  signal(SIGPIPE, SIG_IGN);
  const auto loop = wist::MakeEventLoop(wist::MakeSystemClock());
  wist::stand_ins::raw_service service;
  wist::short_request_server server(
      wist::stand_ins::kMaxConnections,
      [&](const auto& channel, const auto& request) {
        service.Handle(channel, request);
      });
  loop->Listen({"127.0.0.1", port},
               [&](const auto& channel) { server.Accept(channel); });
  loop->AddSignalHandler(SIGTERM, [&] { loop->Stop(); });
  loop->Run();
  return 0;
}
