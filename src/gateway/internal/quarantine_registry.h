#ifndef GATEWAY_INTERNAL_QUARANTINE_REGISTRY_H_
#define GATEWAY_INTERNAL_QUARANTINE_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "follower/i_async_store.h"
#include "framework/logging/i_logger.h"
#include "framework/net/i_scheduler.h"
#include "limits/crash_ledger.h"

namespace wist {

// Prefix of the entries by which instances share quarantines.
inline constexpr std::string_view kQuarantinePrefix = "wist/quarantine/";

// A quarantine's entry in the store.
struct quarantine_entry {
  suspect_set suspects;
  // Requests that were let through to see whether they still crash targets.
  std::int32_t trials = 0;
  // The lease under which the entry was written. It is renewed while requests
  // are refused because of the quarantine.
  store_lease lease = 0;
  // The quarantine was found to be wrong.
  bool is_lifted = false;

  auto operator<=>(const quarantine_entry&) const = default;
};

std::string EncodeQuarantineEntry(const quarantine_entry& entry);

// Returns nothing if the text cannot be decoded.
std::optional<quarantine_entry> DecodeQuarantineEntry(const std::string& text);

// Keeps the quarantines of the ledger in the store, so that instances that
// restart, join or were cut off know them, and so that few requests of all
// instances together are let through as a trial. Not thread-safe.
class quarantine_registry {
 public:
  // `is_publisher` returns whether this instance writes quarantines that it
  // only received from its peers.
  quarantine_registry(crash_ledger& ledger,
                      i_async_store& store,
                      i_scheduler& scheduler,
                      i_logger& logger,
                      std::function<bool()> is_publisher);

  // Handles a change of an entry under kQuarantinePrefix.
  void OnStoreChange(const store_change& change);

  // This instance recorded a crash under the run.
  void OnCrashObserved(const run_fingerprint& run);

  // Handles a request that is subject to the quarantine. Returns whether it may
  // be let through as a trial; `done` then receives whether it is.
  bool OnQuarantinedRequest(const quarantine& refusing,
                            std::function<void(bool)> done);

  // Has to be called several times a second.
  void Check();

 private:
  struct stored_entry {
    quarantine_entry entry;
    store_revision revision;
    // Earliest time of the next trial.
    timestamp trial_due;
  };

  // What this instance has done about a quarantine.
  struct activity {
    timestamp publish_due;
    timestamp renewal_due;
    std::optional<timestamp> refused_at;
    bool is_writing = false;
  };

  using claim = std::shared_ptr<std::function<void(bool)>>;

  void LogChanges();
  // Whether this instance recorded crashes with all suspects.
  bool IsObserved(const quarantine& active) const;
  void PublishMissing(const quarantine& active, activity& own);
  void Write(const std::string& name, const quarantine_entry& entry);
  void OnLifted(const quarantine& lifted);
  void ApplyLifted(const quarantine_entry& entry);
  void RenewLease(const quarantine& refusing, activity& own);
  void ClaimTrial(const std::string& name,
                  stored_entry& stored,
                  std::function<void(bool)> done);
  void EndClaim(const claim& pending, bool is_claimed);

  // Returns the name of the entry that covers the quarantine, or nothing.
  std::optional<std::string> FindStored(const quarantine& active) const;

  crash_ledger& ledger_;
  i_async_store& store_;
  i_scheduler& scheduler_;
  i_logger& logger_;
  const std::function<bool()> is_publisher_;
  std::map<std::string, stored_entry> stored_;
  std::map<std::string, activity> activities_;
  // Suspects of the crashes that this instance recorded itself.
  suspect_set observed_suspects_;
  std::map<std::string, quarantine> logged_;
  claim pending_claim_;
  std::unique_ptr<i_timer> claim_timer_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_QUARANTINE_REGISTRY_H_
