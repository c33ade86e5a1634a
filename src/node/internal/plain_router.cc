#include "node/internal/plain_router.h"

#include <algorithm>

namespace wist {
namespace {

// Time for which a target is not used after a failed call.
constexpr milliseconds kFailureBackoff{1000};

constexpr char kAnyWorkspace[] = "*";

const rule_spec* FindRule(const configuration_body& body,
                          const workspace_id& workspace,
                          const service_id& service) {
  const rule_spec* wildcard_rule = nullptr;
  for (const rule_spec& rule : body.rules) {
    if (rule.service != service)
      continue;
    if (rule.workspace == workspace)
      return &rule;
    if (rule.workspace.text() == kAnyWorkspace)
      wildcard_rule = &rule;
  }
  return wildcard_rule;
}

bool Contains(const std::vector<target_id>& ids, const target_id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

plain_router::plain_router(const domain_id& domain,
                           std::shared_ptr<const i_clock> clock,
                           std::shared_ptr<cluster_state> cluster)
    : domain_(domain), clock_(std::move(clock)), cluster_(std::move(cluster)) {}

std::optional<target_spec> plain_router::Choose(
    const workspace_id& workspace,
    const service_id& service,
    const std::vector<target_id>& excluded) {
  std::lock_guard lock(mutex_);
  const timestamp now = clock_->Now();
  const rule_spec* rule = FindRule(body_, workspace, service);
  if (!rule)
    return std::nullopt;
  std::vector<target_spec> local;
  std::vector<target_spec> remote;
  for (const target_spec& target : body_.targets) {
    const auto backoff = backoff_until_.find(target.id);
    const bool in_backoff =
        backoff != backoff_until_.end() && now < backoff->second;
    if (!Contains(rule->targets, target.id) || Contains(excluded, target.id) ||
        in_backoff || !cluster_->MayDispatch(target, now))
      continue;
    (target.domain == domain_ ? local : remote).push_back(target);
  }
  const auto& usable = local.empty() ? remote : local;
  if (usable.empty())
    return std::nullopt;
  return usable[next_index_++ % usable.size()];
}

bool plain_router::MaySend(const target_spec& target) {
  return cluster_->MayDispatch(target, clock_->Now());
}

void plain_router::OnFailure(const target_id& target) {
  std::lock_guard lock(mutex_);
  backoff_until_[target] = clock_->Now() + kFailureBackoff;
}

void plain_router::ApplyConfiguration(const configuration_body& body) {
  std::lock_guard lock(mutex_);
  body_ = body;
}

}  // namespace wist
