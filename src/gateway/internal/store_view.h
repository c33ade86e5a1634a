#ifndef GATEWAY_INTERNAL_STORE_VIEW_H_
#define GATEWAY_INTERNAL_STORE_VIEW_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "follower/prefix_follower.h"
#include "follower/store_mirror.h"
#include "gateway/gateway_module.h"
#include "gateway/internal/gateway_services.h"
#include "peers/instance_announcer.h"
#include "peers/watch_plan.h"

namespace wist {

// Follows the store and applies its content to the configuration, the target
// directory and the list of instances. Keeps a mirror that other instances
// read.
class store_view final : private i_prefix_listener {
 public:
  // `reader` is watched for changes; `writer` stores this instance's entry.
  // `on_store_call` receives the cause of each call to `writer`.
  store_view(
      const gateway_settings& settings,
      const i_dialect& dialect,
      i_store_reader& reader,
      i_async_store& writer,
      gateway_services& services,
      std::uint32_t seed,
      std::function<void(const std::string&)> on_store_call =
          [](const std::string&) {});

  void SubscribeToConfiguration(std::function<void()> handler);

  // Calls `handler` at the start, and then when other instances have been
  // added, changed or removed; once for all changes that are read together.
  void SubscribeToInstances(std::function<void()> handler);

  // Calls `handler` for each change of an entry of the quarantine registry.
  void SubscribeToQuarantines(std::function<void(const store_change&)> handler);

  // Calls `handler` for each change of a roll-out request or status, and for
  // each target whose version is new to this instance.
  void SubscribeToRollouts(std::function<void(const store_change&)> handler);

  // Calls `handler` when the store becomes unreadable.
  void SubscribeToLoss(std::function<void()> handler);

  void Start();

  // Whether the store has been read completely at least once.
  bool HasSnapshot() const { return has_snapshot_; }

  // Whether the latest read of the store or of a mirror succeeded.
  bool IsReachable() const { return is_reachable_; }

  // Returns the registered instances except this one.
  std::vector<known_instance> OtherInstances() const;
  known_instance Self() const;

  store_mirror& mirror() { return mirror_; }

 private:
  // i_prefix_listener:
  void OnSnapshot(const std::map<std::string, store_change>& items,
                  store_revision revision,
                  std::optional<timestamp> grace_deadline) override;
  void OnChange(const store_change& change,
                std::optional<timestamp> grace_deadline) override;
  void OnGap(store_revision revision) override { mirror_.AddGap(revision); }
  void OnConfirmed(store_revision revision, timestamp confirmed_at) override;
  void OnStoreLost(store_error error) override;
  void OnStoreRegained() override;
  void OnHistoryGone(store_revision revision) override;
  void OnRangeBehind(store_revision revision,
                     store_revision latest_revision) override;
  void OnNewEra(store_revision revision,
                store_revision latest_revision) override;

  change_kind KindOf(const store_change& change) const;
  bool IsKnownToReaders(const store_change& item) const;
  void ApplyChange(const store_change& change,
                   std::optional<timestamp> grace_deadline);
  void ApplyConfiguration(const std::string& value);
  void ApplyTarget(const store_change& change,
                   std::optional<timestamp> grace_deadline);
  void ApplyInstance(const store_change& change);
  void ApplyQuarantine(const store_change& change);
  bool IsRolloutKey(const std::string& key) const;
  void ApplyRollout(const store_change& change);
  void RemoveMissing(const std::map<std::string, store_change>& items,
                     std::optional<timestamp> grace_deadline);
  void SetEvacuated(std::set<domain_id> stored);

  // Handles the list of instances that is read at the start.
  void OnAnnouncedInstances(const std::vector<known_instance>& others);

  const gateway_settings& settings_;
  const i_dialect& dialect_;
  gateway_services& services_;
  std::function<void()> configuration_handler_;
  std::function<void()> instances_handler_;
  std::function<void(const store_change&)> quarantine_handler_;
  std::function<void(const store_change&)> rollout_handler_;
  std::function<void()> loss_handler_;
  store_mirror mirror_;
  bool has_snapshot_ = false;
  bool is_reachable_ = false;
  // Whether a log line was written since ranges are rejected as behind.
  bool is_behind_logged_ = false;
  // The evacuated domains according to the store, and those that are treated
  // so: shortly after the start of an era also those that the store has lost.
  std::set<domain_id> stored_evacuations_;
  std::set<domain_id> evacuated_;
  timestamp era_grace_deadline_{};
  std::unique_ptr<i_timer> era_grace_timer_;
  // The registered instances except this one.
  std::map<std::string, known_instance> instances_;
  bool have_instances_changed_ = false;
  std::set<std::string> quarantine_keys_;
  std::set<std::string> rollout_keys_;
  instance_announcer announcer_;
  prefix_follower follower_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_STORE_VIEW_H_
