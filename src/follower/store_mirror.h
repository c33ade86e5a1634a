#ifndef FOLLOWER_STORE_MIRROR_H_
#define FOLLOWER_STORE_MIRROR_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "follower/i_async_store.h"

namespace wist {

// A copy of the store's content. It serves reads of other instances in the
// same way as the store, and adds the age of the content. Not thread-safe;
// reads no clock.
class store_mirror {
 public:
  // Sets the function that is called after each Confirm(). Every change of the
  // content is followed by one.
  void SetUpdateHandler(std::function<void()> handler);

  void SetAll(const std::map<std::string, store_change>& items);

  // `drop_earlier` removes earlier changes of the same key from the log, so
  // that watches receive only its latest value.
  void Apply(const store_change& change, bool drop_earlier = false);

  // Records that the content is that of the store at `revision`, which was its
  // latest revision at `confirmed_at`.
  void Confirm(std::int64_t revision, timestamp confirmed_at);

  range_result ReadRange(const std::string& prefix, timestamp now) const;

  // Returns nothing if there is no change after `since_revision`.
  std::optional<watch_result> Watch(const std::string& prefix,
                                    std::int64_t since_revision,
                                    timestamp now) const;

  // Returns the result of a watch whose wait ended without a change.
  watch_result EmptyWatchResult(std::int64_t since_revision,
                                timestamp now) const;

 private:
  microseconds ContentAge(timestamp now) const;

  std::function<void()> update_handler_;
  std::map<std::string, store_change> items_;
  // The latest changes in the order of their revisions, newest last.
  std::deque<store_change> change_log_;
  // The log contains all changes after this revision; -1 if it is not known
  // yet.
  std::int64_t log_start_revision_ = 0;
  std::int64_t revision_ = 0;
  std::optional<timestamp> confirmed_at_;
};

}  // namespace wist

#endif  // FOLLOWER_STORE_MIRROR_H_
