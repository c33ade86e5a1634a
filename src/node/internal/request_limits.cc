#include "node/internal/request_limits.h"

#include <algorithm>

#include "framework/base/hashing.h"

namespace wist {
namespace {

// Marks the target name of a tally or grant that is about a workspace.
constexpr std::string_view kWorkspaceTallyPrefix = "workspace/";
constexpr std::size_t kMaxGossipedReports = 64;
constexpr std::size_t kMaxDigestTexts = 4096;

// Makes the digests of prompt prefixes independent of those of requests.
constexpr std::uint64_t kPrefixSeed = 3;

crash_ledger_settings LedgerSettings() {
  crash_ledger_settings settings;
  settings.attribution.min_crashes = kCrashedTargetsToQuarantine;
  // A request runs on its next target as soon as one has crashed.
  settings.attribution.correlated_window_of_requests = milliseconds(0);
  // A crash is observed by the instance of the run within this time.
  settings.same_crash_window = milliseconds(200);
  settings.crash_retention = kCrashValidity;
  settings.quarantine_retention = kCrashValidity;
  settings.refusals_extend_quarantine = false;
  return settings;
}

run_fingerprint FingerprintOf(const generation_identity& generation) {
  run_fingerprint fingerprint{StableHash(generation.request_digest), {}};
  if (!generation.prompt_prefix.empty()) {
    fingerprint.prompt_parts.push_back(
        StableHash(generation.prompt_prefix, kPrefixSeed));
  }
  return fingerprint;
}

}  // namespace

bool IsWorkspaceTally(const target_id& name) {
  return name.text().rfind(kWorkspaceTallyPrefix, 0) == 0;
}

request_limits::request_limits(std::shared_ptr<const i_clock> clock)
    : clock_(std::move(clock)),
      limiter_(MakeWorkspaceLimiter()),
      retry_budget_(MakeRetryBudget()),
      crashes_(LedgerSettings()) {}

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

std::optional<generation_quarantine> request_limits::FindQuarantine(
    const generation_identity& generation) {
  std::lock_guard lock(mutex_);
  const run_fingerprint run = FingerprintOf(generation);
  const auto found = crashes_.FindQuarantine(run, clock_->Now());
  if (!found)
    return std::nullopt;
  return generation_quarantine{found->deadline,
                               found->suspects.contains(run.request)};
}

std::vector<target_id> request_limits::CrashedTargets(
    const generation_identity& generation) {
  std::lock_guard lock(mutex_);
  return crashes_.CrashedTargets(FingerprintOf(generation).request);
}

void request_limits::AddCrash(const generation_identity& generation,
                              const target_id& target) {
  bool added = false;
  {
    std::lock_guard lock(mutex_);
    RegisterDigest(generation.request_digest);
    added = crashes_.OnCrash(FingerprintOf(generation), target, clock_->Now());
  }
  if (added && on_crash_)
    on_crash_();
}

void request_limits::OnOutput(const generation_identity& generation) {
  std::lock_guard lock(mutex_);
  crashes_.OnOutput(FingerprintOf(generation), clock_->Now());
}

void request_limits::OnResponse(const generation_identity& generation) {
  std::lock_guard lock(mutex_);
  crashes_.OnResponse(FingerprintOf(generation), clock_->Now());
}

request_digest request_limits::RegisterDigest(const std::string& text) {
  const request_digest digest = StableHash(text);
  if (digest_texts_.size() < kMaxDigestTexts)
    digest_texts_[digest] = text;
  return digest;
}

// Removes the texts of requests whose crashes no longer count.
void request_limits::PruneDigests() {
  std::set<request_digest> counted;
  for (const crash_notice& notice : crashes_.AllCrashes(clock_->Now()))
    counted.insert(notice.subject);
  std::erase_if(digest_texts_, [&](const auto& entry) {
    return !counted.contains(entry.first);
  });
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

void request_limits::AddReports(gossip_message& message) {
  std::lock_guard lock(mutex_);
  const timestamp now = clock_->Now();
  crashes_.Expire(now);
  PruneDigests();
  for (const crash_notice& notice : crashes_.AllCrashes(now)) {
    const auto text = digest_texts_.find(notice.subject);
    if (text == digest_texts_.end() ||
        message.crashes.size() >= kMaxGossipedReports)
      continue;
    message.crashes.push_back(
        {text->second, *notice.target,
         std::chrono::duration_cast<milliseconds>(kCrashValidity - notice.age),
         notice.prompt_parts});
  }
  for (const crash_notice& notice : crashes_.AllOutputs(now)) {
    if (message.outputs.size() >= kMaxGossipedReports)
      break;
    message.outputs.push_back(
        {notice.subject, std::chrono::duration_cast<milliseconds>(notice.age)});
  }
}

void request_limits::OnReports(const gossip_message& message) {
  std::lock_guard lock(mutex_);
  const timestamp now = clock_->Now();
  for (const gossiped_crash& crash : message.crashes) {
    const auto age = std::max<microseconds>(microseconds(0),
                                            kCrashValidity - crash.valid_for);
    crashes_.OnNotice({RegisterDigest(crash.request_digest), crash.target, age,
                       crash.prompt_parts},
                      now);
  }
  for (const gossiped_output& output : message.outputs)
    crashes_.OnNotice({output.suspect, std::nullopt, output.age, {}}, now);
}

}  // namespace wist
