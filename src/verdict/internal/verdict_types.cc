#include "verdict/verdict_types.h"

namespace wist {

std::string_view VerdictName(run_verdict verdict) {
  switch (verdict) {
    case run_verdict::not_run:
      return "not_run";
    case run_verdict::may_have_run:
      return "may_have_run";
    case run_verdict::ran:
      return "ran";
  }
  return "unknown";
}

std::string_view ErrorCodeName(error_code code) {
  switch (code) {
    case error_code::bad_request:
      return "bad_request";
    case error_code::body_too_large:
      return "body_too_large";
    case error_code::header_too_large:
      return "header_too_large";
    case error_code::request_timeout:
      return "request_timeout";
    case error_code::unknown_key:
      return "unknown_key";
    case error_code::unknown_workspace:
      return "unknown_workspace";
    case error_code::unknown_service:
      return "unknown_service";
    case error_code::no_route:
      return "no_route";
    case error_code::bad_resume_token:
      return "bad_resume_token";
    case error_code::generation_gone:
      return "generation_gone";
    case error_code::key_required:
      return "key_required";
    case error_code::key_too_old:
      return "key_too_old";
    case error_code::key_body_mismatch:
      return "key_body_mismatch";
    case error_code::claim_in_doubt:
      return "claim_in_doubt";
    case error_code::claim_store_unavailable:
      return "claim_store_unavailable";
    case error_code::workspace_limit:
      return "workspace_limit";
    case error_code::overloaded:
      return "overloaded";
    case error_code::deadline_exceeded:
      return "deadline_exceeded";
    case error_code::quarantined:
      return "quarantined";
    case error_code::target_failed:
      return "target_failed";
    case error_code::not_ready:
      return "not_ready";
    case error_code::stopping:
      return "stopping";
    case error_code::internal:
      return "internal";
  }
  return "unknown";
}

int HttpStatus(error_code code) {
  switch (code) {
    case error_code::header_too_large:
      return 431;
    case error_code::request_timeout:
      return 408;
    case error_code::unknown_key:
      return 401;
    case error_code::bad_request:
    case error_code::bad_resume_token:
    case error_code::key_required:
      return 400;
    case error_code::body_too_large:
      return 413;
    case error_code::unknown_workspace:
    case error_code::unknown_service:
      return 404;
    case error_code::generation_gone:
      return 410;
    case error_code::key_too_old:
    case error_code::key_body_mismatch:
    case error_code::claim_in_doubt:
      return 409;
    case error_code::workspace_limit:
      return 429;
    case error_code::quarantined:
      return 422;
    case error_code::target_failed:
      return 502;
    case error_code::deadline_exceeded:
      return 504;
    case error_code::no_route:
    case error_code::claim_store_unavailable:
    case error_code::overloaded:
    case error_code::not_ready:
    case error_code::stopping:
      return 503;
    case error_code::internal:
      return 500;
  }
  return 500;
}

}  // namespace wist
