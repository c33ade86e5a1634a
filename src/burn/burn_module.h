#ifndef BURN_BURN_MODULE_H_
#define BURN_BURN_MODULE_H_

#include <string>
#include <vector>

#include "burn/burn_types.h"

namespace wist {

// Adds the counters of one instance's metrics text to `sample`. Limits come
// from the services' objectives; a limit between two histogram bounds is
// taken at the next lower one.
void AddMetrics(const std::string& metrics_text,
                const std::vector<service_spec>& services,
                burn_sample& sample);

// Returns the burn between two samples.
std::vector<burn_row> BurnRows(const burn_sample& before,
                               const burn_sample& after,
                               const std::vector<service_spec>& services,
                               std::int64_t window_seconds);

std::string BurnTable(const std::vector<burn_row>& rows);
std::string BurnJson(const std::vector<burn_row>& rows);

// Returns a page that needs nothing else, with bars for burn and stall.
std::string BurnHtml(const std::vector<burn_row>& rows);

}  // namespace wist

#endif  // BURN_BURN_MODULE_H_
