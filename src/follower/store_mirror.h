#ifndef FOLLOWER_STORE_MIRROR_H_
#define FOLLOWER_STORE_MIRROR_H_

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "follower/i_async_store.h"

namespace wist {

// How a change is passed on to watches.
enum class change_kind {
  ordinary,
  // Earlier changes of the key are not passed on any more.
  replaces_earlier,
  // An entry was written again by its owner, and nothing but its age changed.
  // Only the last renewal before another change of the key is passed on, with
  // that change.
  renewal,
};

// A copy of the store's content. It serves reads of other instances in the
// same way as the store, and adds the age of the content. Not thread-safe;
// reads no clock.
class store_mirror {
 public:
  // Sets the function that is called after each Confirm(). Every change of the
  // content is followed by one.
  void SetUpdateHandler(std::function<void()> handler);

  void SetAll(const std::map<std::string, store_change>& items);

  void Apply(const store_change& change,
             change_kind kind = change_kind::ordinary);

  // Begins to apply the content at `revision`, of which the changes that led to
  // it are not known: applies the removal of all entries that are not in
  // `items`. The entries that differ follow with Apply().
  void ApplyRemovals(const std::map<std::string, store_change>& items,
                     store_revision revision);

  // The changes that are applied next lead to `revision`, and there may be more
  // of them that the source does not know.
  void AddGap(store_revision revision);

  // Whether the content has the entry with this value and revision.
  bool Contains(const store_change& entry) const;

  // The same with any revision.
  bool ContainsValue(const store_change& entry) const;

  bool ContainsKey(const std::string& key) const {
    return items_.contains(key);
  }

  // Records that the content is that of the store at `revision`, which was its
  // latest revision at `confirmed_at`.
  void Confirm(store_revision revision, timestamp confirmed_at);

  // Returns the latest confirmed revision.
  store_revision revision() const { return revision_; }

  // Whether the content was confirmed at least once.
  bool HasContent() const { return confirmed_at_.has_value(); }

  range_result ReadRange(const std::string& prefix, timestamp now) const;

  // Returns nothing if there is no change after `since_revision` to pass on.
  std::optional<watch_result> Watch(const std::string& prefix,
                                    store_revision since_revision,
                                    timestamp now) const;

  // Returns the result of a watch whose wait ended without a change.
  watch_result EmptyWatchResult(store_revision since_revision,
                                timestamp now) const;

 private:
  struct logged_change {
    store_change change;
    bool is_renewal = false;
    // The last renewal of the key before this change.
    std::optional<store_change> preceding_renewal;
    // Passed on to readers of earlier revisions. May be later than that of the
    // change, which may be of an earlier era.
    store_revision position;
  };

  // The changes between two revisions, which the mirror has had, are not known.
  struct revision_gap {
    store_revision from;
    store_revision to;
  };

  microseconds ContentAge(timestamp now) const;
  bool HasChangesSince(store_revision revision) const;
  bool HasGapAfter(store_revision revision) const;
  void EraseLogged(std::list<logged_change>::iterator entry);

  std::function<void()> update_handler_;
  std::map<std::string, store_change> items_;
  // The latest changes in the order in which they were applied, newest last.
  std::list<logged_change> change_log_;
  // The last logged change of each key.
  std::unordered_map<std::string, std::list<logged_change>::iterator>
      last_logged_;
  // The log contains all changes after this revision; nothing if it is not
  // known yet.
  std::optional<store_revision> log_start_revision_ = store_revision();
  store_revision revision_;
  // Earliest position of the next logged change.
  store_revision next_position_;
  std::vector<revision_gap> gaps_;
  std::optional<timestamp> confirmed_at_;
};

}  // namespace wist

#endif  // FOLLOWER_STORE_MIRROR_H_
