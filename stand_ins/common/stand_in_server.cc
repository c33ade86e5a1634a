#include "stand_ins/common/stand_in_server.h"

#include <signal.h>

#include <cstdio>

#include "framework/http/http_module.h"

namespace wist::stand_ins {
namespace {

// Each open stream or pending watch occupies one thread.
constexpr int kMaxThreads = 1200;

}  // namespace

int ServeUntilSignal(const std::string& host,
                     std::uint16_t port,
                     http_handler handler) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  http_server_settings settings;
  settings.host = host;
  settings.port = port;
  settings.max_threads = kMaxThreads;
  settings.max_queued = kMaxThreads;
  settings.max_body_bytes = 4 << 20;
  const auto server = MakeHttpServer(settings, std::move(handler));
  std::printf("listening %u\n", static_cast<unsigned>(server->port()));
  std::fflush(stdout);
  int received = 0;
  sigwait(&signals, &received);
  // Exits at once, as if the machine lost power. Completing the open streams
  // first would hide the failure that the test causes.
  std::_Exit(0);
}

nlohmann::json ParseObject(const std::string& text) {
  nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
  return parsed.is_object() ? parsed : nlohmann::json::object();
}

void SendJson(i_http_responder& responder,
              int status,
              const nlohmann::json& body) {
  responder.Send({status, {}, body.dump()}, "application/json");
}

std::string PathAfterPrefix(const std::string& path,
                            const std::string& prefix) {
  if (path.rfind(prefix, 0) != 0)
    return {};
  return path.substr(prefix.size());
}

}  // namespace wist::stand_ins
