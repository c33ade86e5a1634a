#ifndef CONFIGURATION_I_CONFIGURATION_HOLDER_H_
#define CONFIGURATION_I_CONFIGURATION_HOLDER_H_

#include <functional>
#include <memory>

#include "configuration/configuration_types.h"

namespace wist {

enum class update_result {
  accepted,   // Newer than the current document; subscribers were notified.
  unchanged,  // Equal to the current document.
  older,      // Lower version than the current document; ignored.
  fork,       // Same version with different content; ignored.
};

// Holds the configuration with the highest version received. The version never
// decreases. Thread-safe.
class i_configuration_holder {
 public:
  using subscriber =
      std::function<void(const std::shared_ptr<const configuration_document>&)>;

  virtual ~i_configuration_holder() = default;

  virtual update_result UpdateIfNewer(
      const configuration_document& document) = 0;

  // Returns the current configuration; null until one has been accepted.
  virtual std::shared_ptr<const configuration_document> Current() const = 0;

  // Calls `on_change` for each accepted document, in order of version.
  virtual void Subscribe(subscriber on_change) = 0;
};

}  // namespace wist

#endif  // CONFIGURATION_I_CONFIGURATION_HOLDER_H_
