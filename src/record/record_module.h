#ifndef RECORD_RECORD_MODULE_H_
#define RECORD_RECORD_MODULE_H_

#include <string>
#include <string_view>
#include <vector>

#include "record/record_types.h"

namespace wist {

std::string_view FindingName(finding_kind kind);

// Checks the log lines of all instances, in any order. A dispatch into a
// domain counts as a finding if that domain was out for longer than
// `grace_ms` in the log of the instance that heard of it first.
audit_report Audit(const std::vector<std::string>& lines,
                   std::int64_t grace_ms);

}  // namespace wist

#endif  // RECORD_RECORD_MODULE_H_
