#ifndef PEERS_WATCH_TREE_READER_H_
#define PEERS_WATCH_TREE_READER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "follower/i_async_store.h"
#include "framework/net/i_http_caller.h"
#include "framework/net/i_scheduler.h"
#include "peers/instance_backoff.h"
#include "peers/watch_plan.h"

namespace wist {

// Content from a mirror that is older than this is not used. A change of the
// configuration has to be in force within a bound that is at least two seconds,
// and such content may lack it.
inline constexpr milliseconds kMaxMirrorAge{1700};

// Reads the store through the parent of this instance in the watch tree, or
// directly if there is none. A parent that fails is replaced by the next one of
// the tree. If the store rejects this instance, it reads through another one.
// Not thread-safe.
class watch_tree_reader final : public i_store_reader {
 public:
  // Returns from where to read; none of the instances in `unusable`. With
  // `store_refuses`, names an instance even if this one would normally read
  // from the store.
  using source_finder =
      std::function<mirror_source(const std::set<std::string>& unusable,
                                  bool store_refuses)>;

  // Receives the cause of each call to the store.
  using call_observer = std::function<void(const std::string& cause)>;

  watch_tree_reader(
      i_store_reader& store,
      i_http_caller& caller,
      i_scheduler& scheduler,
      source_finder find_source,
      call_observer on_store_call = [](const std::string&) {});

  // i_store_reader:
  void ReadRange(const std::string& prefix,
                 const std::string& after_key,
                 std::function<void(range_result)> done) override;
  void Watch(const std::string& prefix,
             store_revision since_revision,
             milliseconds wait,
             std::function<void(watch_result)> done) override;

 private:
  struct watch_call {
    std::string prefix;
    store_revision since_revision;
    milliseconds wait{0};
    std::function<void(watch_result)> done;
    int parents_tried = 0;
  };

  mirror_source FindSource() const;
  void ReadFirstPage(const std::string& prefix,
                     std::function<void(range_result)> done);
  void ReadFirstPageViaParent(const mirror_source& source,
                              const std::string& prefix,
                              std::function<void(range_result)> done);
  void ReadRangeDirectly(const std::string& prefix,
                         const std::string& after_key,
                         std::function<void(range_result)> done);
  void Watch(watch_call call);
  void WatchViaParent(const mirror_source& source, watch_call call);
  void WatchDirectly(milliseconds patience, watch_call call);
  void RetryAt(timestamp time, std::function<void()> step);

  // Returns whether the instances above this one are still given time to find a
  // source; counts the time from the first call without one.
  bool AwaitsSource(milliseconds patience);
  void OnParentSuccess(const std::string& parent);
  void OnStoreResponse(bool refused, milliseconds patience);
  bool AdvanceToEraOf(store_revision revision);

  i_store_reader& store_;
  i_http_caller& caller_;
  i_scheduler& scheduler_;
  const source_finder find_source_;
  const call_observer on_store_call_;
  instance_backoff parent_backoff_;
  // Calls go directly to the store until this time, because the parents tried
  // for a call failed.
  timestamp direct_read_deadline_{};
  // Calls go to other instances until this time, because the store rejected
  // this one.
  timestamp store_refusal_deadline_{};
  // Since when there is no source above this instance; nothing if there is one.
  std::optional<timestamp> without_source_since_;
  // Earliest start of the next direct watch of the store.
  timestamp next_direct_watch_at_{};
  // Latest era of a page. Mirrors of an earlier one are not read.
  std::int64_t latest_era_ = 0;
  std::unique_ptr<i_timer> retry_timer_;
};

}  // namespace wist

#endif  // PEERS_WATCH_TREE_READER_H_
