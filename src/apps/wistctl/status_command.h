#ifndef APPS_WISTCTL_STATUS_COMMAND_H_
#define APPS_WISTCTL_STATUS_COMMAND_H_

#include "apps/wistctl/control_command.h"

namespace wist {

// Returns 0 if every instance answered.
int RunStatus(const control_command& command);

// Prints the burn of the service-level objectives over the windows.
int RunBurn(const control_command& command);

}  // namespace wist

#endif  // APPS_WISTCTL_STATUS_COMMAND_H_
