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
  // A workspace that was idle gets no credit for the time it did not ask.
  if (!HasWaiting(request.workspace)) {
    account& own = AccountOf(request.workspace);
    own.served = std::max(own.served, LeastServed());
  }
  flows_[{request.priority, request.workspace, request.service}].push_back(
      queued);
  ++size_;
}

bool fair_queue::HasWaiting(const workspace_id& workspace) const {
  return std::any_of(flows_.begin(), flows_.end(), [&](const auto& flow) {
    return flow.first.workspace == workspace;
  });
}

// Returns the least service among the workspaces that wait.
double fair_queue::LeastServed() const {
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [key, waiting] : flows_)
    least = std::min(least, accounts_.at(key.workspace).served);
  return std::isinf(least) ? 0 : least;
}

bool fair_queue::Remove(request_number number) {
  return !Drop([&](const queued_request& queued) {
            return queued.number == number;
          }).empty();
}

std::vector<queued_request> fair_queue::Drop(
    const std::function<bool(const queued_request&)>& drop) {
  std::vector<queued_request> dropped;
  for (auto it = flows_.begin(); it != flows_.end();) {
    std::erase_if(it->second, [&](const queued_request& queued) {
      if (!drop(queued))
        return false;
      dropped.push_back(queued);
      return true;
    });
    it = it->second.empty() ? flows_.erase(it) : std::next(it);
  }
  size_ -= dropped.size();
  return dropped;
}

void fair_queue::Order(std::vector<flow_key>& flows) {
  std::stable_sort(
      flows.begin(), flows.end(), [&](const flow_key& a, const flow_key& b) {
        if (a.priority != b.priority)
          return a.priority < b.priority;
        return AccountOf(a.workspace).served < AccountOf(b.workspace).served;
      });
}

std::vector<fair_queue::flow_key> fair_queue::OrderedFlows() {
  std::vector<flow_key> order;
  for (const auto& [key, waiting] : flows_)
    order.push_back(key);
  Order(order);
  return order;
}

void fair_queue::OfferAll(
    const std::function<offer_answer(const queued_request&)>& offer) {
  std::vector<flow_key> order = OrderedFlows();
  while (!order.empty()) {
    const flow_key key = order.front();
    std::deque<queued_request>& waiting = flows_[key];
    const bool taken = offer(waiting.front()) == offer_answer::taken;
    if (taken) {
      waiting.pop_front();
      --size_;
    }
    const bool empty = waiting.empty();
    if (empty)
      flows_.erase(key);
    if (!taken || empty) {
      order.erase(order.begin());
      continue;
    }
    // The workspace was charged: it may have to stand back now.
    Order(order);
  }
}

void fair_queue::Charge(const workspace_id& workspace, double tokens) {
  account& own = AccountOf(workspace);
  own.served += tokens / own.share;
}

std::size_t fair_queue::CountAhead(const admission_request& request) const {
  std::size_t count = 0;
  for (const auto& [key, waiting] : flows_) {
    if (key.priority < request.priority ||
        (key.priority == request.priority &&
         (key.workspace == request.workspace ||
          accounts_.at(key.workspace).served <=
              accounts_.at(request.workspace).served)))
      count += waiting.size();
  }
  return count;
}

}  // namespace wist
