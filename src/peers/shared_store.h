#ifndef PEERS_SHARED_STORE_H_
#define PEERS_SHARED_STORE_H_

#include <functional>
#include <memory>
#include <optional>
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
// from the store itself. Not thread-safe.
class shared_store final : public i_store_reader {
 public:
  // `parent` returns whom to ask; nothing for the store itself.
  using parent_finder = std::function<std::optional<known_instance>()>;

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
  std::optional<known_instance> Parent() const;
  void WatchDirectly(const std::string& prefix,
                     std::int64_t since_revision,
                     milliseconds wait,
                     std::function<void(watch_result)> done);
  void OnParentFault();
  void OnParentAnswer();

  i_store_reader& store_;
  i_http_caller& caller_;
  i_scheduler& scheduler_;
  const parent_finder find_parent_;
  // The store is asked until then, since the parent failed.
  std::optional<timestamp> direct_deadline_;
  int faults_ = 0;
  // The next watch of the store itself begins no sooner.
  timestamp next_direct_watch_{};
  std::unique_ptr<i_timer> direct_timer_;
};

}  // namespace wist

#endif  // PEERS_SHARED_STORE_H_
