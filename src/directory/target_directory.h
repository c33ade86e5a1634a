#ifndef DIRECTORY_TARGET_DIRECTORY_H_
#define DIRECTORY_TARGET_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "directory/directory_types.h"

namespace wist {

// Holds the registered targets and the evacuated failure domains. Not
// thread-safe; reads no clock.
class target_directory {
 public:
  using departure_handler = std::function<void(const known_target&)>;

  // Calls `handler` for each target that stops accepting new work.
  void SubscribeToDepartures(departure_handler handler);

  // Adds or updates a target. Ignores entries older than the one held, and
  // further entries of a process that registered as leaving.
  void Upsert(const target_entry& entry, timestamp now);

  // Whether the entry only renews the one held: nothing but its sequence and
  // the remaining warm-up time changed.
  bool IsRenewal(const target_entry& entry, timestamp now) const;

  // Handles the removal of an entry from the store. `grace_deadline` is set if
  // the entry may have expired because the store was unavailable, while its
  // target is still running, and may register again until then.
  void Remove(const target_id& id,
              std::optional<timestamp> grace_deadline,
              timestamp now);

  // Handles that a target stated in a response that it is leaving. `entry` is
  // the one under which the request was sent; the current one may still state
  // otherwise.
  void OnLeavingStated(const target_entry& entry, timestamp now);

  // Marks targets as leaving whose entries are missing past their deadline, and
  // removes targets that departed long ago.
  void Expire(timestamp now);

  void SetEvacuated(std::set<domain_id> domains);
  bool IsEvacuated(const domain_id& domain) const;

  // Returns null if the target is not registered.
  const known_target* Find(const target_id& id) const;
  const std::map<target_id, known_target>& targets() const { return targets_; }

  // Whether the target may be sent new work: it is not leaving and its failure
  // domain is not evacuated.
  bool AcceptsNewWork(const known_target& target) const;

 private:
  void MarkLeaving(known_target& target, timestamp now);

  std::vector<departure_handler> departure_handlers_;
  std::map<target_id, known_target> targets_;
  std::set<domain_id> evacuated_domains_;
};

}  // namespace wist

#endif  // DIRECTORY_TARGET_DIRECTORY_H_
