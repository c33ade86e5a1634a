#include <algorithm>
#include <map>
#include <optional>

#include "coldstart/coldstart_module.h"

namespace wist {
namespace {

class cold_steward final : public i_cold_steward {
 public:
  explicit cold_steward(const cold_settings& settings) : settings_(settings) {}

  void ApplyConfiguration(const configuration_body& body) override {
    std::map<domain_id, domain_spec> domains;
    for (const domain_spec& domain : body.domains)
      domains[domain.id] = domain;
    for (const target_spec& target : body.targets)
      targets_[target.id].pool = PooledPart(target, domains[target.domain]);
  }

  void OnLease(const kv_lease& lease, timestamp now) override {
    if (!lease_ || lease.fencing_number > lease_->fencing_number)
      StartEpoch(now);
    lease_ = lease;
  }

  void OnReport(const target_id& target,
                const target_report& report,
                timestamp now) override {
    const auto found = targets_.find(target);
    if (found == targets_.end())
      return;
    target_state& state = found->second;
    if (!report.cold) {
      // What is sent to a warm target needs no permit and is not counted.
      state.warm = true;
      state.unaccounted.reset();
      return;
    }
    if (state.warm) {
      state.warm = false;
      state.doubt_until = now + settings_.news_delay;
    }
    // A report from before the last doubtful moment may miss requests.
    if (report.taken_at < state.doubt_until)
      return;
    const std::int32_t total = report.running + report.waiting;
    state.unaccounted = std::min(state.unaccounted.value_or(total), total);
  }

  std::vector<cold_permit> Exchange(const instance_id& member,
                                    const std::vector<cold_request>& requests,
                                    timestamp now) override {
    std::vector<cold_permit> permits;
    for (const cold_request& request : requests)
      permits.push_back(Grant(member, request, now));
    return permits;
  }

 private:
  struct outstanding_permit {
    std::int32_t count = 0;
    timestamp deadline;
  };

  struct target_state {
    std::int32_t pool = 0;
    bool warm = false;
    // Bound on the requests that run there without a permit of this epoch;
    // nothing until a report tells.
    std::optional<std::int32_t> unaccounted;
    timestamp doubt_until;
    std::map<instance_id, outstanding_permit> outstanding;
  };

  void StartEpoch(timestamp now) {
    for (auto& [id, state] : targets_) {
      state.unaccounted.reset();
      state.doubt_until = now + settings_.news_delay;
      state.outstanding.clear();
    }
  }

  // Requests under a permit that was not renewed may go on running.
  void MoveLapsed(target_state& state, timestamp now) {
    for (auto it = state.outstanding.begin(); it != state.outstanding.end();) {
      if (it->second.deadline > now) {
        ++it;
        continue;
      }
      if (state.unaccounted && it->second.count > 0) {
        *state.unaccounted += it->second.count;
        state.doubt_until = now + settings_.margin;
      }
      it = state.outstanding.erase(it);
    }
  }

  cold_permit Grant(const instance_id& member,
                    const cold_request& request,
                    timestamp now) {
    cold_permit permit;
    permit.target = request.target;
    if (!lease_ || now + settings_.margin >= lease_->deadline)
      return permit;
    const auto found = targets_.find(request.target);
    if (found == targets_.end())
      return permit;
    target_state& state = found->second;
    MoveLapsed(state, now);
    if (!state.unaccounted)
      return permit;
    std::int32_t held_by_others = 0;
    for (const auto& [id, held] : state.outstanding) {
      if (id != member)
        held_by_others += held.count;
    }
    const std::int32_t room =
        std::max(0, state.pool - *state.unaccounted - held_by_others);
    const std::int32_t asked =
        std::max(0, request.running) + std::max(0, request.wanted);
    permit.count = std::min(asked, room);
    permit.epoch = lease_->fencing_number;
    const microseconds lease_left = lease_->deadline - now - settings_.margin;
    permit.valid_for =
        std::min(settings_.permit_validity,
                 std::chrono::duration_cast<milliseconds>(lease_left));
    // What runs already stays counted even where it is over the permit.
    outstanding_permit& held = state.outstanding[member];
    held.count = std::max(permit.count, request.running);
    held.deadline = now + settings_.permit_validity + settings_.margin;
    return permit;
  }

  const cold_settings settings_;
  std::optional<kv_lease> lease_;
  std::map<target_id, target_state> targets_;
};

}  // namespace

std::unique_ptr<i_cold_steward> MakeColdSteward(const cold_settings& settings) {
  return std::make_unique<cold_steward>(settings);
}

}  // namespace wist
