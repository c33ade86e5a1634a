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

  void TakeConfiguration(const std::string& value);
  void SetEvacuated(const std::set<domain_id>& domains);
  void PutTarget(const std::string& key, const std::string& value);
  void LogLost(const std::string& prefix, store_fault fault);
  void LogRegained(const std::string& prefix);

  const i_dialect& dialect_;
  gateway_services& services_;
  std::vector<std::function<void()>> configuration_handlers_;
  timestamp asked_at_;
  operator_listener operator_;
  target_listener targets_;
  prefix_follower operator_follower_;
  prefix_follower target_follower_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_STORE_VIEW_H_
