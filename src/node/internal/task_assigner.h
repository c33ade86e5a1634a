#ifndef NODE_INTERNAL_TASK_ASSIGNER_H_
#define NODE_INTERNAL_TASK_ASSIGNER_H_

#include <memory>
#include <string>
#include <vector>

#include "node/internal/cluster_state.h"

namespace wist {

// Assigns tasks to the live members of this instance's failure domain by
// hashing. Instances may temporarily disagree about the live members, so every
// task must be safe to run on several of them at once.
class task_assigner {
 public:
  task_assigner(const node_settings& settings,
                std::shared_ptr<cluster_state> cluster);

  // Returns the live members in the order in which `task` is assigned to them.
  std::vector<member_record> RankMembers(const std::string& task) const;

  // Returns whether this instance is among the first `count` members for
  // `task`.
  bool IsAssigned(const std::string& task, std::size_t count) const;

 private:
  const node_settings settings_;
  const std::shared_ptr<cluster_state> cluster_;
};

}  // namespace wist

#endif  // NODE_INTERNAL_TASK_ASSIGNER_H_
