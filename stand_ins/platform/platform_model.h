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

// The platform's key-value service and instance list without sockets: values
// with revisions, leases with fencing numbers, rates, a lagging list.
class platform_model {
 public:
  explicit platform_model(platform_settings settings = {})
      : settings_(settings) {}

  // Counts a call; returns whether the rate has room for it.
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
  std::vector<listed_instance> List(timestamp now) const;

  // Restores every value as it was after `revision` writes, as a store does
  // that comes back from an older copy.
  void RollBack(std::uint64_t revision);

  const platform_counters& counters() const { return counters_; }
  std::uint64_t revision() const { return revision_; }

 private:
  using instance_map = std::map<std::string, listed_instance>;

  bool Admit(std::deque<timestamp>& recent, int rate, timestamp now);
  void PublishList(timestamp now, instance_map list);

  const platform_settings settings_;
  platform_counters counters_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::vector<kv_entry>> values_;
  std::map<std::string, kv_lease> leases_;
  std::uint64_t last_fencing_number_ = 0;
  std::map<timestamp, instance_map> lists_;
  std::deque<timestamp> recent_reads_;
  std::deque<timestamp> recent_writes_;
};

}  // namespace wist::stand_ins

#endif  // STAND_INS_PLATFORM_PLATFORM_MODEL_H_
