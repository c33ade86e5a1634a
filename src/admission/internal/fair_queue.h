#ifndef ADMISSION_INTERNAL_FAIR_QUEUE_H_
#define ADMISSION_INTERNAL_FAIR_QUEUE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "admission/admission_types.h"

namespace wist {

struct queued_request {
  request_number number = 0;
  admission_request request;
};

// Weighted fair queue of requests. Requests with a lower priority value come
// first. Within a priority, workspaces are served in proportion to their
// shares, measured in tokens.
class fair_queue {
 public:
  enum class offer_result { accepted, blocked };

  void SetShare(const workspace_id& workspace, std::int32_t share_permille);

  void Push(const queued_request& queued);

  // Removes a request; returns whether it was queued.
  bool Remove(request_number number);

  // Offers the first request of each flow (workspace, service, priority) in
  // fair order. An accepted request is removed and its flow continues with the
  // next one. A blocked flow is skipped until the next call.
  void OfferAll(
      const std::function<offer_result(const queued_request&)>& offer);

  // Adds `tokens` to the service that the workspace has received.
  void Charge(const workspace_id& workspace, double tokens);

  // Removes and returns all requests that match `predicate`.
  std::vector<queued_request> RemoveMatching(
      const std::function<bool(const queued_request&)>& predicate);

  std::size_t size() const { return size_; }

  // Returns the number of queued requests that would be served before
  // `request`. The workspace must have been passed to SetShare, Push or
  // Charge before.
  std::size_t CountAhead(const admission_request& request) const;

 private:
  struct flow_key {
    std::int32_t priority = 0;
    workspace_id workspace;
    service_id service;
    auto operator<=>(const flow_key&) const = default;
  };
  struct account {
    double share = 1;
    // Tokens served, divided by the share.
    double normalized_service = 0;
  };

  account& AccountOf(const workspace_id& workspace);
  double MinNormalizedService() const;
  bool HasQueued(const workspace_id& workspace) const;
  void SortByPrecedence(std::vector<flow_key>& flows);
  std::vector<flow_key> FlowsInServiceOrder();

  std::map<flow_key, std::deque<queued_request>> flows_;
  std::map<workspace_id, account> accounts_;
  std::size_t size_ = 0;
};

}  // namespace wist

#endif  // ADMISSION_INTERNAL_FAIR_QUEUE_H_
