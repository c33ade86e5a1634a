#ifndef APPS_WISTCTL_ORDER_COMMAND_H_
#define APPS_WISTCTL_ORDER_COMMAND_H_

#include "apps/wistctl/control_command.h"

namespace wist {

// Sends an order to an engine. Returns 0 if the engine accepted it.
int RunOrder(const control_command& command);

}  // namespace wist

#endif  // APPS_WISTCTL_ORDER_COMMAND_H_
