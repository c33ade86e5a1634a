#ifndef CONFIGURATION_CONFIGURATION_MODULE_H_
#define CONFIGURATION_CONFIGURATION_MODULE_H_

#include <memory>

#include "configuration/i_configuration_holder.h"

namespace wist {

std::shared_ptr<i_configuration_holder> MakeConfigurationHolder();

}  // namespace wist

#endif  // CONFIGURATION_CONFIGURATION_MODULE_H_
