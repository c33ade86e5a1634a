#ifndef APPS_WISTERIATALLY_GATEWAY_COMMAND_H_
#define APPS_WISTERIATALLY_GATEWAY_COMMAND_H_

namespace wist {

// Runs as a gateway on the platform, configured by the platform's settings
// file. Returns the exit code.
int RunGateway();

}  // namespace wist

#endif  // APPS_WISTERIATALLY_GATEWAY_COMMAND_H_
