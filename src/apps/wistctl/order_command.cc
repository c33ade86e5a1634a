#include "apps/wistctl/order_command.h"

#include <fmt/format.h>

#include <thread>

#include "framework/base/hashing.h"
#include "framework/base/system_clock.h"
#include "framework/http/http_module.h"
#include "operator_api/operator_api_module.h"
#include "orders/orders_module.h"
#include "store/store_module.h"

namespace wist {
namespace {

constexpr seconds kOrderTimeout{20};
constexpr std::size_t kIssuerIdBytes = 8;

const std::string& RequireArgument(const control_command& command,
                                   std::size_t index) {
  if (command.arguments.size() <= index)
    throw usage_error(
        "order takes TARGET load-model MODEL VERSION | load-adapter ADAPTER "
        "| change-role ROLE");
  return command.arguments[index];
}

engine_order ParseOrder(const control_command& command) {
  const std::string& kind = RequireArgument(command, 1);
  if (kind == "load-model")
    return load_model_order{RequireArgument(command, 2),
                            RequireArgument(command, 3)};
  if (kind == "load-adapter")
    return load_adapter_order{RequireArgument(command, 2)};
  if (kind == "change-role")
    return change_role_order{RequireArgument(command, 2)};
  throw usage_error("unknown order '" + kind + "'");
}

target_spec FindTarget(const configuration_body& body, const std::string& id) {
  for (const target_spec& target : body.targets) {
    if (target.id.text() == id && target.kind == service_kind::generation)
      return target;
  }
  throw usage_error("unknown engine '" + id + "'");
}

int PrintResult(const order_result& result) {
  struct visitor {
    std::string operator()(const order_accepted&) const { return "taken"; }
    std::string operator()(const order_lease_unavailable&) const {
      return "not sent: another issuer holds the target's lease";
    }
    std::string operator()(const order_superseded&) const {
      return "refused: superseded by a newer issuer";
    }
    std::string operator()(const order_not_sent& order) const {
      return "not sent: " + order.reason;
    }
    std::string operator()(const order_in_doubt& order) const {
      return "in doubt: " + order.reason;
    }
  };
  fmt::print("{}\n", std::visit(visitor{}, result));
  return std::holds_alternative<order_accepted>(result) ? 0 : 1;
}

}  // namespace

int RunOrder(const control_command& command) {
  if (command.platform.empty())
    throw usage_error("--platform is missing");
  const engine_order order = ParseOrder(command);
  const http_address platform = ParseHttpAddress(command.platform);
  const auto clock = MakeSystemClock();
  const timestamp deadline = clock->Now() + kOrderTimeout;
  const target_spec target =
      FindTarget(ConnectOperatorClient(platform)->Show(deadline).body,
                 RequireArgument(command, 0));
  const auto http = MakeHttpClient(clock);
  const auto issuer = MakeOrderIssuer(
      RandomHex(kIssuerIdBytes),
      {MakeHttpKvStore(http, clock, platform, "operators"), http, clock,
       [&](timestamp at) { std::this_thread::sleep_for(at - clock->Now()); }});
  return PrintResult(issuer->Issue(target, order, deadline));
}

}  // namespace wist
