#ifndef OPERATOR_API_OPERATOR_API_MODULE_H_
#define OPERATOR_API_OPERATOR_API_MODULE_H_

#include <memory>

#include "framework/base/i_clock.h"
#include "framework/http/http_types.h"
#include "operator_api/i_operator_client.h"
#include "store/i_kv_store.h"

namespace wist {

std::unique_ptr<i_operator_client> MakeOperatorClient(
    std::shared_ptr<i_kv_store> store,
    std::shared_ptr<const i_clock> clock);

// Returns a client for the platform at address `platform`. It uses the system
// clock.
std::unique_ptr<i_operator_client> ConnectOperatorClient(
    const http_address& platform);

}  // namespace wist

#endif  // OPERATOR_API_OPERATOR_API_MODULE_H_
