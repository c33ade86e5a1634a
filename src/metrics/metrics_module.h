#ifndef METRICS_METRICS_MODULE_H_
#define METRICS_METRICS_MODULE_H_

#include <memory>

#include "metrics/i_metrics.h"

namespace wist {

std::shared_ptr<i_metrics> MakePrometheusMetrics();

}  // namespace wist

#endif  // METRICS_METRICS_MODULE_H_
