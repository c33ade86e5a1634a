#ifndef GATEWAY_I_DIALECT_H_
#define GATEWAY_I_DIALECT_H_

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gateway/gateway_types.h"
#include "routing/routing_types.h"

namespace wist {

// Translates between the product's types and the bytes that callers, targets
// and the store of one deployment speak. Has no state.
class i_dialect {
 public:
  virtual ~i_dialect() = default;

  // Callers --------------------------------------------------------------
  virtual std::variant<caller_request, error_code> DecodeRequest(
      http_request_message message) const = 0;
  virtual std::string EncodeRefusal(const std::string& request_id,
                                    const refusal& refused,
                                    bool keep_alive) const = 0;

  // Targets --------------------------------------------------------------
  virtual std::string EncodeDispatch(const caller_request& request,
                                     const target_dispatch& dispatch) const = 0;

  // Whether the answer belongs to the request with this id.
  virtual bool Answers(const http_answer_head& head,
                       const std::string& request_id) const = 0;
  virtual answer_facts Classify(const http_answer_head& head) const = 0;

  // Headers of a target's answer that its caller gets.
  virtual std::vector<http_header> CallerHeaders(
      const http_answer_head& head) const = 0;
  virtual std::string EncodeMove(const target_entry& source,
                                 const move_order& order) const = 0;
  virtual move_answer DecodeMove(int status, const std::string& body) const = 0;

  // Store ----------------------------------------------------------------
  virtual std::string OperatorPrefix() const = 0;
  virtual std::string TargetPrefix() const = 0;
  virtual bool IsConfigurationKey(const std::string& key) const = 0;

  // Returns the evacuated domain that the key stands for, if it does.
  virtual std::optional<domain_id> EvacuatedDomain(
      const std::string& key) const = 0;

  // Throws std::invalid_argument, with what is wrong.
  virtual routing_configuration DecodeConfiguration(
      const std::string& value) const = 0;

  // Returns nothing if the entry names no target to use.
  virtual std::optional<target_entry> DecodeTarget(
      const std::string& key,
      const std::string& value) const = 0;
  virtual target_id TargetOfKey(const std::string& key) const = 0;
};

}  // namespace wist

#endif  // GATEWAY_I_DIALECT_H_
