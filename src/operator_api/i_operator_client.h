#ifndef OPERATOR_API_I_OPERATOR_CLIENT_H_
#define OPERATOR_API_I_OPERATOR_CLIENT_H_

#include <string>

#include "framework/base/time_types.h"
#include "operator_api/operator_types.h"

namespace wist {

// Reads and changes the configuration on the platform, for operators' programs.
// Calls throw kv_unavailable if the platform's store is unreachable.
class i_operator_client {
 public:
  virtual ~i_operator_client() = default;

  // Validates `body` and compares it with the configuration in force. Throws
  // configuration_refused if it is invalid.
  virtual change_plan Plan(const configuration_body& body,
                           timestamp deadline) = 0;

  // Puts exactly the planned configuration in force, unless another change was
  // applied since the plan was made.
  virtual apply_result Apply(const change_plan& plan,
                             const std::string& author,
                             timestamp deadline) = 0;

  // Returns the configuration in force; its version is 0 if there is none.
  virtual configuration_document Show(timestamp deadline) = 0;
};

}  // namespace wist

#endif  // OPERATOR_API_I_OPERATOR_CLIENT_H_
