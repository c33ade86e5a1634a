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

// Waiting requests. More important ones come first; among equals, workspaces
// are served in proportion to their shares, counted in tokens.
class fair_queue {
 public:
  enum class offer_answer { taken, blocked };

  void SetShare(const workspace_id& workspace, std::int32_t share_permille);

  void Push(const queued_request& queued);

  // Removes a request; returns whether it was queued.
  bool Remove(request_number number);

  // Offers the first request of each flow (workspace, service, priority) in
  // order. A taken one is removed and its flow goes on with the next; a
  // blocked flow is left for this time.
  void OfferAll(
      const std::function<offer_answer(const queued_request&)>& offer);

  // Charges tokens that a workspace was served.
  void Charge(const workspace_id& workspace, double tokens);

  // Removes and returns each request for which `drop` holds.
  std::vector<queued_request> Drop(
      const std::function<bool(const queued_request&)>& drop);

  std::size_t size() const { return size_; }

  // Requests that would be served before a new one of the given kind.
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
    double served = 0;  // Tokens over share.
  };

  account& AccountOf(const workspace_id& workspace);
  double LeastServed() const;
  bool HasWaiting(const workspace_id& workspace) const;
  void Order(std::vector<flow_key>& flows);
  std::vector<flow_key> OrderedFlows();

  std::map<flow_key, std::deque<queued_request>> flows_;
  std::map<workspace_id, account> accounts_;
  std::size_t size_ = 0;
};

}  // namespace wist

#endif  // ADMISSION_INTERNAL_FAIR_QUEUE_H_
