#include <fmt/format.h>
#include <malloc.h>
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <string_view>
#include <thread>

#include "claims/claims_module.h"
#include "entry/entry_module.h"
#include "framework/base/system_clock.h"
#include "framework/http/http_module.h"
#include "framework/http/invalid_response_log.h"
#include "framework/keys/keys_module.h"
#include "framework/logging/logging_module.h"
#include "gateway_command.h"
#include "limits/body_budget.h"
#include "metrics/metrics_module.h"
#include "node/node_module.h"
#include "settings/settings_module.h"
#include "store/store_module.h"

namespace wist {
namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitFailed = 1;
constexpr milliseconds kStopPollInterval{20};

// Threads on top of max_streams, which keep health checks and status responsive
// while all streams are in use.
constexpr int kExtraThreads = 8;

// Blocks of this size and above are returned to the system when they are freed.
// Without the setting the threshold grows with the largest block that was
// freed, and the memory of many bodies would stay with the allocator.
constexpr int kReturnedBlockBytes = 256 * 1024;

std::string AddressText(const http_address& address) {
  return fmt::format("{}:{}", address.host, address.port);
}

node_settings ToNodeSettings(const entry_settings& settings) {
  node_settings node;
  node.instance = instance_id(settings.instance);
  node.domain = domain_id(settings.domain);
  node.peer_address = AddressText(settings.peer_listen);
  for (const http_address& peer : settings.seed_peers)
    node.seed_peers.push_back(AddressText(peer));
  node.poll_interval = settings.poll_interval;
  return node;
}

http_server_settings ToServerSettings(const entry_settings& settings,
                                      std::shared_ptr<const i_clock> clock) {
  http_server_settings server;
  server.host = settings.listen.host;
  server.port = settings.listen.port;
  server.max_threads = settings.max_streams + kExtraThreads;
  server.max_queued = settings.max_streams;
  server.max_body_bytes = settings.max_body_bytes;
  server.body_budget =
      MakeBodyBudget(settings.caller_memory_bytes, std::move(clock));
  return server;
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

// Waits until the requests in flight have finished or the stop limit has
// passed. A second signal ends the process at once.
void ShutDownGracefully(const entry_settings& settings,
                        const i_clock& clock,
                        i_logger& logger,
                        i_node& node,
                        i_entry_service& entry) {
  logger.Write(log_level::info, "stopping", {});
  std::thread([signals = StopSignals()] {
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(kExitFailed);
  }).detach();
  const timestamp stop_deadline = clock.Now() + settings.stop_limit;
  entry.StopAcceptingRequests();
  node.LeaveCluster();
  while (entry.InFlight() > 0 && clock.Now() < stop_deadline)
    std::this_thread::sleep_for(kStopPollInterval);
  logger.Write(log_level::info, "stopped",
               {{"cut", static_cast<std::int64_t>(entry.InFlight())}});
}

int Serve(const entry_settings& settings) {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);

  const auto clock = MakeSystemClock();
  const auto logger =
      MakeStderrLogger(settings.min_log_level, settings.instance);
  const std::shared_ptr<i_metrics> metrics = MakePrometheusMetrics();
  invalid_response_log invalid_responses(*logger, [&](const std::string& rule) {
    metrics->OnInvalidResponse(rule);
  });
  const auto http =
      MakeHttpClient(clock, [&](const invalid_response& response) {
        invalid_responses.Report(response, clock->Now());
      });
  const auto keys = MakeKeyring(settings.keys);
  const std::shared_ptr<i_kv_store> store =
      MakeHttpKvStore(http, clock, settings.platform, settings.domain);
  const std::shared_ptr<i_claim_registry> claims =
      MakeClaimRegistry(store, clock, {});
  const std::shared_ptr<i_node> node =
      MakeNode(ToNodeSettings(settings),
               {clock, http, store, claims,
                MakeHttpInstanceList(http, settings.platform, settings.domain),
                keys, logger});
  const auto entry =
      MakeEntryService({settings.instance, settings.domain,
                        settings.start_limit, settings.test_hooks},
                       {clock, http, keys, logger, metrics, claims, node});
  const auto server = MakeHttpServer(
      ToServerSettings(settings, clock),
      [&](const http_server_request& request, i_http_responder& responder) {
        entry->Handle(request, responder);
      });
  logger->Write(log_level::info, "serving",
                {{"listen", AddressText(settings.listen)}});

  int received = 0;
  sigwait(&signals, &received);
  ShutDownGracefully(settings, *clock, *logger, *node, *entry);
  // NOTE: The process exits without joining its threads. Requests that are
  // still in flight at the stop deadline are cut. Joining their threads would
  // let them finish after the "stopped" event has counted them as cut.
  std::_Exit(0);
}

void PrintSettings(const entry_command& command) {
  for (const effective_setting& setting : command.effective_settings)
    fmt::print("{} = {} ({})\n", setting.name, setting.value, setting.source);
}

int Run(const entry_command& command) {
  switch (command.action) {
    case entry_action::help:
      fmt::print("{}", EntryHelp());
      return 0;
    case entry_action::version:
      fmt::print("wisteriatally {}\n", WIST_VERSION);
      return 0;
    case entry_action::print_settings:
      PrintSettings(command);
      return 0;
    case entry_action::serve:
      return Serve(command.settings);
  }
  return kExitFailed;
}

}  // namespace
}  // namespace wist

int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, wist::kReturnedBlockBytes);
  try {
    if (argc == 2 && std::string_view(argv[1]) == "gateway")
      return wist::RunGateway();
    return wist::Run(wist::ReadEntryCommand({argv + 1, argv + argc}));
  } catch (const wist::settings_error& error) {
    for (const std::string& message : error.errors())
      fmt::print(stderr, "wisteriatally: {}\n", message);
    return wist::kExitBadSettings;
  } catch (const std::exception& error) {
    fmt::print(stderr, "wisteriatally: {}\n", error.what());
    return wist::kExitFailed;
  }
}
