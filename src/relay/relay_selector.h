#ifndef RELAY_RELAY_SELECTOR_H_
#define RELAY_RELAY_SELECTOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "framework/base/time_types.h"
#include "peers/watch_plan.h"

namespace wist {

// Chooses the instance through which a request is sent while this one has no
// path to the targets. Not thread-safe; reads no clock.
class relay_selector {
 public:
  // Instances that announce no relay port are never chosen.
  void SetInstances(const domain_id& own_domain,
                    const std::vector<known_instance>& others);

  // Whether there is any instance that accepts relayed requests.
  bool HasInstances() const { return !instances_.empty(); }

  // Returns an instance that is not in `excluded`; of this failure domain if
  // there is one that is usable. Requests are spread by their ids, and of two
  // instances the one with fewer open relays of this instance is chosen.
  std::optional<known_instance> Choose(const std::string& request_id,
                                       const std::set<std::string>& excluded,
                                       timestamp now) const;

  // Count a relayed request as open.
  void OnStart(const std::string& instance);
  void OnEnd(const std::string& instance);

  // The instance sent a part of a response.
  void OnReceived(const std::string& instance, timestamp now);
  // The instance responded.
  void OnResponse(const std::string& instance);
  // The instance could not be reached, or ended a relayed request without a
  // response.
  void OnFailure(const std::string& instance, timestamp now);
  // A relayed request that was sent at `sent_at` was cancelled before it got a
  // response. A failure if the instance has sent nothing else since.
  void OnSilence(const std::string& instance, timestamp sent_at, timestamp now);
  // The instance refuses requests, for example since it has no path to the
  // targets either. Other instances of its domain may share the cause.
  void OnRefusal(const std::string& instance, timestamp now);

 private:
  struct relay_state {
    known_instance instance;
    int open_count = 0;
    std::optional<timestamp> received_at;
    int failure_count = 0;  // Since its last response.
    std::optional<timestamp> unusable_until;
    std::optional<timestamp> refused_until;  // Comes last until then.
  };

  bool IsUsable(const relay_state& relay, timestamp now) const;
  int Tier(const relay_state& relay, timestamp now) const;

  domain_id own_domain_;
  std::map<std::string, relay_state> instances_;
  // Failure domains of instances that refused requests, until when they come
  // last.
  std::map<domain_id, timestamp> refusing_domains_;
};

}  // namespace wist

#endif  // RELAY_RELAY_SELECTOR_H_
