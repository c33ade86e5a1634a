#include "node/internal/duty_ranking.h"

#include <algorithm>

#include "framework/base/hashing.h"

namespace wist {

duty_ranking::duty_ranking(const node_settings& settings,
                           std::shared_ptr<cluster_desk> cluster)
    : settings_(settings), cluster_(std::move(cluster)) {}

std::vector<member_record> duty_ranking::Ranked(const std::string& duty) const {
  auto members = cluster_->LiveMembersOf(settings_.domain);
  std::sort(members.begin(), members.end(),
            [&](const member_record& a, const member_record& b) {
              return StableHash(duty + a.id.text()) <
                     StableHash(duty + b.id.text());
            });
  return members;
}

bool duty_ranking::Has(const std::string& duty, std::size_t holders) const {
  const auto ranked = Ranked(duty);
  for (std::size_t i = 0; i < std::min(holders, ranked.size()); ++i) {
    if (ranked[i].id == settings_.instance)
      return true;
  }
  return false;
}

}  // namespace wist
