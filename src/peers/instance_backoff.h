#ifndef PEERS_INSTANCE_BACKOFF_H_
#define PEERS_INSTANCE_BACKOFF_H_

#include <map>
#include <set>
#include <string>

#include "framework/base/time_types.h"

namespace wist {

// Instances that failed and are not used for some time, which doubles with each
// failure. Not thread-safe; reads no clock.
class instance_backoff {
 public:
  void OnFailure(const std::string& instance, timestamp now);
  void OnSuccess(const std::string& instance);

  bool IsUsable(const std::string& instance, timestamp now) const;

  // Returns the instances that are not to be used.
  std::set<std::string> Unusable(timestamp now) const;

 private:
  struct entry {
    timestamp deadline;
    int failures = 0;
  };

  std::map<std::string, entry> entries_;
};

}  // namespace wist

#endif  // PEERS_INSTANCE_BACKOFF_H_
