#ifndef NODE_INTERNAL_DUTY_RANKING_H_
#define NODE_INTERNAL_DUTY_RANKING_H_

#include <memory>
#include <string>
#include <vector>

#include "node/internal/cluster_desk.h"

namespace wist {

// Deals duties to the live members of this instance's failure domain. Views may
// differ for a while: no duty relies on being done by one member only.
class duty_ranking {
 public:
  duty_ranking(const node_settings& settings,
               std::shared_ptr<cluster_desk> cluster);

  // Returns the live members in their order for `duty`.
  std::vector<member_record> Ranked(const std::string& duty) const;

  // Whether this instance is among the first `holders`.
  bool Has(const std::string& duty, std::size_t holders) const;

 private:
  const node_settings settings_;
  const std::shared_ptr<cluster_desk> cluster_;
};

}  // namespace wist

#endif  // NODE_INTERNAL_DUTY_RANKING_H_
