#ifndef STAND_INS_PLATFORM_PLATFORM_MODEL_H_
#define STAND_INS_PLATFORM_PLATFORM_MODEL_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "framework/base/time_types.h"
#include "store/store_types.h"

namespace wist::stand_ins {

struct platform_settings {
  milliseconds list_lag{0};
  int max_writes_per_second = 1'000'000;
  int max_reads_per_second = 1'000'000;
};

struct platform_counters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t refused = 0;
};

// Model of the platform's key-value store and instance list without sockets.
// Values have revisions, leases have fencing numbers, reads and writes are
// limited per second, and changes of the instance list become visible after a
// lag.
class platform_model {
 public:
  explicit platform_model(platform_settings settings = {})
      : settings_(settings) {}

  // Count a call and return whether it is within the limit per second. If
  // not, the caller must refuse the call.
  bool AdmitRead(timestamp now);
  bool AdmitWrite(timestamp now);

  kv_entry Read(const std::string& key) const;
  kv_swap_result CompareAndSwap(const std::string& key,
                                std::uint64_t expected,
                                const std::string& value);

  std::optional<kv_lease> AcquireLease(const std::string& name,
                                       const std::string& holder,
                                       milliseconds validity,
                                       timestamp now);
  void ReleaseLease(const std::string& name, const std::string& holder);

  void Announce(const listed_instance& instance, timestamp now);
  void Withdraw(const std::string& id, timestamp now);
  // Returns the instances as of `list_lag` ago.
  std::vector<listed_instance> List(timestamp now) const;

  // Restores every value as of `revision`, like a store that is restored from
  // an older backup.
  void RollBack(std::uint64_t revision);

  const platform_counters& counters() const { return counters_; }
  std::uint64_t revision() const { return revision_; }

 private:
  using instance_map = std::map<std::string, listed_instance>;

  bool Admit(std::deque<timestamp>& recent, int max_per_second, timestamp now);
  void PublishList(timestamp now, instance_map list);

  const platform_settings settings_;
  platform_counters counters_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::vector<kv_entry>> values_;
  std::map<std::string, kv_lease> leases_;
  std::uint64_t last_fencing_number_ = 0;
  std::map<timestamp, instance_map> list_history_;
  std::deque<timestamp> recent_reads_;
  std::deque<timestamp> recent_writes_;
};

}  // namespace wist::stand_ins

#endif  // STAND_INS_PLATFORM_PLATFORM_MODEL_H_
