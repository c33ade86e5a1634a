#ifndef GATEWAY_TESTS_MOCKS_EXCHANGE_FIXTURE_H_
#define GATEWAY_TESTS_MOCKS_EXCHANGE_FIXTURE_H_

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "framework/net/tests/mocks/scripted_connector.h"
#include "framework/net/tests/mocks/virtual_scheduler.h"
#include "gateway/internal/caller_connection.h"
#include "gateway/tests/mocks/plain_dialect.h"
#include "gateway/tests/mocks/recorded_logger.h"

namespace wist {

// A caller's connection to a gateway with scripted targets and a virtual clock.
// The host name of each target equals its id: p1 and p2 are plain targets; e1,
// e2 and e3 are engines.
struct exchange_fixture {
  exchange_fixture() {
    settings.domain = domain_id("d");
    routing_configuration configuration;
    configuration.version = 4;
    configuration.routes = {Route("/once/", call_kind::non_idempotent, "desk"),
                            Route("/again/", call_kind::idempotent, "desk"),
                            Route("/stream/", call_kind::streaming, "engines"),
                            Route("/open/", call_kind::non_idempotent, "desk"),
                            Route("/resume/", call_kind::streaming, "engines")};
    configuration.routes[1].max_attempts = 2;
    configuration.routes[3].requires_api_key = false;
    configuration.routes[4].may_resume_stream = true;
    configuration.routes[4].max_attempts = 2;
    routed_service engines;
    engines.id = service_id("engines");
    engines.engine = engine_spec{8, 10'000, true, true, 4};
    routed_service desk;
    desk.id = service_id("desk");
    configuration.services = {engines, desk};
    configuration.workspaces = {{workspace_id("w"), {"k"}, std::nullopt}};
    latest_configuration.UpdateIfNewer(configuration, scheduler.Now());
    selector.ApplyConfiguration(latest_configuration.table());
    for (const char* name : {"p1", "p2"})
      AddTarget(name, "desk");
    for (const char* name : {"e1", "e2", "e3"})
      AddTarget(name, "engines");
    directory.SubscribeToDepartures([this](const known_target& target) {
      connection->OnTargetLeaving(target.entry.id);
    });
    services.on_invalid_response = [this](const invalid_response& response) {
      invalid_responses.push_back(response);
    };
    connection = std::make_shared<caller_connection>(services, caller_channel,
                                                     [](caller_connection*) {});
    connection->Start();
  }

  static route_spec Route(const std::string& prefix,
                          call_kind kind,
                          const std::string& service) {
    route_spec route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    route.kind = kind;
    route.services = {{service_id(service), 1}};
    route.timeout = milliseconds(5000);
    route.first_byte_objective = milliseconds(400);
    return route;
  }

  void AddTarget(const std::string& name,
                 const std::string& service,
                 const std::string& domain = "d") {
    target_entry entry;
    entry.id = target_id(name);
    entry.service = service_id(service);
    entry.address = {name, 80};
    entry.domain = domain_id(domain);
    entry.slots = 8;
    entry.sequence = 1;
    directory.Upsert(entry, scheduler.Now());
  }

  // Sends a request with id "r" from the caller.
  void SendRequest(const std::string& path, const std::string& headers = "") {
    caller_channel->Receive("POST " + path +
                            " HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n" +
                            headers + "Content-Length: 2\r\n\r\nhi");
  }

  void SendStreamRequest() { SendRequest("/stream/x", "Tokens: 1000\r\n"); }

  // Sends a streaming request with a high estimate of its output length.
  void SendLongStreamRequest() {
    SendRequest("/stream/x", "Tokens: 1000\r\nLong: 1\r\n");
  }

  // The latest connection to a target.
  scripted_channel& target_channel() { return *connector.channels.back(); }
  scripted_channel& target_channel(std::size_t index) {
    return *connector.channels.at(index);
  }
  std::string TargetName(std::size_t index) const {
    return connector.addresses.at(index).host;
  }

  static std::string Response(const std::string& status,
                              const std::string& body,
                              const std::string& headers = "Signed: 1\r\n") {
    return "HTTP/1.1 " + status + "\r\nId: r\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  static std::string StreamHead() {
    return "HTTP/1.1 200 OK\r\nId: r\r\nSigned: 1\r\nEvents: 1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  static std::string Event(int id) {
    return EncodeChunk("id: " + std::to_string(id) + "\ndata: x\n\n");
  }

  // The latest call requests the stop of a run. The target ends the run's
  // connection, if it is open still, and responds that it has no such run.
  void ConfirmStop() {
    const auto stop = connector.channels.back();
    REQUIRE(stop->written.starts_with("POST /stop/"));
    const std::string source = connector.addresses.back().host;
    for (std::size_t i = connector.channels.size(); i-- > 0;) {
      if (connector.addresses[i].host != source ||
          !connector.channels[i]->written.starts_with("POST /stream/"))
        continue;
      connector.channels[i]->End(channel_end::closed);
      break;
    }
    stop->Receive(Response("404 Not Found", ""));
  }

  const std::string& response() const { return caller_channel->written; }
  bool ResponseContains(const std::string& part) const {
    return response().find(part) != std::string::npos;
  }

  // How often the caller was sent `part`.
  std::size_t Occurrences(const std::string& part) const {
    std::size_t count = 0;
    for (std::size_t at = response().find(part); at != std::string::npos;
         at = response().find(part, at + part.size()))
      ++count;
    return count;
  }

  virtual_scheduler scheduler;
  scripted_connector connector;
  gateway_settings settings;
  plain_dialect dialect;
  gateway_metrics metrics;
  recorded_logger logger;
  std::vector<invalid_response> invalid_responses;
  std::unique_ptr<i_http_caller> caller =
      MakeHttpCaller(connector,
                     scheduler,
                     [this](const invalid_response& response) {
                       invalid_responses.push_back(response);
                     });
  configuration_tracker latest_configuration;
  target_directory directory;
  target_selector selector{{domain_id("d")}, directory, 1};
  gateway_services services{
      settings,  scheduler, *caller, dialect, latest_configuration,
      directory, selector,  logger,  metrics, [] {}};
  std::shared_ptr<scripted_channel> caller_channel =
      std::make_shared<scripted_channel>();
  std::shared_ptr<caller_connection> connection;
};

}  // namespace wist

#endif  // GATEWAY_TESTS_MOCKS_EXCHANGE_FIXTURE_H_
