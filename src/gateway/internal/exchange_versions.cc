#include <algorithm>

#include "gateway/internal/exchange.h"

// What an exchange reports of the versions of its service, and how a roll-out
// moves its run.
namespace wist {

std::vector<version_constraint> exchange::VersionConstraints() const {
  return services_.VersionConstraints(routed_.service, request_.id,
                                      avoids_new_version_);
}

bool exchange::MayUseVersion(const std::string& version) const {
  const auto constraints = VersionConstraints();
  return std::any_of(constraints.begin(), constraints.end(),
                     [&](const version_constraint& constraint) {
                       return constraint.Allows(version);
                     });
}

// Whether the target's speed is a sample of its version.
bool exchange::IsTimed(const target_entry& target, timestamp now) const {
  const known_target* known = services_.directory.Find(target.id);
  if (!known || known->leaving || now < known->cold_deadline)
    return false;
  return target.domain == services_.settings.domain ||
         !services_.selector.IsBorderSuspect(now);
}

// The first event of a stream, or the end of another response.
void exchange::RecordResponse() {
  if (!services_.versions || attempt_->is_sampled)
    return;
  attempt_->is_sampled = true;
  response_sample sample;
  const timestamp now = services_.scheduler.Now();
  if (attempt_->is_timed && IsTimed(attempt_->target, now))
    sample.latency = now - attempt_->sent_at;
  services_.versions->OnResponse(Route(), attempt_->target, sample);
}

// A response that the target rejects as not run is no sample, nor is one that
// this instance or its caller has ended.
void exchange::RecordEnd(run_end end) {
  if (!services_.versions || !attempt_->counts)
    return;
  switch (end) {
    case run_end::completed:
      return RecordResponse();
    case run_end::failed:
    case run_end::broken:
    case run_end::timed_out:
      services_.versions->OnResponse(Route(), attempt_->target,
                                     {true, std::nullopt});
      avoids_new_version_ = true;
      return;
    case run_end::rejected:
    case run_end::unreachable:
    case run_end::cancelled:
      return;
  }
}

void exchange::OnVersionsChanged() {
  if (!finished_ && attempt_ && services_.IsBeingLeft(attempt_->target))
    OnTargetLeaving(attempt_->target.id);
}

}  // namespace wist
