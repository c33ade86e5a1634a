#ifndef FOLLOWER_PREFIX_FOLLOWER_H_
#define FOLLOWER_PREFIX_FOLLOWER_H_

#include <map>
#include <memory>
#include <random>
#include <string>

#include "follower/i_async_store.h"
#include "framework/net/i_scheduler.h"

namespace wist {

// Takes what a prefix_follower sees.
class i_prefix_listener {
 public:
  virtual ~i_prefix_listener() = default;

  // All items under the prefix. `after_outage` if calls failed before it, so
  // that items may have lapsed meanwhile.
  virtual void OnSnapshot(const std::map<std::string, store_change>& items,
                          bool after_outage) = 0;
  virtual void OnChange(const store_change& change, bool after_outage) = 0;

  // What was told so far is all that the store held at `revision`, and that was
  // the newest one at `confirmed_at`.
  virtual void OnConfirmed(std::int64_t revision, timestamp confirmed_at) = 0;

  virtual void OnLost(store_fault fault) = 0;
  virtual void OnRegained() = 0;
};

struct follower_settings {
  // How long a watch waits: bounds the age of the last confirmation.
  milliseconds watch_wait{1500};
  // Content older than this counts as a fault of who told it.
  milliseconds max_age{1500};
  // Pause after a watch that brought changes, so that changes which come
  // together take one call.
  milliseconds change_pause{40};
  milliseconds first_retry_pause{100};
  milliseconds longest_retry_pause{1000};
  // How long after the store's return missing items may still come back.
  milliseconds outage_grace{2000};
};

// Keeps up with all keys under one prefix. Not thread-safe.
class prefix_follower {
 public:
  prefix_follower(std::string prefix,
                  const follower_settings& settings,
                  i_store_reader& store,
                  i_scheduler& scheduler,
                  i_prefix_listener& listener,
                  std::uint32_t seed);

  void Start();

 private:
  void BeginRange();
  void ReadPage(const std::string& after_key);
  void OnPage(range_result result);
  void BeginWatch();
  void OnWatch(watch_result result);
  void OnFault(store_fault fault);
  void OnSuccess();
  bool AfterOutage() const;
  void Later(milliseconds pause, void (prefix_follower::*step)());

  const std::string prefix_;
  const follower_settings settings_;
  i_store_reader& store_;
  i_scheduler& scheduler_;
  i_prefix_listener& listener_;
  std::minstd_rand random_;
  std::unique_ptr<i_timer> timer_;
  std::map<std::string, store_change> items_;
  microseconds range_age_{0};
  timestamp asked_at_;
  // Revision from which the next watch goes on; nothing before the first range.
  std::optional<std::int64_t> revision_;
  std::int64_t range_revision_ = 0;
  bool lost_ = false;
  int faults_ = 0;
  std::optional<timestamp> grace_deadline_;
};

}  // namespace wist

#endif  // FOLLOWER_PREFIX_FOLLOWER_H_
