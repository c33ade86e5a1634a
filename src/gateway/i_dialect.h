#ifndef GATEWAY_I_DIALECT_H_
#define GATEWAY_I_DIALECT_H_

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gateway/gateway_types.h"
#include "rollout/rollout_types.h"
#include "routing/routing_types.h"

namespace wist {

// Encodes and decodes the messages that callers, targets and the store of one
// deployment exchange with the gateway. Stateless.
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

  // Encodes the caller's request for another instance, with the time that is
  // left of its deadline and the version of this instance's configuration.
  virtual std::string EncodeRelay(const caller_request& request,
                                  milliseconds time_left,
                                  std::int64_t configuration) const = 0;

  // Whether the response belongs to the request with this id. `may_be_old`
  // means that it may be a repetition of an earlier response on the same
  // connection.
  virtual bool IsResponseTo(const http_response_head& head,
                            const std::string& request_id,
                            bool may_be_old) const = 0;
  // Whether the response states the id of a request.
  virtual bool NamesRequest(const http_response_head& head) const = 0;
  virtual response_classification ClassifyResponse(
      const http_response_head& head) const = 0;
  virtual target_signals DecodeSignals(
      const http_response_head& head) const = 0;

  // Returns the headers of a target's response to forward to the caller.
  virtual std::vector<http_header> CallerHeaders(
      const http_response_head& head) const = 0;
  virtual std::string EncodeMoveRequest(const target_entry& source,
                                        const move_request& move) const = 0;
  // Frees the copy that a move request has made.
  virtual std::string EncodeReleaseRequest(const target_entry& source,
                                           const std::string& handle) const = 0;
  virtual move_response DecodeMoveResponse(int status,
                                           const std::string& body) const = 0;

  // Store ----------------------------------------------------------------
  // Prefixes of the store keys that operators and targets write.
  virtual std::string OperatorPrefix() const = 0;
  virtual std::string TargetPrefix() const = 0;
  virtual bool IsConfigurationKey(const std::string& key) const = 0;

  // Returns the failure domain that the key marks as evacuated, if it is such a
  // key.
  virtual std::optional<domain_id> EvacuatedDomain(
      const std::string& key) const = 0;

  // Throws std::invalid_argument with a description of the error.
  virtual routing_configuration DecodeConfiguration(
      const std::string& value) const = 0;

  // Returns nullopt if the entry does not describe a usable target.
  virtual std::optional<target_entry> DecodeTarget(
      const std::string& key,
      const std::string& value) const = 0;
  virtual target_id TargetIdFromKey(const std::string& key) const = 0;

  // Returns the service whose roll-out request or status the key holds, if it
  // is such a key.
  virtual std::optional<service_id> RolloutRequestService(
      const std::string& key) const = 0;
  virtual std::optional<service_id> RolloutStatusService(
      const std::string& key) const = 0;
  virtual std::string RolloutRequestKey(const service_id& service) const = 0;
  virtual std::string RolloutStatusKey(const service_id& service) const = 0;
  virtual decoded_rollout_request DecodeRolloutRequest(
      const std::string& value) const = 0;
  virtual std::string EncodeRolloutStatus(
      const rollout_status& status) const = 0;

  // Returns nullopt if the value is no status.
  virtual std::optional<rollout_status> DecodeRolloutStatus(
      const std::string& value) const = 0;
};

}  // namespace wist

#endif  // GATEWAY_I_DIALECT_H_
