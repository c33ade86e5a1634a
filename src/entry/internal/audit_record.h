#ifndef ENTRY_INTERNAL_AUDIT_RECORD_H_
#define ENTRY_INTERNAL_AUDIT_RECORD_H_

#include <string>

#include "entry/entry_module.h"
#include "verdict/verdict_types.h"

namespace wist {

// The audit log entry of one caller request, written when the request ends.
struct audit_record {
  std::string request_id;
  std::string kind;  // "generation", "plain" or "resume".
  std::string workspace;
  std::string service;
  std::string key;    // Idempotency key, if any.
  std::string nonce;  // Identifies the claim of the key, if any.
  std::string generation;
  std::string target;
  int dispatches = 0;
  std::int64_t first_offset = 0;
  std::int64_t tokens = 0;
  run_verdict verdict = run_verdict::not_run;
  std::string result = "ok";  // "ok", "replayed" or an error code.
};

// Writes the audit log of this instance.
class audit_log_writer {
 public:
  audit_log_writer(const entry_service_settings& settings,
                   std::shared_ptr<i_logger> logger)
      : settings_(settings), logger_(std::move(logger)) {}

  // Must be called before each attempt to send the request to a target.
  void LogDispatch(const audit_record& record,
                   const target_spec& target,
                   std::int64_t configuration_version) const;

  // Must be called exactly once for each request, whatever its outcome.
  void LogRequest(const audit_record& record) const;

 private:
  const entry_service_settings settings_;
  const std::shared_ptr<i_logger> logger_;
};

}  // namespace wist

#endif  // ENTRY_INTERNAL_AUDIT_RECORD_H_
