#include "entry/internal/audit_record.h"

namespace wist {

void audit_log_writer::LogDispatch(const audit_record& record,
                                   const target_spec& target,
                                   std::int64_t configuration_version) const {
  logger_->Write(log_level::audit, "dispatch",
                 {{"request", record.request_id},
                  {"kind", record.kind},
                  {"key", record.key},
                  {"nonce", record.nonce},
                  {"generation", record.generation},
                  {"target", target.id.text()},
                  {"target_domain", target.domain.text()},
                  {"domain", settings_.domain},
                  {"configuration", configuration_version}});
}

void audit_log_writer::LogRequest(const audit_record& record) const {
  logger_->Write(log_level::audit, "request",
                 {{"request", record.request_id},
                  {"kind", record.kind},
                  {"workspace", record.workspace},
                  {"service", record.service},
                  {"key", record.key},
                  {"nonce", record.nonce},
                  {"generation", record.generation},
                  {"target", record.target},
                  {"dispatches", static_cast<std::int64_t>(record.dispatches)},
                  {"first_offset", record.first_offset},
                  {"tokens", record.tokens},
                  {"verdict", std::string(VerdictName(record.verdict))},
                  {"result", record.result}});
}

}  // namespace wist
