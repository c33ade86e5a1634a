#ifndef ENTRY_INTERNAL_GENERATION_SERVICE_H_
#define ENTRY_INTERNAL_GENERATION_SERVICE_H_

#include <optional>
#include <vector>

#include "entry/entry_module.h"
#include "entry/internal/audit_record.h"
#include "entry/internal/caller_request.h"
#include "entry/internal/deferred_canceller.h"
#include "entry/internal/generation_stream.h"
#include "entry/internal/output_observer.h"
#include "entry/internal/token_sink.h"

namespace wist {

// Runs generations for callers. Thread-safe.
class generation_service {
 public:
  generation_service(const entry_service_settings& settings,
                     const entry_services& services);

  // Run or resume a generation and fill in `record`. They throw request_error
  // if the request is rejected, and http_client_disconnected if the caller
  // disconnected.
  void Run(const generation_request& request,
           audit_record& record,
           i_http_responder& responder);
  void Resume(const resume_point& point,
              audit_record& record,
              i_http_responder& responder);

 private:
  class admission_guard;

  void CheckLimits(const generation_request& request) const;
  [[noreturn]] void ThrowQuarantined(const generation_quarantine& found,
                                     run_verdict verdict) const;
  request_admitted Admit(const generation_request& request,
                         const std::vector<target_id>& excluded,
                         timestamp first_token_deadline,
                         run_verdict verdict) const;
  void RunOnTarget(const target_spec& target,
                   const generation_request& request,
                   const metric_labels& labels,
                   timestamp arrived_at,
                   admission_guard& guard,
                   output_observer& observer,
                   audit_record& record,
                   token_sink& sink);

  // `guard` and `observer` are null for a resumed generation, which was not
  // admitted here.
  void RelayTokens(generation_stream& stream,
                   const resume_point& generation,
                   const target_spec& target,
                   const metric_labels& labels,
                   timestamp arrived_at,
                   admission_guard* guard,
                   output_observer* observer,
                   audit_record& record,
                   token_sink& sink);

  // Returns if the request may be retried or if its stream was ended with an
  // error. Otherwise throws request_error.
  void HandleLostGeneration(const generation_lost& lost,
                            const generation_request& request,
                            const target_spec& target,
                            const output_observer& observer,
                            audit_record& record,
                            token_sink& sink) const;

  std::optional<target_spec> FindTarget(const target_id& id) const;

  const entry_service_settings settings_;
  const entry_services services_;
  const audit_log_writer audit_log_;
  deferred_canceller canceller_;
};

}  // namespace wist

#endif  // ENTRY_INTERNAL_GENERATION_SERVICE_H_
