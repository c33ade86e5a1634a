#include "gateway_command.h"

#include <signal.h>

#include <filesystem>
#include <optional>
#include <stdexcept>

#include "framework/base/system_clock.h"
#include "framework/logging/logging_module.h"
#include "framework/net/i_event_loop.h"
#include "framework/net/i_http_caller.h"
#include "gateway/gateway_module.h"
#include "platform/platform_module.h"

namespace wist {
namespace {

// Reads the settings file again when it has changed.
class settings_reloader {
 public:
  settings_reloader(std::string path, gateway_settings held, i_logger& logger)
      : path_(std::move(path)),
        held_(std::move(held)),
        logger_(logger),
        written_at_(WrittenAt()) {}

  std::optional<gateway_settings> Reload() {
    const auto written_at = WrittenAt();
    if (written_at == written_at_)
      return std::nullopt;
    written_at_ = written_at;
    try {
      const gateway_settings read = ReadPlatformSettings(path_).gateway;
      if (read == held_)
        return std::nullopt;
      held_ = read;
      return read;
    } catch (const std::invalid_argument& error) {
      logger_.Write(log_level::error, "settings_unreadable",
                    {{"reason", std::string(error.what())}});
      return std::nullopt;
    }
  }

 private:
  std::filesystem::file_time_type WrittenAt() const {
    std::error_code missing;
    return std::filesystem::last_write_time(path_, missing);
  }

  const std::string path_;
  gateway_settings held_;
  i_logger& logger_;
  std::filesystem::file_time_type written_at_;
};

}  // namespace

int RunGateway() {
  signal(SIGPIPE, SIG_IGN);
  const auto path = PlatformSettingsPath();
  if (!path)
    throw std::invalid_argument("no settings file is named");
  const platform_settings settings = ReadPlatformSettings(*path);
  const auto logger =
      MakeStdoutLogger(log_level::info, settings.gateway.instance);
  const std::shared_ptr<const i_clock> clock = MakeSystemClock();
  const auto loop = MakeEventLoop(clock);
  const auto caller = MakeHttpCaller(*loop, *loop);
  const auto store = MakePlatformStore(settings.store, *caller, *loop);
  const auto dialect = MakePlatformDialect();
  settings_reloader reloader(*path, settings.gateway, *logger);
  const auto gateway =
      MakeGateway(settings.gateway, {*loop, *dialect, *store, *logger, clock,
                                     [&] { return reloader.Reload(); }});
  gateway->Run();
  return 0;
}

}  // namespace wist
