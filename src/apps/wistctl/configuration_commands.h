#ifndef APPS_WISTCTL_CONFIGURATION_COMMANDS_H_
#define APPS_WISTCTL_CONFIGURATION_COMMANDS_H_

#include "apps/wistctl/control_command.h"

namespace wist {

// Run the command of that name and return the exit code.
int RunPlan(const control_command& command);
int RunApply(const control_command& command);
int RunShow(const control_command& command);
int RunHistory(const control_command& command);
int RunDomain(const control_command& command);
int RunTarget(const control_command& command);

}  // namespace wist

#endif  // APPS_WISTCTL_CONFIGURATION_COMMANDS_H_
