#include "node/internal/request_limits.h"

namespace wist {
namespace {

// Marks the target name of a tally or grant that is about a workspace.
constexpr std::string_view kWorkspaceTallyPrefix = "workspace/";
constexpr std::size_t kMaxGossipedCrashes = 64;

}  // namespace

bool IsWorkspaceTally(const target_id& name) {
  return name.text().rfind(kWorkspaceTallyPrefix, 0) == 0;
}

request_limits::request_limits(std::shared_ptr<const i_clock> clock)
    : clock_(std::move(clock)),
      limiter_(MakeWorkspaceLimiter()),
      retry_budget_(MakeRetryBudget()),
      quarantine_(MakeQuarantine()) {}

std::optional<timestamp> request_limits::TryAcquireRequest(
    const workspace_id& workspace) {
  std::lock_guard lock(mutex_);
  return limiter_->Acquire(workspace, clock_->Now());
}

void request_limits::OnFirstAttempt() {
  std::lock_guard lock(mutex_);
  retry_budget_->OnFirstAttempt();
}

bool request_limits::TryConsumeRetry() {
  std::lock_guard lock(mutex_);
  return retry_budget_->TryConsumeRetry();
}

std::optional<timestamp> request_limits::QuarantinedUntil(
    const std::string& request_digest) {
  std::lock_guard lock(mutex_);
  return quarantine_->QuarantinedUntil(request_digest, clock_->Now());
}

std::vector<target_id> request_limits::CrashedTargets(
    const std::string& request_digest) {
  std::lock_guard lock(mutex_);
  return quarantine_->CrashedTargets(request_digest, clock_->Now());
}

void request_limits::AddCrash(const std::string& request_digest,
                              const target_id& target) {
  const timestamp now = clock_->Now();
  bool added = false;
  {
    std::lock_guard lock(mutex_);
    added = quarantine_->AddCrash(
        {request_digest, target, now + kCrashValidity}, now);
  }
  if (added && on_crash_)
    on_crash_();
}

void request_limits::SubscribeToCrashes(std::function<void()> on_crash) {
  on_crash_ = std::move(on_crash);
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
  for (const limit_demand& demand : limiter_->CollectDemands()) {
    target_tally tally;
    tally.target =
        target_id(std::string(kWorkspaceTallyPrefix) + demand.workspace.text());
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
        grant.target.text().substr(kWorkspaceTallyPrefix.size()));
    limiter_->SetShare({workspace, grant.share, grant.deadline});
  }
}

std::vector<gossiped_crash> request_limits::CrashesToGossip() {
  std::lock_guard lock(mutex_);
  const timestamp now = clock_->Now();
  std::vector<gossiped_crash> gossiped;
  for (const target_crash& crash :
       quarantine_->UnexpiredCrashes(now, kMaxGossipedCrashes)) {
    gossiped.push_back(
        {crash.request_digest, crash.target,
         std::chrono::duration_cast<milliseconds>(crash.deadline - now)});
  }
  return gossiped;
}

void request_limits::OnGossipedCrashes(
    const std::vector<gossiped_crash>& crashes) {
  std::lock_guard lock(mutex_);
  const timestamp now = clock_->Now();
  for (const gossiped_crash& crash : crashes) {
    quarantine_->AddCrash(
        {crash.request_digest, crash.target, now + crash.valid_for}, now);
  }
}

}  // namespace wist
