#ifndef BURN_INTERNAL_OBJECTIVE_LOOKUP_H_
#define BURN_INTERNAL_OBJECTIVE_LOOKUP_H_

#include <string>
#include <vector>

#include "configuration/configuration_types.h"

namespace wist {

// Returns the objective of a service, or the default objective for an unknown
// service.
inline objective_spec FindObjective(const std::vector<service_spec>& services,
                                    const std::string& service) {
  for (const service_spec& spec : services) {
    if (spec.id.text() == service)
      return spec.objective;
  }
  return {};
}

}  // namespace wist

#endif  // BURN_INTERNAL_OBJECTIVE_LOOKUP_H_
