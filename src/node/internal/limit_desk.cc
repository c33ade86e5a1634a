#include "node/internal/limit_desk.h"

namespace wist {
namespace {

constexpr std::string_view kWorkspacePrefix = "workspace/";
constexpr std::size_t kMaxGossipedStrikes = 64;

}  // namespace

bool IsWorkspaceTally(const target_id& name) {
  return name.text().rfind(kWorkspacePrefix, 0) == 0;
}

request_limits::request_limits(std::shared_ptr<const i_clock> clock)
    : clock_(std::move(clock)),
      limiter_(MakeWorkspaceLimiter()),
      retry_budget_(MakeRetryBudget()),
      quarantine_(MakeQuarantine()) {}

std::optional<timestamp> request_limits::TakeRequest(
    const workspace_id& workspace) {
  std::lock_guard lock(mutex_);
  return limiter_->Take(workspace, clock_->Now());
}

void request_limits::OnFirstTry() {
  std::lock_guard lock(mutex_);
  retry_budget_->OnFirstTry();
}

bool request_limits::TryRetry() {
  std::lock_guard lock(mutex_);
  return retry_budget_->TryRetry();
}

std::optional<timestamp> request_limits::QuarantinedUntil(
    const std::string& request_digest) {
  std::lock_guard lock(mutex_);
  return quarantine_->QuarantinedUntil(request_digest, clock_->Now());
}

std::vector<target_id> request_limits::StruckTargets(
    const std::string& request_digest) {
  std::lock_guard lock(mutex_);
  return quarantine_->StruckTargets(request_digest, clock_->Now());
}

void request_limits::AddStrike(const std::string& request_digest,
                               const target_id& target) {
  const timestamp now = clock_->Now();
  bool added = false;
  {
    std::lock_guard lock(mutex_);
    added = quarantine_->AddStrike(
        {request_digest, target, now + kStrikeValidity}, now);
  }
  if (added && on_strike_)
    on_strike_();
}

void request_limits::SubscribeToStrikes(std::function<void()> on_strike) {
  on_strike_ = std::move(on_strike);
}

void request_limits::ApplyConfiguration(const configuration_body& body) {
  std::lock_guard lock(mutex_);
  limiter_->ApplyConfiguration(body, clock_->Now());
}

void request_limits::SetInstanceCount(int count) {
  std::lock_guard lock(mutex_);
  limiter_->SetInstanceCount(count);
}

std::vector<target_tally> request_limits::DemandTallies() {
  std::lock_guard lock(mutex_);
  std::vector<target_tally> tallies;
  for (const limit_demand& demand : limiter_->Demands()) {
    target_tally tally;
    tally.target =
        target_id(std::string(kWorkspacePrefix) + demand.workspace.text());
    tally.demand = demand.requests;
    tallies.push_back(tally);
  }
  return tallies;
}

void request_limits::OnGrants(const std::vector<quota_grant>& grants) {
  std::lock_guard lock(mutex_);
  for (const quota_grant& grant : grants) {
    if (!IsWorkspaceTally(grant.target))
      continue;
    const workspace_id workspace(
        grant.target.text().substr(kWorkspacePrefix.size()));
    limiter_->OnShare({workspace, grant.share, grant.deadline});
  }
}

std::vector<told_strike> request_limits::StrikesToGossip() {
  std::lock_guard lock(mutex_);
  const timestamp now = clock_->Now();
  std::vector<told_strike> gossiped;
  for (const crash_strike& strike :
       quarantine_->Strikes(now, kMaxGossipedStrikes)) {
    gossiped.push_back(
        {strike.request_digest, strike.target,
         std::chrono::duration_cast<milliseconds>(strike.deadline - now)});
  }
  return gossiped;
}

void request_limits::OnGossipedStrikes(
    const std::vector<told_strike>& strikes) {
  std::lock_guard lock(mutex_);
  const timestamp now = clock_->Now();
  for (const told_strike& strike : strikes) {
    quarantine_->AddStrike(
        {strike.request_digest, strike.target, now + strike.counts_for}, now);
  }
}

}  // namespace wist
