#ifndef OPERATOR_API_I_OPERATOR_CLIENT_H_
#define OPERATOR_API_I_OPERATOR_CLIENT_H_

#include <string>

#include "framework/base/time_types.h"
#include "operator_api/operator_types.h"

namespace wist {

// What operators' programs use. Calls throw kv_unavailable if the platform's
// store cannot be reached.
class i_operator_client {
 public:
  virtual ~i_operator_client() = default;

  // Checks `body` and compares it with what is in force. Throws
  // configuration_refused.
  virtual change_plan Plan(const configuration_body& body,
                           timestamp deadline) = 0;

  // Puts exactly the plan in force, unless another change came since.
  virtual apply_result Apply(const change_plan& plan,
                             const std::string& author,
                             timestamp deadline) = 0;

  // Returns what is in force; version 0 if nothing is.
  virtual configuration_document Show(timestamp deadline) = 0;
};

}  // namespace wist

#endif  // OPERATOR_API_I_OPERATOR_CLIENT_H_
