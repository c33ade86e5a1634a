#ifndef NODE_INTERNAL_PEER_EXCHANGE_H_
#define NODE_INTERNAL_PEER_EXCHANGE_H_

#include <memory>
#include <string>
#include <vector>

#include "configuration/i_configuration_holder.h"
#include "node/internal/blocking_admission.h"
#include "node/internal/cluster_state.h"
#include "node/internal/request_limits.h"
#include "node/internal/task_assigner.h"
#include "peer_link/i_peer_link.h"

namespace wist {

// Number of members of a failure domain that try to acquire its lease for cold
// targets.
inline constexpr std::size_t kColdLeaseCandidates = 2;

// Returns the name of the lease for the cold targets of `domain`. Its holder
// issues the permits for them.
std::string ColdLeaseName(const domain_id& domain);

// Reports the load of this instance to the owners of targets and workspaces,
// and requests permits for cold targets from the lease holder. Each public
// method must only be called from one thread.
class peer_exchange {
 public:
  peer_exchange(const node_settings& settings,
                std::shared_ptr<const i_clock> clock,
                std::shared_ptr<i_configuration_holder> holder,
                std::shared_ptr<cluster_state> cluster,
                std::shared_ptr<i_peer_link> link,
                blocking_admission& admission,
                request_limits& limits,
                const task_assigner& assigner);

  // Exchanges tallies of targets if the interval for the current size of the
  // failure domain has elapsed.
  void ExchangeTalliesIfDue();

  // Exchanges the demand of workspaces for shares of their request rates.
  void ExchangeLimitDemand();

  // Requests permits for the cold targets of the own failure domain.
  void RequestColdPermits();

 private:
  void ExchangeTallies();
  domain_id DomainOf(const target_id& target) const;
  void ExchangeWithOwner(const std::string& address,
                         const std::vector<target_tally>& tallies);
  void ApplyGrants(const std::vector<quota_grant>& grants);
  // Returns whether `member` responded and holds the lease.
  bool RequestPermitsFrom(const member_record& member,
                          const std::vector<cold_permit_request>& requests);

  const node_settings settings_;
  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<i_configuration_holder> holder_;
  const std::shared_ptr<cluster_state> cluster_;
  const std::shared_ptr<i_peer_link> link_;
  blocking_admission& admission_;
  request_limits& limits_;
  const task_assigner& assigner_;
  timestamp next_tally_exchange_at_;
};

}  // namespace wist

#endif  // NODE_INTERNAL_PEER_EXCHANGE_H_
