#include "apps/wistctl/status_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <thread>

#include "burn/burn_module.h"
#include "framework/base/system_clock.h"
#include "framework/http/http_module.h"
#include "operator_api/operator_api_module.h"

namespace wist {
namespace {

constexpr seconds kCallTimeout{3};

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');)
    items.push_back(item);
  return items;
}

// Returns the response body of `path` at an instance, or an empty string if the
// instance does not respond.
std::string Fetch(const std::string& address, const std::string& path) {
  const auto clock = MakeSystemClock();
  try {
    return MakeHttpClient(clock)
        ->Call(ParseHttpAddress(address), {.path = path},
               clock->Now() + kCallTimeout)
        .body;
  } catch (const http_error& error) {
    fmt::print(stderr, "wistctl: {}: {}\n", address, error.what());
    return {};
  }
}

burn_sample FetchSample(const std::vector<std::string>& instances,
                        const std::vector<service_spec>& services) {
  burn_sample sample;
  for (const std::string& instance : instances)
    AddMetrics(Fetch(instance, "/metrics"), services, sample);
  return sample;
}

std::vector<std::int64_t> ParseWindows(const std::string& text) {
  std::vector<std::int64_t> windows;
  for (const std::string& item : SplitList(text)) {
    const std::int64_t window = std::atoll(item.c_str());
    if (window < 1)
      throw usage_error(
          "--windows must be a list of positive seconds, such as 5,60");
    windows.push_back(window);
  }
  std::sort(windows.begin(), windows.end());
  return windows;
}

}  // namespace

int RunStatus(const control_command& command) {
  if (command.arguments.empty())
    throw usage_error("status needs at least one instance address");
  bool all_responded = true;
  for (const std::string& address : command.arguments) {
    const std::string status = Fetch(address, "/status");
    all_responded &= !status.empty();
    fmt::print("{} {}\n", address, status.empty() ? "no response" : status);
  }
  return all_responded ? 0 : 1;
}

int RunBurn(const control_command& command) {
  const std::vector<std::string> instances = SplitList(command.instances);
  if (instances.empty() || command.platform.empty())
    throw usage_error("burn needs --instances and --platform");
  const auto clock = MakeSystemClock();
  const auto services =
      ConnectOperatorClient(ParseHttpAddress(command.platform))
          ->Show(clock->Now() + kCallTimeout)
          .body.services;
  const burn_sample before = FetchSample(instances, services);
  const timestamp started_at = clock->Now();
  std::vector<burn_row> rows;
  for (const std::int64_t window : ParseWindows(command.windows)) {
    std::this_thread::sleep_for(started_at + seconds(window) - clock->Now());
    const auto window_rows =
        BurnRows(before, FetchSample(instances, services), services, window);
    rows.insert(rows.end(), window_rows.begin(), window_rows.end());
  }
  if (command.format == "json")
    fmt::print("{}\n", BurnJson(rows));
  else if (command.format == "html")
    fmt::print("{}", BurnHtml(rows));
  else
    fmt::print("{}", BurnTable(rows));
  return 0;
}

}  // namespace wist
