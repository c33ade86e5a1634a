#include "admission/internal/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wist {

void fair_queue::SetShare(const workspace_id& workspace,
                          std::int32_t share_permille) {
  AccountOf(workspace).share = std::max(1, share_permille);
}

fair_queue::account& fair_queue::AccountOf(const workspace_id& workspace) {
  return accounts_[workspace];
}

void fair_queue::Push(const queued_request& queued) {
  const admission_request& request = queued.request;
  // Raises the service of a workspace that was idle to the minimum of the
  // queued ones, so that it accumulates no credit while it is idle.
  if (!HasQueued(request.workspace)) {
    account& workspace_account = AccountOf(request.workspace);
    workspace_account.normalized_service =
        std::max(workspace_account.normalized_service, MinNormalizedService());
  }
  flows_[{request.priority, request.workspace, request.service}].push_back(
      queued);
  ++size_;
}

bool fair_queue::HasQueued(const workspace_id& workspace) const {
  return std::any_of(flows_.begin(), flows_.end(), [&](const auto& flow) {
    return flow.first.workspace == workspace;
  });
}

// Returns the minimum among the workspaces with queued requests, or 0.
double fair_queue::MinNormalizedService() const {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [key, waiting] : flows_)
    least = std::min(least, accounts_.at(key.workspace).normalized_service);
  return std::isinf(least) ? 0 : least;
}

bool fair_queue::Remove(request_number number) {
  return !RemoveMatching([&](const queued_request& queued) {
            return queued.number == number;
          }).empty();
}

std::vector<queued_request> fair_queue::RemoveMatching(
    const std::function<bool(const queued_request&)>& predicate) {
  std::vector<queued_request> removed;
  for (auto it = flows_.begin(); it != flows_.end();) {
    std::erase_if(it->second, [&](const queued_request& queued) {
      if (!predicate(queued))
        return false;
      removed.push_back(queued);
      return true;
    });
    it = it->second.empty() ? flows_.erase(it) : std::next(it);
  }
  size_ -= removed.size();
  return removed;
}

void fair_queue::SortByPrecedence(std::vector<flow_key>& flows) {
  std::stable_sort(flows.begin(), flows.end(),
                   [&](const flow_key& a, const flow_key& b) {
                     if (a.priority != b.priority)
                       return a.priority < b.priority;
                     return AccountOf(a.workspace).normalized_service <
                            AccountOf(b.workspace).normalized_service;
                   });
}

std::vector<fair_queue::flow_key> fair_queue::FlowsInServiceOrder() {
  std::vector<flow_key> order;
  for (const auto& [key, waiting] : flows_)
    order.push_back(key);
  SortByPrecedence(order);
  return order;
}

void fair_queue::OfferAll(
    const std::function<offer_result(const queued_request&)>& offer) {
  std::vector<flow_key> order = FlowsInServiceOrder();
  while (!order.empty()) {
    const flow_key key = order.front();
    std::deque<queued_request>& waiting = flows_[key];
    const bool accepted = offer(waiting.front()) == offer_result::accepted;
    if (accepted) {
      waiting.pop_front();
      --size_;
    }
    const bool empty = waiting.empty();
    if (empty)
      flows_.erase(key);
    if (!accepted || empty) {
      order.erase(order.begin());
      continue;
    }
    // `offer` may have charged the workspace, so the order may have changed.
    SortByPrecedence(order);
  }
}

void fair_queue::Charge(const workspace_id& workspace, double tokens) {
  account& workspace_account = AccountOf(workspace);
  workspace_account.normalized_service += tokens / workspace_account.share;
}

std::size_t fair_queue::CountAhead(const admission_request& request) const {
  std::size_t count = 0;
  for (const auto& [key, waiting] : flows_) {
    if (key.priority < request.priority ||
        (key.priority == request.priority &&
         (key.workspace == request.workspace ||
          accounts_.at(key.workspace).normalized_service <=
              accounts_.at(request.workspace).normalized_service)))
      count += waiting.size();
  }
  return count;
}

}  // namespace wist
