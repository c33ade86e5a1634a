#ifndef RECORD_RECORD_MODULE_H_
#define RECORD_RECORD_MODULE_H_

#include <string>
#include <string_view>
#include <vector>

#include "record/record_types.h"

namespace wist {

std::string_view FindingName(finding_kind kind);

// Checks the log lines of all instances, in any order, except that the lines of
// one gateway must be in the order in which it wrote them. A dispatch into a
// failure domain is a finding if it comes more than `grace_ms` after the first
// instance logged that the domain was out.
audit_report Audit(const std::vector<std::string>& lines,
                   std::int64_t grace_ms);

}  // namespace wist

#endif  // RECORD_RECORD_MODULE_H_
