#ifndef PEERS_SHARED_STORE_H_
#define PEERS_SHARED_STORE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "follower/i_async_store.h"
#include "framework/net/i_http_caller.h"
#include "framework/net/i_scheduler.h"
#include "peers/watch_plan.h"

namespace wist {

// A copy that is older than this is of no use: what it lacks has to be in force
// within the bound on changes of the configuration, two seconds at the least.
inline constexpr milliseconds kMaxCopyAge{1700};

// Reads the store through another instance where the watch plan names one, else
// from the store itself. An instance that fails is replaced by the next one of
// the plan, and the store by an instance where it refuses this one. Not
// thread-safe.
class shared_store final : public i_store_reader {
 public:
  // Returns whom to ask without the instances named; nothing for the store
  // itself. `store_refuses` asks for an instance although this one is to ask
  // the store.
  using parent_finder = std::function<std::optional<known_instance>(
      const std::set<std::string>& unusable,
      bool store_refuses)>;

  shared_store(i_store_reader& store,
               i_http_caller& caller,
               i_scheduler& scheduler,
               parent_finder parent);

  // i_store_reader:
  void ReadRange(const std::string& prefix,
                 const std::string& after_key,
                 std::function<void(range_result)> done) override;
  void Watch(const std::string& prefix,
             std::int64_t since_revision,
             milliseconds wait,
             std::function<void(watch_result)> done) override;

 private:
  struct watch_call {
    std::string prefix;
    std::int64_t since_revision = 0;
    milliseconds wait{0};
    std::function<void(watch_result)> done;
    int parents_tried = 0;
  };

  // A parent that failed is not asked until the deadline.
  struct parent_fault {
    timestamp deadline;
    int faults = 0;
  };

  std::optional<known_instance> Parent() const;
  void Watch(watch_call call);
  void WatchParent(const known_instance& parent, watch_call call);
  void WatchDirectly(watch_call call);
  void OnParentFault(const std::string& parent);
  void OnDirectAnswer(bool refused);

  i_store_reader& store_;
  i_http_caller& caller_;
  i_scheduler& scheduler_;
  const parent_finder find_parent_;
  std::map<std::string, parent_fault> faults_;
  // The store is asked until then, since several parents failed.
  timestamp direct_deadline_{};
  // The store refused this instance; others are asked until then.
  timestamp refused_deadline_{};
  // The next watch of the store itself begins no sooner.
  timestamp next_direct_watch_{};
  std::unique_ptr<i_timer> direct_timer_;
};

}  // namespace wist

#endif  // PEERS_SHARED_STORE_H_
