#ifndef APPS_WISTCTL_STATUS_COMMAND_H_
#define APPS_WISTCTL_STATUS_COMMAND_H_

#include "apps/wistctl/control_command.h"

namespace wist {

// Prints the status of the instances. Returns 0 if all of them responded.
int RunStatus(const control_command& command);

// Prints the error budget burn of the service-level objectives over the
// windows.
int RunBurn(const control_command& command);

}  // namespace wist

#endif  // APPS_WISTCTL_STATUS_COMMAND_H_
