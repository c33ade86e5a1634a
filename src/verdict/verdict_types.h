#ifndef VERDICT_VERDICT_TYPES_H_
#define VERDICT_VERDICT_TYPES_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "framework/base/time_types.h"

namespace wist {

// Whether a request may have been executed by a target.
enum class run_verdict {
  not_run,       // No byte of the request reached a target.
  may_have_run,  // It reached a target, or a claim for it is stored.
  ran,           // A target sent a response.
};

enum class error_code {
  bad_request,
  body_too_large,
  header_too_large,
  request_timeout,
  unknown_key,
  unknown_workspace,
  unknown_service,
  no_route,
  bad_resume_token,
  generation_gone,
  key_required,
  key_too_old,
  key_body_mismatch,
  claim_in_doubt,
  claim_store_unavailable,
  workspace_limit,
  overloaded,
  deadline_exceeded,
  quarantined,
  target_failed,
  not_ready,
  stopping,
  internal,
};

std::string_view VerdictName(run_verdict verdict);
std::string_view ErrorCodeName(error_code code);

// Returns the HTTP status sent to the caller for `code`.
int HttpStatus(error_code code);

// Thrown when a request fails before its response is complete.
class request_error : public std::runtime_error {
 public:
  request_error(error_code code,
                run_verdict verdict,
                const std::string& message)
      : std::runtime_error(message), code_(code), verdict_(verdict) {}
  request_error(error_code code,
                run_verdict verdict,
                const std::string& message,
                calendar_time retry_at)
      : std::runtime_error(message),
        code_(code),
        verdict_(verdict),
        retry_at_(retry_at) {}

  error_code code() const { return code_; }
  run_verdict verdict() const { return verdict_; }

  // The earliest time at which a retry may succeed, if known.
  std::optional<calendar_time> retry_at() const { return retry_at_; }

 private:
  error_code code_;
  run_verdict verdict_;
  std::optional<calendar_time> retry_at_;
};

}  // namespace wist

#endif  // VERDICT_VERDICT_TYPES_H_
