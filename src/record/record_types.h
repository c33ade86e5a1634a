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

// Something in the logs that must not be.
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
  // Requests and events of streams that gateways served.
  std::int64_t gateway_requests = 0;
  std::int64_t gateway_events = 0;
  // Requests of instances that ended before they could write the request's
  // line; their dispatches are counted here and are no finding.
  std::int64_t unfinished = 0;
  std::vector<audit_finding> findings;
};

}  // namespace wist

#endif  // RECORD_RECORD_TYPES_H_
