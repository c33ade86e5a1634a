#include "node/internal/task_assigner.h"

#include <algorithm>

#include "framework/base/hashing.h"

namespace wist {

task_assigner::task_assigner(const node_settings& settings,
                             std::shared_ptr<cluster_state> cluster)
    : settings_(settings), cluster_(std::move(cluster)) {}

std::vector<member_record> task_assigner::RankMembers(
    const std::string& task) const {
  auto members = cluster_->LiveMembersInDomain(settings_.domain);
  std::sort(members.begin(), members.end(),
            [&](const member_record& a, const member_record& b) {
              return StableHash(task + a.id.text()) <
                     StableHash(task + b.id.text());
            });
  return members;
}

bool task_assigner::IsAssigned(const std::string& task,
                               std::size_t count) const {
  const auto ranked = RankMembers(task);
  for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
    if (ranked[i].id == settings_.instance)
      return true;
  }
  return false;
}

}  // namespace wist
