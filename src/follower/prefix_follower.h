#ifndef FOLLOWER_PREFIX_FOLLOWER_H_
#define FOLLOWER_PREFIX_FOLLOWER_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "follower/i_async_store.h"
#include "framework/net/i_scheduler.h"

namespace wist {

// Receives the content that a prefix_follower reads.
class i_prefix_listener {
 public:
  virtual ~i_prefix_listener() = default;

  // `items` are all entries under the prefix at `revision`. `grace_deadline` is
  // set if the store was unavailable until recently: entries may have expired
  // because they could not be renewed, and may be written again until then.
  virtual void OnSnapshot(const std::map<std::string, store_change>& items,
                          store_revision revision,
                          std::optional<timestamp> grace_deadline) = 0;
  virtual void OnChange(const store_change& change,
                        std::optional<timestamp> grace_deadline) = 0;

  // The changes that follow lead to the content at `revision`, but the source
  // does not know all that were made.
  virtual void OnGap(store_revision revision) = 0;

  // The snapshot and the changes reported so far are the complete content of
  // the store at `revision`, which was its latest revision at `confirmed_at`.
  virtual void OnConfirmed(store_revision revision, timestamp confirmed_at) = 0;

  virtual void OnStoreLost(store_error error) = 0;
  virtual void OnStoreRegained() = 0;

  // The source no longer has the changes after `revision`, so that all entries
  // are read again.
  virtual void OnHistoryGone(store_revision revision) = 0;

  // The entries read are those of `revision`, before `latest_revision`, which
  // was reported already. They are rejected and read again.
  virtual void OnRangeBehind(store_revision revision,
                             store_revision latest_revision) = 0;

  // The store has begun a new era at `revision`, and what was written since it
  // was copied is gone. `latest_revision` is the last one reported before.
  virtual void OnNewEra(store_revision revision,
                        store_revision latest_revision) = 0;
};

struct follower_settings {
  // Longest wait of a watch. It bounds the age of the last confirmation.
  milliseconds watch_wait{1500};
  // Content that is older than this is rejected as an error of its source.
  milliseconds max_age{1500};
  // Pause after a watch that returned changes, so that a burst of changes is
  // read with one call.
  milliseconds change_pause{40};
  milliseconds initial_retry_pause{100};
  milliseconds max_retry_pause{1000};
  // Time after an outage, or after the start of an era, within which missing
  // entries may still be written again by their owners.
  milliseconds outage_grace{2000};
  // Owners write their entries at least this often. A shorter outage lets none
  // expire.
  milliseconds shortest_outage{1000};
};

// Follows all keys under one prefix: reads them once, then watches for changes.
// Not thread-safe.
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
  void StartRangeRead();
  void ReadPage(const std::string& after_key);
  void OnRangePage(range_result result);
  bool IsBehind(const range_page& first_page);
  void EnterEraOf(store_revision revision);
  void StartWatch();
  void OnWatchPage(watch_result result);
  void Confirm(timestamp confirmed_at);
  void OnError(store_error error);
  void OnSuccess();
  std::optional<timestamp> GraceDeadline() const;
  void RunAfter(milliseconds pause, void (prefix_follower::*step)());

  const std::string prefix_;
  const follower_settings settings_;
  i_store_reader& store_;
  i_scheduler& scheduler_;
  i_prefix_listener& listener_;
  std::minstd_rand jitter_random_;
  std::unique_ptr<i_timer> step_timer_;
  std::map<std::string, store_change> items_;
  microseconds max_page_age_{0};
  timestamp called_at_;
  // Revision from which the next watch continues; nothing until all keys have
  // been read.
  std::optional<store_revision> revision_;
  // Of the first page of the range that is being read.
  std::optional<store_revision> range_revision_;
  // Latest revision that was reported to the listener.
  store_revision latest_revision_;
  // Until when ranges of earlier revisions are rejected.
  std::optional<timestamp> behind_deadline_;
  // Latest time at which the listener had the store's content.
  timestamp confirmed_at_{};
  bool store_lost_ = false;
  int consecutive_errors_ = 0;
  std::optional<timestamp> grace_deadline_;
};

}  // namespace wist

#endif  // FOLLOWER_PREFIX_FOLLOWER_H_
