#ifndef NODE_NODE_MODULE_H_
#define NODE_NODE_MODULE_H_

#include <memory>
#include <string>
#include <vector>

#include "claims/i_claim_registry.h"
#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"
#include "framework/keys/i_keyring.h"
#include "framework/logging/i_logger.h"
#include "node/i_node.h"
#include "store/i_instance_list.h"
#include "store/i_kv_store.h"

namespace wist {

// Store key of the configuration document.
inline constexpr char kConfigurationKey[] = "wisteriatally/configuration";

struct node_settings {
  instance_id instance;
  domain_id domain;
  std::string peer_address;  // host:port
  std::vector<std::string> seed_peers;
  milliseconds poll_interval{250};
};

struct node_services {
  std::shared_ptr<const i_clock> clock;
  std::shared_ptr<i_http_client> http;
  std::shared_ptr<i_kv_store> store;
  std::shared_ptr<i_claim_registry> claims;
  std::shared_ptr<i_instance_list> instance_list;
  std::shared_ptr<const i_keyring> keys;
  std::shared_ptr<i_logger> logger;
};

// Creates a node and starts its threads.
std::unique_ptr<i_node> MakeNode(const node_settings& settings,
                                 const node_services& services);

}  // namespace wist

#endif  // NODE_NODE_MODULE_H_
