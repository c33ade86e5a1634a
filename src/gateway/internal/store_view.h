#ifndef GATEWAY_INTERNAL_STORE_VIEW_H_
#define GATEWAY_INTERNAL_STORE_VIEW_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "follower/prefix_follower.h"
#include "gateway/gateway_module.h"
#include "gateway/internal/gateway_services.h"

namespace wist {

// Brings what the store holds into the configuration belief and the directory.
class store_view {
 public:
  store_view(const gateway_settings& settings,
             const gateway_parts& parts,
             gateway_services& services,
             std::uint32_t seed);

  void SubscribeToConfiguration(std::function<void()> handler);
  void Start();

  // `handler` gets the addresses of all instances that announced themselves.
  void SubscribeToInstances(
      std::function<void(const std::vector<http_address>&)> handler);

  // Whether the list of targets was read at least once.
  bool HasTargets() const { return targets_.has_snapshot; }

 private:
  // The operators' keys: configuration and evacuated domains.
  struct operator_listener final : i_prefix_listener {
    explicit operator_listener(store_view& owner) : view(owner) {}
    void OnSnapshot(const std::map<std::string, std::string>& items,
                    bool after_outage) override;
    void OnChange(const store_change& change, bool after_outage) override;
    void OnConfirmed(timestamp confirmed_at) override;
    void OnLost(store_fault fault) override;
    void OnRegained() override;

    store_view& view;
    std::set<domain_id> evacuated;
  };

  // The targets' own entries.
  struct target_listener final : i_prefix_listener {
    explicit target_listener(store_view& owner) : view(owner) {}
    void OnSnapshot(const std::map<std::string, std::string>& items,
                    bool after_outage) override;
    void OnChange(const store_change& change, bool after_outage) override;
    void OnConfirmed(timestamp) override {}
    void OnLost(store_fault fault) override;
    void OnRegained() override;

    store_view& view;
    bool has_snapshot = false;
  };

  // The instances' own entries.
  struct instance_listener final : i_prefix_listener {
    explicit instance_listener(store_view& owner) : view(owner) {}
    void OnSnapshot(const std::map<std::string, std::string>& items,
                    bool after_outage) override;
    void OnChange(const store_change& change, bool after_outage) override;
    void OnConfirmed(timestamp) override {}
    void OnLost(store_fault) override {}
    void OnRegained() override {}
    void Tell() const;

    store_view& view;
    std::map<std::string, std::string> addresses;
  };

  void Announce();
  void TakeConfiguration(const std::string& value);
  void SetEvacuated(const std::set<domain_id>& domains);
  void PutTarget(const std::string& key, const std::string& value);
  void LogLost(const std::string& prefix, store_fault fault);
  void LogRegained(const std::string& prefix);

  const gateway_settings& settings_;
  i_async_store& store_;
  const i_dialect& dialect_;
  gateway_services& services_;
  std::vector<std::function<void()>> configuration_handlers_;
  operator_listener operator_;
  target_listener targets_;
  instance_listener instances_;
  prefix_follower operator_follower_;
  prefix_follower target_follower_;
  prefix_follower instance_follower_;
  std::function<void(const std::vector<http_address>&)> instances_handler_;
  std::unique_ptr<i_timer> announce_timer_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_STORE_VIEW_H_
