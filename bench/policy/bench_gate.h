#ifndef BENCH_POLICY_BENCH_GATE_H_
#define BENCH_POLICY_BENCH_GATE_H_

#include <map>
#include <memory>

#include "admission/i_target_gate.h"
#include "coldstart/coldstart_module.h"

namespace wist::bench {

// Target gate of one simulated instance. The simulation sets the state that an
// entry instance would derive from the configuration and from gossip.
class bench_gate final : public i_target_gate {
 public:
  bench_gate(const domain_id& domain, timestamp started_at)
      : domain_(domain),
        cold_start_limiter(MakeColdStartLimiter({}, domain, started_at)) {}

  bool MayDispatch(const target_spec& target, timestamp now) const override {
    const auto closed = closes_at.find(target.domain);
    if (closed != closes_at.end() && now >= closed->second)
      return false;
    return !is_partitioned || target.domain == domain_;
  }

  std::int32_t ColdRequestLimit(const target_spec& target,
                                timestamp now) const override {
    return limits_cold_requests
               ? cold_start_limiter->RequestLimit(target.id, now)
               : 1'000'000;
  }

 private:
  const domain_id domain_;

 public:
  std::unique_ptr<i_cold_start_limiter> cold_start_limiter;
  // Times from which requests to a domain are no longer dispatched.
  std::map<domain_id, timestamp> closes_at;
  // Whether only targets of the instance's own domain are reachable.
  bool is_partitioned = false;
  bool limits_cold_requests = true;
};

}  // namespace wist::bench

#endif  // BENCH_POLICY_BENCH_GATE_H_
