#ifndef ENTRY_ENTRY_MODULE_H_
#define ENTRY_ENTRY_MODULE_H_

#include <memory>

#include "claims/i_claim_registry.h"
#include "entry/i_entry_service.h"
#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"
#include "framework/keys/i_keyring.h"
#include "framework/logging/i_logger.h"
#include "metrics/i_metrics.h"
#include "node/i_node.h"

namespace wist {

struct entry_service_settings {
  std::string instance;
  std::string domain;
  // Used if a request has no X-Deadline-Ms header.
  milliseconds default_first_token_timeout{10'000};
  // Enables the paths under /test/.
  bool test_hooks = false;
};

struct entry_services {
  std::shared_ptr<const i_clock> clock;
  std::shared_ptr<i_http_client> http;
  std::shared_ptr<const i_keyring> keys;
  std::shared_ptr<i_logger> logger;
  std::shared_ptr<i_metrics> metrics;
  std::shared_ptr<i_claim_registry> claims;
  std::shared_ptr<i_node> node;
};

std::unique_ptr<i_entry_service> MakeEntryService(
    const entry_service_settings& settings,
    const entry_services& services);

}  // namespace wist

#endif  // ENTRY_ENTRY_MODULE_H_
