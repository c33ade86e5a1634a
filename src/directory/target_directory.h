#ifndef DIRECTORY_TARGET_DIRECTORY_H_
#define DIRECTORY_TARGET_DIRECTORY_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "directory/directory_types.h"

namespace wist {

// The targets that registered themselves, and the failure domains that take no
// work. Not thread-safe; reads no clock.
class target_directory {
 public:
  using leave_handler = std::function<void(const known_target&)>;

  // `missing_grace` is how long an entry that vanished during an outage of the
  // store may take to come back.
  explicit target_directory(milliseconds missing_grace)
      : missing_grace_(missing_grace) {}

  // `handler` is told of each target that takes no new work any more.
  void SubscribeToLeaves(leave_handler handler);

  void Put(const target_entry& entry, timestamp now);

  // The entry was removed; `during_outage` if it may have lapsed while the
  // store was away, although its target lives.
  void Remove(const target_id& id, bool during_outage, timestamp now);

  // Drops targets that are missing past their deadline.
  void Expire(timestamp now);

  void SetEvacuated(std::set<domain_id> domains);
  bool IsEvacuated(const domain_id& domain) const;

  // Returns null if the target isn't known.
  const known_target* Find(const target_id& id) const;
  const std::map<target_id, known_target>& targets() const { return targets_; }

  // Whether new work may go to the target.
  bool Takes(const known_target& target) const;

 private:
  void Leave(known_target& target, timestamp now);

  const milliseconds missing_grace_;
  std::vector<leave_handler> leave_handlers_;
  std::map<target_id, known_target> targets_;
  std::set<domain_id> evacuated_;
};

}  // namespace wist

#endif  // DIRECTORY_TARGET_DIRECTORY_H_
