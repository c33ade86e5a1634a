#ifndef APPS_WISTCTL_AUDIT_COMMAND_H_
#define APPS_WISTCTL_AUDIT_COMMAND_H_

#include "apps/wistctl/control_command.h"

namespace wist {

// Audits the log files. Returns 0 if there is no finding.
int RunAudit(const control_command& command);

}  // namespace wist

#endif  // APPS_WISTCTL_AUDIT_COMMAND_H_
