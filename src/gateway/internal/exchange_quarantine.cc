#include "gateway/internal/exchange.h"

// What an exchange reports to the crash ledger, and how it treats a request
// that is subject to a quarantine.
namespace wist {
void exchange::RecordOutput() {
  const timestamp now = services_.scheduler.Now();
  if (has_settled_ || now < *attempt_->first_event_at + kOutputSettlingTime)
    return;
  has_settled_ = true;
  services_.crashes.OnOutput(fingerprint_, now);
}

run_fingerprint exchange::SuspectsOfBrokenRun() const {
  return has_settled_ ? run_fingerprint{fingerprint_.request, {}}
                      : fingerprint_;
}

std::optional<quarantine> exchange::FindQuarantine() const {
  return services_.crashes.FindQuarantine(fingerprint_,
                                          services_.scheduler.Now());
}

// A trial may reach one target only.
bool exchange::MayBeDispatched() const {
  return !IsQuarantined() ||
         (is_trial_ && dispatch_count_ == connect_failure_count_);
}

void exchange::OnQuarantined(const quarantine& refusing) {
  const bool is_claiming = services_.on_quarantined_request(
      refusing, [weak = weak_from_this()](bool is_claimed) {
        if (const auto self = weak.lock())
          self->OnTrialClaim(is_claimed);
      });
  if (!is_claiming)
    Refuse(error_code::quarantined, run_verdict::not_run);
}

void exchange::OnTrialClaim(bool is_claimed) {
  if (finished_)
    return;
  is_trial_ = is_claimed;
  Dispatch();
}

void exchange::OnCrashesChanged() {
  if (finished_ || !attempt_ || attempt_->first_event_at || is_trial_ ||
      fingerprint_.prompt_parts.empty())
    return;
  const auto refusing = FindQuarantine();
  if (!refusing || !services_.crashes.IsConfirmed(*refusing))
    return;
  // Most targets drop a run whose connection closes before they begin it.
  may_have_run_ = may_have_run_ || attempt_->call->MayHaveBeenSent();
  attempt_->call->Cancel();
  EndAttempt(run_end::cancelled);
  Refuse(error_code::quarantined,
         may_have_run_ ? run_verdict::may_have_run : run_verdict::not_run);
}

}  // namespace wist
