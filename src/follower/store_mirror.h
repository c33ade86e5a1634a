#ifndef FOLLOWER_STORE_MIRROR_H_
#define FOLLOWER_STORE_MIRROR_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "follower/i_async_store.h"

namespace wist {

// A copy of what the store held, that answers other instances' calls as the
// store would, with its age. Not thread-safe; reads no clock.
class store_mirror {
 public:
  // `handler` is told whenever the content or its confirmation changed.
  void Subscribe(std::function<void()> handler);

  void SetAll(const std::map<std::string, store_change>& items);

  // `only_newest` drops earlier changes of the same key that were not told yet.
  void Apply(const store_change& change, bool only_newest = false);
  void Confirm(std::int64_t revision, timestamp confirmed_at);

  range_result ReadRange(const std::string& prefix, timestamp now) const;

  // Returns nothing while there is no change to tell.
  std::optional<watch_result> Watch(const std::string& prefix,
                                    std::int64_t since_revision,
                                    timestamp now) const;

  // Returns the page of a watch whose wait is over.
  watch_result Unchanged(std::int64_t since_revision, timestamp now) const;

 private:
  microseconds Age(timestamp now) const;

  std::function<void()> handler_;
  std::map<std::string, store_change> items_;
  // Changes in the order of their revisions, newest last.
  std::deque<store_change> log_;
  // Changes after this revision are all in the log.
  std::int64_t log_begin_ = 0;
  std::int64_t revision_ = 0;
  std::optional<timestamp> confirmed_at_;
};

}  // namespace wist

#endif  // FOLLOWER_STORE_MIRROR_H_
