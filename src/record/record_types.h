#ifndef RECORD_RECORD_TYPES_H_
#define RECORD_RECORD_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace wist {

enum class finding_kind {
  request_counted_twice,
  dispatch_without_request,
  key_ran_twice,
  false_not_run,
  dispatch_into_out_domain,
  tokens_not_in_order,
  ran_without_dispatch,
  configuration_went_back,
  unreadable_line,
};

// An inconsistency in the logs.
struct audit_finding {
  finding_kind kind = finding_kind::unreadable_line;
  std::string subject;
  std::string text;

  auto operator<=>(const audit_finding&) const = default;
};

struct audit_report {
  std::int64_t requests = 0;
  std::int64_t dispatches = 0;
  std::int64_t tokens = 0;
  std::int64_t keys = 0;
  // Requests that gateways served, and the stream events of these requests.
  std::int64_t gateway_requests = 0;
  std::int64_t gateway_events = 0;
  // Requests with a logged dispatch but no request line, because their instance
  // ended before it could write it. They are not findings.
  std::int64_t unfinished = 0;
  std::vector<audit_finding> findings;
};

}  // namespace wist

#endif  // RECORD_RECORD_TYPES_H_
