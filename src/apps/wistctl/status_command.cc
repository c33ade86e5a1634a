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

constexpr seconds kCallLimit{3};

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');)
    parts.push_back(part);
  return parts;
}

// Returns the body of `path` at an instance; empty if it does not answer.
std::string Fetch(const std::string& address, const std::string& path) {
  const auto clock = MakeSystemClock();
  try {
    return MakeHttpClient(clock)
        ->Call(ParseHttpAddress(address), {.path = path},
               clock->Now() + kCallLimit)
        .body;
  } catch (const http_error& error) {
    fmt::print(stderr, "wistctl: {}: {}\n", address, error.what());
    return {};
  }
}

burn_sample TakeSample(const std::vector<std::string>& instances,
                       const std::vector<service_spec>& services) {
  burn_sample sample;
  for (const std::string& instance : instances)
    AddMetrics(Fetch(instance, "/metrics"), services, sample);
  return sample;
}

std::vector<std::int64_t> ParseWindows(const std::string& text) {
  std::vector<std::int64_t> windows;
  for (const std::string& part : SplitList(text)) {
    const std::int64_t window = std::atoll(part.c_str());
    if (window < 1)
      throw usage_error("--windows takes seconds, for instance 5,60");
    windows.push_back(window);
  }
  std::sort(windows.begin(), windows.end());
  return windows;
}

}  // namespace

int RunStatus(const control_command& command) {
  if (command.arguments.empty())
    throw usage_error("status needs addresses of instances");
  bool all_answered = true;
  for (const std::string& address : command.arguments) {
    const std::string status = Fetch(address, "/status");
    all_answered &= !status.empty();
    fmt::print("{} {}\n", address, status.empty() ? "no answer" : status);
  }
  return all_answered ? 0 : 1;
}

int RunBurn(const control_command& command) {
  const std::vector<std::string> instances = SplitList(command.instances);
  if (instances.empty() || command.platform.empty())
    throw usage_error("burn needs --instances and --platform");
  const auto clock = MakeSystemClock();
  const auto services =
      ConnectOperatorClient(ParseHttpAddress(command.platform))
          ->Show(clock->Now() + kCallLimit)
          .body.services;
  const burn_sample before = TakeSample(instances, services);
  const timestamp begun_at = clock->Now();
  std::vector<burn_row> rows;
  for (const std::int64_t window : ParseWindows(command.windows)) {
    std::this_thread::sleep_for(begun_at + seconds(window) - clock->Now());
    const auto more =
        BurnRows(before, TakeSample(instances, services), services, window);
    rows.insert(rows.end(), more.begin(), more.end());
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
