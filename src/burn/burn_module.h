#ifndef BURN_BURN_MODULE_H_
#define BURN_BURN_MODULE_H_

#include <string>
#include <vector>

#include "burn/burn_types.h"

namespace wist {

// Adds the counters from the Prometheus text of one instance to `sample`. The
// objectives of the services define which observations are in time. An
// objective between two histogram bucket bounds is rounded down to the lower
// one.
void AddMetrics(const std::string& metrics_text,
                const std::vector<service_spec>& services,
                burn_sample& sample);

// Returns the burn rates between two samples.
std::vector<burn_row> BurnRows(const burn_sample& before,
                               const burn_sample& after,
                               const std::vector<service_spec>& services,
                               std::int64_t window_seconds);

std::string BurnTable(const std::vector<burn_row>& rows);
std::string BurnJson(const std::vector<burn_row>& rows);

// Returns a self-contained HTML page with a bar for each burn rate.
std::string BurnHtml(const std::vector<burn_row>& rows);

}  // namespace wist

#endif  // BURN_BURN_MODULE_H_
