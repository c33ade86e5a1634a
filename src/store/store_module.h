#ifndef STORE_STORE_MODULE_H_
#define STORE_STORE_MODULE_H_

#include <memory>

#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"
#include "store/i_instance_list.h"
#include "store/i_kv_store.h"

namespace wist {

// `domain` is this instance's failure domain, which is sent with each request.
std::shared_ptr<i_kv_store> MakeHttpKvStore(
    std::shared_ptr<i_http_client> client,
    std::shared_ptr<const i_clock> clock,
    http_address address,
    const std::string& domain);

std::shared_ptr<i_instance_list> MakeHttpInstanceList(
    std::shared_ptr<i_http_client> client,
    http_address address,
    const std::string& domain);

}  // namespace wist

#endif  // STORE_STORE_MODULE_H_
