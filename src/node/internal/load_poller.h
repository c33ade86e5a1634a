#ifndef NODE_INTERNAL_LOAD_POLLER_H_
#define NODE_INTERNAL_LOAD_POLLER_H_

#include <optional>

#include "admission/admission_types.h"
#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"

namespace wist {

// Queries the load of `target`. Returns std::nullopt if the response is not a
// valid load report. Throws http_error if the call fails.
std::optional<target_report> PollLoad(i_http_client& client,
                                      const i_clock& clock,
                                      const target_spec& target);

}  // namespace wist

#endif  // NODE_INTERNAL_LOAD_POLLER_H_
