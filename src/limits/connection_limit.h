#ifndef LIMITS_CONNECTION_LIMIT_H_
#define LIMITS_CONNECTION_LIMIT_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "framework/base/time_types.h"

namespace wist {

// What a connection to an instance waits for.
enum class connection_phase {
  closing,     // It was answered and waits for its remote end to close.
  silent,      // Nothing has arrived on it.
  idle,        // Between two requests.
  receiving,   // A request is arriving.
  responding,  // A request is in progress.
};

struct connection_progress {
  connection_phase phase = connection_phase::silent;
  // When the phase began.
  timestamp since;
};

// Returns the position of the connection to close so that another one can be
// accepted at the limit; nullopt if all are responding, or receive a request
// that has just begun.
std::optional<std::size_t> ChooseConnectionToClose(
    const std::vector<connection_progress>& connections,
    timestamp now);

}  // namespace wist

#endif  // LIMITS_CONNECTION_LIMIT_H_
