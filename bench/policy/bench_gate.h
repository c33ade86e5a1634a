#ifndef BENCH_POLICY_BENCH_GATE_H_
#define BENCH_POLICY_BENCH_GATE_H_

#include <map>
#include <memory>

#include "admission/i_target_gate.h"
#include "coldstart/coldstart_module.h"

namespace wist::bench {

// What one instance may send, as its node would tell it.
class bench_gate final : public i_target_gate {
 public:
  bench_gate(const domain_id& domain, timestamp started_at)
      : domain_(domain), allowance(MakeColdAllowance({}, domain, started_at)) {}

  bool MayDispatch(const target_spec& target, timestamp now) const override {
    const auto closed = closed_from.find(target.domain);
    if (closed != closed_from.end() && now >= closed->second)
      return false;
    return !cut_off || target.domain == domain_;
  }

  std::int32_t ColdAllowance(const target_spec& target,
                             timestamp now) const override {
    return guards_cold ? allowance->Allowance(target.id, now) : 1'000'000;
  }

 private:
  const domain_id domain_;

 public:
  std::unique_ptr<i_cold_allowance> allowance;
  std::map<domain_id, timestamp> closed_from;
  bool cut_off = false;
  bool guards_cold = true;
};

}  // namespace wist::bench

#endif  // BENCH_POLICY_BENCH_GATE_H_
