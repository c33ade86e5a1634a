#ifndef NODE_INTERNAL_LOAD_POLLER_H_
#define NODE_INTERNAL_LOAD_POLLER_H_

#include <optional>

#include "admission/admission_types.h"
#include "framework/base/i_clock.h"
#include "framework/http/i_http_client.h"

namespace wist {

// Asks one target for its load. Throws http_error; returns nothing for an
// answer that is not a load report.
std::optional<target_report> PollLoad(i_http_client& client,
                                      const i_clock& clock,
                                      const target_spec& target);

}  // namespace wist

#endif  // NODE_INTERNAL_LOAD_POLLER_H_
