#include "gateway/internal/quarantine_registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace wist {
namespace {

using nlohmann::json;

// Validity of an entry's lease after the last refusal that renewed it. The
// longest that the store grants, so that an outage does not end it.
constexpr milliseconds kEntryTtl{600'000};

// Each instance that refuses requests renews the lease at most this often.
constexpr milliseconds kRenewalInterval{120'000};

// A quarantine whose entry has disappeared lasts this long without it, so that
// an instance that still refuses requests can write it again.
constexpr milliseconds kRemovalGrace{5000};

// A new quarantine is written after this time: outputs that are on their way
// may still show which of its suspects are not the cause.
constexpr milliseconds kPublishDelay{200};
constexpr milliseconds kPublishRetryInterval{1000};

// A trial shows whether a quarantine is wrong, and may cost a target and all
// runs on it. Their number is bounded for as long as the requests keep coming.
constexpr std::int32_t kMaxTrials = 2;
constexpr milliseconds kFirstTrialDelay{20'000};
constexpr milliseconds kSecondTrialDelay{100'000};

// A request does not wait longer than this for the store.
constexpr milliseconds kClaimTimeout{300};

constexpr std::size_t kMaxSuspects = 128;
constexpr std::size_t kMaxEntries = 256;
constexpr std::size_t kMaxObservedSuspects = 1024;

bool Covers(const quarantine_entry& entry, const suspect_set& suspects) {
  return std::includes(entry.suspects.begin(), entry.suspects.end(),
                       suspects.begin(), suspects.end());
}

std::string KeyOf(const std::string& name) {
  return std::string(kQuarantinePrefix) + name;
}

std::string SuspectText(suspect_digest suspect) {
  return fmt::format("{:016x}", suspect);
}

std::string JoinSuspects(const suspect_set& suspects) {
  std::string text;
  for (const suspect_digest suspect : suspects)
    text += (text.empty() ? "" : ",") + SuspectText(suspect);
  return text;
}

timestamp TrialDue(const quarantine_entry& entry, timestamp now) {
  return now + (entry.trials == 0 ? kFirstTrialDelay : kSecondTrialDelay);
}

}  // namespace

std::string EncodeQuarantineEntry(const quarantine_entry& entry) {
  json suspects = json::array();
  for (const suspect_digest suspect : entry.suspects)
    suspects.push_back(SuspectText(suspect));
  return json{{"suspects", suspects},
              {"trials", entry.trials},
              {"lease", entry.lease},
              {"lifted", entry.is_lifted}}
      .dump();
}

std::optional<quarantine_entry> DecodeQuarantineEntry(const std::string& text) {
  try {
    const json fields = json::parse(text);
    quarantine_entry entry;
    const json& suspects = fields.at("suspects");
    if (!suspects.is_array() || suspects.empty() ||
        suspects.size() > kMaxSuspects)
      return std::nullopt;
    for (const json& field : suspects) {
      const auto digits = field.get<std::string>();
      suspect_digest suspect = 0;
      const auto [end, error] = std::from_chars(
          digits.data(), digits.data() + digits.size(), suspect, 16);
      if (error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
      entry.suspects.insert(suspect);
    }
    entry.trials = fields.at("trials").get<std::int32_t>();
    entry.lease = fields.at("lease").get<store_lease>();
    entry.is_lifted = fields.at("lifted").get<bool>();
    return entry;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

quarantine_registry::quarantine_registry(crash_ledger& ledger,
                                         i_async_store& store,
                                         i_scheduler& scheduler,
                                         i_logger& logger,
                                         std::function<bool()> is_publisher)
    : ledger_(ledger),
      store_(store),
      scheduler_(scheduler),
      logger_(logger),
      is_publisher_(std::move(is_publisher)) {
  ledger_.SubscribeToLifts(
      [this](const quarantine& lifted) { OnLifted(lifted); });
}

void quarantine_registry::OnStoreChange(const store_change& change) {
  const std::string name = change.key.substr(kQuarantinePrefix.size());
  if (!change.value) {
    stored_.erase(name);
    return;
  }
  const auto entry = DecodeQuarantineEntry(*change.value);
  if (!entry || stored_.size() >= kMaxEntries) {
    logger_.Write(log_level::warning, "quarantine_entry_unreadable",
                  {{"key", change.key}});
    return;
  }
  const timestamp now = scheduler_.Now();
  const auto [known, is_new] = stored_.try_emplace(name);
  const bool has_new_trial = known->second.entry.trials != entry->trials;
  if (is_new || has_new_trial)
    known->second.trial_due = TrialDue(*entry, now);
  known->second.entry = *entry;
  known->second.revision = change.revision;
  if (entry->is_lifted)
    ApplyLifted(*entry);
  else if (is_new)
    ledger_.Restore(entry->suspects, now);
}

void quarantine_registry::OnCrashObserved(const run_fingerprint& run) {
  observed_suspects_.merge(run.Suspects());
  if (observed_suspects_.size() > kMaxObservedSuspects)
    observed_suspects_ = run.Suspects();
}

bool quarantine_registry::OnQuarantinedRequest(const quarantine& refusing,
                                               std::function<void(bool)> done) {
  const timestamp now = scheduler_.Now();
  ledger_.OnRefusal(refusing, now);
  activity& own = activities_[refusing.Name()];
  own.refused_at = now;
  RenewLease(refusing, own);
  const auto name = FindStored(refusing);
  if (!name || pending_claim_)
    return false;
  stored_entry& stored = stored_.at(*name);
  if (stored.entry.trials >= kMaxTrials || now < stored.trial_due)
    return false;
  ClaimTrial(*name, stored, std::move(done));
  return true;
}

void quarantine_registry::RenewLease(const quarantine& refusing,
                                     activity& own) {
  const timestamp now = scheduler_.Now();
  const auto name = FindStored(refusing);
  if (!name || now < own.renewal_due)
    return;
  own.renewal_due = now + kRenewalInterval;
  store_.RenewLease(stored_.at(*name).entry.lease, [](lease_renewal) {});
}

// All instances try to write the next number of trials; the store accepts one.
void quarantine_registry::ClaimTrial(const std::string& name,
                                     stored_entry& stored,
                                     std::function<void(bool)> done) {
  pending_claim_ = std::make_shared<std::function<void(bool)>>(std::move(done));
  quarantine_entry next = stored.entry;
  ++next.trials;
  stored.trial_due = scheduler_.Now() + kSecondTrialDelay;
  logger_.Write(log_level::warning, "quarantine_trial",
                {{"quarantine", name},
                 {"trial", static_cast<std::int64_t>(next.trials)}});
  const claim pending = pending_claim_;
  claim_timer_ = scheduler_.RunAt(
      scheduler_.Now() + kClaimTimeout,
      [this, pending] { EndClaim(pending, /*is_claimed=*/false); });
  store_.PutIfUnchanged(KeyOf(name), stored.revision,
                        EncodeQuarantineEntry(next), next.lease,
                        [this, pending](put_result result) {
                          EndClaim(pending, result == put_result::written);
                        });
}

void quarantine_registry::EndClaim(const claim& pending, bool is_claimed) {
  if (pending_claim_ != pending)
    return;
  pending_claim_.reset();
  claim_timer_.reset();
  (*pending)(is_claimed);
}

std::optional<std::string> quarantine_registry::FindStored(
    const quarantine& active) const {
  for (const auto& [name, stored] : stored_) {
    if (!stored.entry.is_lifted && Covers(stored.entry, active.suspects))
      return name;
  }
  return std::nullopt;
}

void quarantine_registry::Check() {
  const timestamp now = scheduler_.Now();
  LogChanges();
  for (const auto& [name, active] : logged_) {
    const auto [own, is_new] = activities_.try_emplace(name);
    if (is_new || own->second.publish_due == timestamp())
      own->second.publish_due = now + kPublishDelay;
    if (FindStored(active))
      ledger_.ExtendTo(name, now + kRemovalGrace);
    else
      PublishMissing(active, own->second);
  }
  std::erase_if(activities_, [&](const auto& entry) {
    return !logged_.contains(entry.first) && !entry.second.is_writing;
  });
}

void quarantine_registry::LogChanges() {
  const auto& quarantines = ledger_.Quarantines();
  for (const auto& [name, active] : quarantines) {
    if (!logged_.contains(name)) {
      logger_.Write(
          log_level::warning, "quarantine_started",
          {{"quarantine", name}, {"suspects", JoinSuspects(active.suspects)}});
    }
  }
  for (const auto& [name, earlier] : logged_) {
    if (!quarantines.contains(name)) {
      logger_.Write(log_level::info, "quarantine_ended",
                    {{"quarantine", name}});
    }
  }
  logged_ = quarantines;
}

bool quarantine_registry::IsObserved(const quarantine& active) const {
  return std::includes(observed_suspects_.begin(), observed_suspects_.end(),
                       active.suspects.begin(), active.suspects.end());
}

void quarantine_registry::PublishMissing(const quarantine& active,
                                         activity& own) {
  const timestamp now = scheduler_.Now();
  // A quarantine that only lasts because of its entry ends with it.
  if (own.is_writing || now < own.publish_due ||
      active.deadline <= now + kRemovalGrace ||
      (!IsObserved(active) && !own.refused_at && !is_publisher_()))
    return;
  own.is_writing = true;
  own.publish_due = now + kPublishRetryInterval;
  const std::string name = active.Name();
  store_.CreateLease(kEntryTtl, [this, name, suspects = active.suspects](
                                    std::optional<store_lease> lease) {
    if (lease)
      return Write(name, {suspects, 0, *lease, false});
    activities_[name].is_writing = false;
  });
}

void quarantine_registry::Write(const std::string& name,
                                const quarantine_entry& entry) {
  const auto stored = stored_.find(name);
  const store_revision revision =
      stored == stored_.end() ? store_revision() : stored->second.revision;
  store_.PutIfUnchanged(
      KeyOf(name), revision, EncodeQuarantineEntry(entry), entry.lease,
      [this, name](put_result) { activities_[name].is_writing = false; });
}

// Restarted instances would read the entries of a quarantine that was lifted.
void quarantine_registry::OnLifted(const quarantine& lifted) {
  for (const auto& [name, stored] : stored_) {
    if (stored.entry.is_lifted || !Covers(stored.entry, lifted.suspects))
      continue;
    quarantine_entry entry = stored.entry;
    entry.is_lifted = true;
    store_.PutIfUnchanged(KeyOf(name), stored.revision,
                          EncodeQuarantineEntry(entry), entry.lease,
                          [](put_result) {});
  }
}

void quarantine_registry::ApplyLifted(const quarantine_entry& entry) {
  const auto active = ledger_.Quarantines();
  for (const auto& [name, covered] : active) {
    if (Covers(entry, covered.suspects))
      ledger_.Lift(covered.suspects);
  }
}

}  // namespace wist
