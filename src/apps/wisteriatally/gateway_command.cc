#include "gateway_command.h"

#include <signal.h>

#include <stdexcept>

#include "framework/base/system_clock.h"
#include "framework/logging/logging_module.h"
#include "framework/net/i_event_loop.h"
#include "framework/net/i_http_caller.h"
#include "gateway/gateway_module.h"
#include "platform/platform_module.h"

namespace wist {
namespace {

// Blocks the signals that the gateway handles until it has added its handlers.
// Until then their default effect would end the process.
void BlockHandledSignals() {
  sigset_t handled;
  sigemptyset(&handled);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT})
    sigaddset(&handled, signal);
  pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}

}  // namespace

int RunGateway() {
  signal(SIGPIPE, SIG_IGN);
  BlockHandledSignals();
  const auto path = PlatformSettingsPath();
  if (!path)
    throw std::invalid_argument("no platform settings file is configured");
  const platform_settings settings = ReadPlatformSettings(*path);
  const auto logger =
      MakeStdoutLogger(log_level::info, settings.gateway.instance);
  const std::shared_ptr<const i_clock> clock = MakeSystemClock();
  const auto loop = MakeEventLoop(clock);
  std::unique_ptr<i_gateway> gateway;
  const auto on_invalid_response = [&](const invalid_response& response) {
    if (gateway)
      gateway->OnInvalidResponse(response);
  };
  const auto caller = MakeHttpCaller(*loop, *loop, on_invalid_response);
  const auto store =
      MakePlatformStore(settings.store, *caller, *loop, on_invalid_response);
  const auto dialect = MakePlatformDialect();
  platform_settings_watcher watcher(*path, settings, *logger);
  gateway = MakeGateway(settings.gateway,
                        {*loop, *dialect, *store, *logger, clock,
                         [&] { return watcher.ReloadIfChanged(); }});
  gateway->Run();
  return 0;
}

}  // namespace wist
