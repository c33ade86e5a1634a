#ifndef ENTRY_INTERNAL_PLAIN_CALL_SERVICE_H_
#define ENTRY_INTERNAL_PLAIN_CALL_SERVICE_H_

#include <vector>

#include "entry/entry_module.h"
#include "entry/internal/audit_record.h"
#include "entry/internal/caller_request.h"

namespace wist {

// Calls plain services for callers. Thread-safe.
class plain_call_service {
 public:
  plain_call_service(const entry_service_settings& settings,
                     const entry_services& services);

  // Returns the service's response and fills in `record`. Throws request_error.
  http_response Run(const plain_request& request, audit_record& record);

 private:
  void CheckLimits(const plain_request& request) const;
  const service_spec& FindService(const configuration_body& body,
                                  const service_id& id) const;
  http_response RunWithClaim(const plain_request& request,
                             timestamp deadline,
                             audit_record& record);
  http_response RunWithRetries(const plain_request& request,
                               bool repeatable,
                               timestamp deadline,
                               audit_record& record);
  http_response CallTarget(const target_spec& target,
                           const plain_request& request,
                           timestamp deadline,
                           audit_record& record);

  const entry_service_settings settings_;
  const entry_services services_;
  const audit_log_writer audit_log_;
};

}  // namespace wist

#endif  // ENTRY_INTERNAL_PLAIN_CALL_SERVICE_H_
