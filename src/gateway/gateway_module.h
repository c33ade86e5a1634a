#ifndef GATEWAY_GATEWAY_MODULE_H_
#define GATEWAY_GATEWAY_MODULE_H_

#include <functional>
#include <memory>
#include <optional>

#include "follower/i_async_store.h"
#include "framework/logging/i_logger.h"
#include "framework/net/i_event_loop.h"
#include "gateway/gateway_types.h"
#include "gateway/i_dialect.h"
#include "gateway/i_gateway.h"

namespace wist {

struct gateway_dependencies {
  i_event_loop& loop;
  const i_dialect& dialect;
  i_async_store& store;
  i_buffered_logger& logger;
  std::shared_ptr<const i_clock> clock;
  // Reads the settings file again. Returns nullopt if the settings did not
  // change or can't be read.
  std::function<std::optional<gateway_settings>()> reload_settings;
};

std::unique_ptr<i_gateway> MakeGateway(
    const gateway_settings& settings,
    const gateway_dependencies& dependencies);

}  // namespace wist

#endif  // GATEWAY_GATEWAY_MODULE_H_
