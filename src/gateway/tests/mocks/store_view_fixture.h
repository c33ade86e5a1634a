#ifndef GATEWAY_TESTS_MOCKS_STORE_VIEW_FIXTURE_H_
#define GATEWAY_TESTS_MOCKS_STORE_VIEW_FIXTURE_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "framework/net/tests/mocks/virtual_scheduler.h"
#include "gateway/internal/store_view.h"
#include "gateway/tests/mocks/plain_dialect.h"
#include "gateway/tests/mocks/recorded_logger.h"

namespace wist {

// Decodes plain values: a configuration is its version, a target its failure
// domain.
class text_dialect final : public plain_dialect {
 public:
  bool IsConfigurationKey(const std::string& key) const override {
    return key == "operator/configuration";
  }
  std::optional<domain_id> EvacuatedDomain(
      const std::string& key) const override {
    if (!key.starts_with("operator/out/"))
      return std::nullopt;
    return domain_id(key.substr(13));
  }
  routing_configuration DecodeConfiguration(
      const std::string& value) const override {
    routing_configuration configuration;
    configuration.version = std::stoll(value);
    return configuration;
  }
  std::optional<target_entry> DecodeTarget(
      const std::string& key,
      const std::string& value) const override {
    if (value == "unreadable")
      return std::nullopt;
    target_entry entry;
    entry.id = TargetIdFromKey(key);
    entry.service = service_id("s");
    entry.domain = domain_id(value);
    entry.sequence = 1;
    return entry;
  }
  target_id TargetIdFromKey(const std::string& key) const override {
    return target_id(key.substr(8));
  }
};

// Keeps the calls until the test answers them.
class scripted_store final : public i_async_store {
 public:
  void ReadRange(const std::string&,
                 const std::string&,
                 std::function<void(range_result)> done) override {
    range_done = std::move(done);
  }
  void Watch(const std::string&,
             store_revision,
             milliseconds,
             std::function<void(watch_result)> done) override {
    watch_done = std::move(done);
  }
  void ReadRecent(const std::string&,
                  std::function<void(range_result)> done) override {
    done(range_page{announced, false, 1});
  }
  void CreateLease(
      milliseconds,
      std::function<void(std::optional<store_lease>)> done) override {
    done(5);
  }
  void RenewLease(store_lease,
                  std::function<void(lease_renewal)> done) override {
    done(lease_renewal::renewed);
  }
  void PutUnderLease(const std::string& key,
                     const std::string&,
                     store_lease,
                     std::function<void(bool)> done) override {
    puts.push_back(key);
    put_done = std::move(done);
  }
  void PutIfUnchanged(const std::string&,
                      store_revision,
                      const std::string&,
                      store_lease,
                      std::function<void(put_result)>) override {}
  void PutDurably(const std::vector<key_condition>&,
                  const std::string&,
                  const std::string&,
                  std::function<void(put_result)>) override {}

  std::function<void(range_result)> range_done;
  std::function<void(watch_result)> watch_done;
  std::vector<store_change> announced;
  std::vector<std::string> puts;
  std::function<void(bool)> put_done;
};

// A view of a scripted store on a virtual clock.
struct store_view_fixture {
  store_view_fixture() { view.Start(); }

  static gateway_settings Settings() {
    gateway_settings settings;
    settings.instance = "self";
    settings.domain = domain_id("d");
    settings.peer_listen = {"10.0.0.1", 7200};
    return settings;
  }

  void DeliverSnapshot(const std::vector<store_change>& items,
                       store_revision revision = 10) {
    std::exchange(store.range_done,
                  nullptr)(range_page{items, false, revision});
  }

  void DeliverChange(const store_change& change) { DeliverChanges({change}); }

  void DeliverChanges(const std::vector<store_change>& changes) {
    std::exchange(store.watch_done,
                  nullptr)(watch_page{changes, changes.back().revision});
    scheduler.Advance(milliseconds(50));
  }

  // The store has lost its history, and all entries are read again.
  void LoseHistory() {
    std::exchange(store.watch_done, nullptr)(store_error::history_gone);
    scheduler.Advance(milliseconds(1));
  }

  void FailWatch() {
    std::exchange(store.watch_done, nullptr)(store_error::unavailable);
    scheduler.Advance(milliseconds(150));
  }

  bool AcceptsWork(const std::string& id) {
    const known_target* target = directory.Find(target_id(id));
    return target && directory.AcceptsNewWork(*target);
  }

  virtual_scheduler scheduler;
  scripted_store store;
  text_dialect dialect;
  gateway_settings settings = Settings();
  gateway_metrics metrics;
  recorded_logger logger;
  configuration_tracker latest_configuration;
  target_directory directory;
  target_selector selector{{domain_id("d")}, directory, 1};
  struct unused_caller final : i_http_caller {
    std::shared_ptr<i_http_call> Call(const http_address&,
                                      std::string,
                                      const call_options&,
                                      call_callbacks) override {
      return nullptr;
    }
    void CloseIdleChannels(const http_address&) override {}
  } caller;
  gateway_services services{
      settings,  scheduler, caller, dialect, latest_configuration,
      directory, selector,  logger, metrics, [] {}};
  store_view view{settings, dialect, store, store, services, 1};
};

}  // namespace wist

#endif  // GATEWAY_TESTS_MOCKS_STORE_VIEW_FIXTURE_H_
