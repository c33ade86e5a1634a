#ifndef ENTRY_INTERNAL_EXCHANGE_RECORD_H_
#define ENTRY_INTERNAL_EXCHANGE_RECORD_H_

#include <string>

#include "entry/entry_module.h"
#include "verdict/verdict_types.h"

namespace wist {

// What the audit log tells of one request. Written when it ends.
struct exchange_record {
  std::string request_id;
  std::string kind;  // "generation", "plain" or "resume".
  std::string workspace;
  std::string service;
  std::string key;
  std::string nonce;
  std::string generation;
  std::string target;
  int dispatches = 0;
  std::int64_t first_offset = 0;
  std::int64_t tokens = 0;
  run_verdict verdict = run_verdict::not_run;
  std::string result = "ok";  // "ok", "replayed" or an error code.
};

// Writes the records of an instance.
class record_writer {
 public:
  record_writer(const entry_service_settings& settings,
                std::shared_ptr<i_logger> logger)
      : settings_(settings), logger_(std::move(logger)) {}

  // Written before a request is sent to a target.
  void Dispatch(const exchange_record& record,
                const target_spec& target,
                std::int64_t configuration_version) const;

  // Written once for each request, whatever became of it.
  void Request(const exchange_record& record) const;

 private:
  const entry_service_settings settings_;
  const std::shared_ptr<i_logger> logger_;
};

}  // namespace wist

#endif  // ENTRY_INTERNAL_EXCHANGE_RECORD_H_
