#ifndef VERDICT_VERDICT_TYPES_H_
#define VERDICT_VERDICT_TYPES_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "framework/base/time_types.h"

namespace wist {

// Says whether a request may have run on a target.
enum class run_verdict {
  not_run,       // No byte of it reached a target.
  may_have_run,  // It reached a target, or a record of its claim exists.
  ran,           // A target answered it.
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

// Returns the HTTP status a caller sees for `code`.
int HttpStatus(error_code code);

// A request that ends without its answer.
class request_error : public std::runtime_error {
 public:
  request_error(error_code code, run_verdict verdict, const std::string& text)
      : std::runtime_error(text), code_(code), verdict_(verdict) {}
  request_error(error_code code,
                run_verdict verdict,
                const std::string& text,
                calendar_time retry_at)
      : std::runtime_error(text),
        code_(code),
        verdict_(verdict),
        retry_at_(retry_at) {}

  error_code code() const { return code_; }
  run_verdict verdict() const { return verdict_; }

  // The time from which a retry may succeed.
  std::optional<calendar_time> retry_at() const { return retry_at_; }

 private:
  error_code code_;
  run_verdict verdict_;
  std::optional<calendar_time> retry_at_;
};

}  // namespace wist

#endif  // VERDICT_VERDICT_TYPES_H_
