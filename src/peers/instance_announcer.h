#ifndef PEERS_INSTANCE_ANNOUNCER_H_
#define PEERS_INSTANCE_ANNOUNCER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "follower/i_async_store.h"
#include "framework/net/i_scheduler.h"
#include "peers/watch_plan.h"

namespace wist {

// Prefix of the entries by which instances discover each other.
inline constexpr std::string_view kInstancePrefix = "wist/instances/";

// Keeps this instance's entry in the store. The entry contains the lease under
// which it was written, so that an instance that restarts renews it, which
// costs a fraction of a write. Not thread-safe.
class instance_announcer {
 public:
  using list_handler = std::function<void(const std::vector<known_instance>&)>;

  // `on_failure` is called for each failed attempt; it will be retried.
  // `on_store_call` receives the cause of each call to the store.
  instance_announcer(
      const known_instance& self,
      i_async_store& store,
      i_scheduler& scheduler,
      std::function<void()> on_failure,
      std::function<void(const std::string&)> on_store_call =
          [](const std::string&) {});

  // Calls `on_list` once with the other instances that were announced recently;
  // with none if the store does not respond. `is_first_start` says that no
  // instance has run before, so that all announce themselves now.
  void Start(bool is_first_start, list_handler on_list);

  // Handles that the store lost the entry, for example because its lease ended
  // while the store was unavailable.
  void OnEntryMissing();

 private:
  void ReadList();
  void OnList(const range_result& result);
  void Announce();
  void Write(store_lease lease);
  void Renew();
  void ScheduleRenewal();
  void OnFailure(void (instance_announcer::*next_step)());

  const known_instance self_;
  i_async_store& store_;
  i_scheduler& scheduler_;
  const std::function<void()> on_failure_;
  const std::function<void(const std::string&)> on_store_call_;
  list_handler on_list_;
  std::optional<store_lease> lease_;
  bool is_first_start_ = false;
  bool is_announcing_ = false;
  std::unique_ptr<i_timer> timer_;
  std::unique_ptr<i_timer> list_timer_;
};

}  // namespace wist

#endif  // PEERS_INSTANCE_ANNOUNCER_H_
