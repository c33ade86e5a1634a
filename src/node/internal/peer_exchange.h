#ifndef NODE_INTERNAL_PEER_EXCHANGE_H_
#define NODE_INTERNAL_PEER_EXCHANGE_H_

#include <memory>
#include <string>
#include <vector>

#include "configuration/i_configuration_holder.h"
#include "node/internal/admission_desk.h"
#include "node/internal/cluster_desk.h"
#include "node/internal/duty_ranking.h"
#include "node/internal/limit_desk.h"
#include "peer_link/i_peer_link.h"

namespace wist {

// Members of a failure domain that ask for its lease on cold targets.
inline constexpr std::size_t kStewardCandidates = 2;

// Returns the name of the lease that the steward of `domain` holds.
std::string ColdLeaseName(const domain_id& domain);

// Exchanges this instance's work with the owners of targets and workspaces, and
// asks the steward for permits. Each method has one thread that calls it.
class peer_exchange {
 public:
  peer_exchange(const node_settings& settings,
                std::shared_ptr<const i_clock> clock,
                std::shared_ptr<i_configuration_holder> holder,
                std::shared_ptr<cluster_desk> cluster,
                std::shared_ptr<i_peer_link> link,
                admission_desk& admission,
                limit_desk& limits,
                const duty_ranking& duties);

  // Exchanges tallies if the interval that the domain's size allows is over.
  void TalliesWhenDue();
  void Limits();
  void Permits();

 private:
  void Tallies();
  domain_id DomainOf(const target_id& target) const;
  void ExchangeWith(const std::string& address,
                    const std::vector<target_tally>& tallies);
  void TakeGrants(const std::vector<quota_grant>& grants);
  bool AskSteward(const member_record& member,
                  const std::vector<cold_request>& requests);

  const node_settings settings_;
  const std::shared_ptr<const i_clock> clock_;
  const std::shared_ptr<i_configuration_holder> holder_;
  const std::shared_ptr<cluster_desk> cluster_;
  const std::shared_ptr<i_peer_link> link_;
  admission_desk& admission_;
  limit_desk& limits_;
  const duty_ranking& duties_;
  timestamp next_tallies_at_;
};

}  // namespace wist

#endif  // NODE_INTERNAL_PEER_EXCHANGE_H_
