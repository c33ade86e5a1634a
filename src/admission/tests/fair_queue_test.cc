#include "admission/internal/fair_queue.h"

#include <catch2/catch.hpp>
#include <map>

namespace wist {
namespace {

queued_request MakeQueued(request_number number,
                          const std::string& workspace,
                          std::int32_t priority = 1) {
  queued_request queued;
  queued.number = number;
  queued.request.workspace = workspace_id(workspace);
  queued.request.service = service_id("briefs");
  queued.request.priority = priority;
  return queued;
}

// Accepts up to `count` requests and charges 100 tokens for each.
std::vector<request_number> AcceptUpTo(fair_queue& queue, int count) {
  std::vector<request_number> accepted;
  queue.OfferAll([&](const queued_request& queued) {
    if (static_cast<int>(accepted.size()) == count)
      return fair_queue::offer_result::blocked;
    accepted.push_back(queued.number);
    queue.Charge(queued.request.workspace, 100);
    return fair_queue::offer_result::accepted;
  });
  return accepted;
}

}  // namespace

TEST_CASE("workspaces are served in proportion to their shares") {
  fair_queue queue;
  queue.SetShare(workspace_id("large"), 300);
  queue.SetShare(workspace_id("small"), 100);
  for (request_number i = 0; i < 100; ++i) {
    queue.Push(MakeQueued(i, "large"));
    queue.Push(MakeQueued(1000 + i, "small"));
  }
  int from_large = 0;
  for (request_number number : AcceptUpTo(queue, 80))
    from_large += number < 1000 ? 1 : 0;
  CHECK(from_large == Approx(60).margin(2));
}

TEST_CASE("requests with a lower priority value are served first") {
  fair_queue queue;
  queue.Push(MakeQueued(1, "a", 2));
  queue.Push(MakeQueued(2, "b", 1));
  CHECK(AcceptUpTo(queue, 1) == std::vector<request_number>{2});
}

TEST_CASE("an idle workspace accumulates no credit") {
  fair_queue queue;
  queue.SetShare(workspace_id("a"), 100);
  queue.SetShare(workspace_id("b"), 100);
  for (request_number i = 0; i < 50; ++i)
    queue.Push(MakeQueued(i, "a"));
  AcceptUpTo(queue, 30);
  for (request_number i = 0; i < 50; ++i)
    queue.Push(MakeQueued(1000 + i, "b"));
  int from_b = 0;
  for (request_number number : AcceptUpTo(queue, 20))
    from_b += number >= 1000 ? 1 : 0;
  CHECK(from_b == Approx(10).margin(1));
}

TEST_CASE("requests can be removed") {
  fair_queue queue;
  queue.Push(MakeQueued(1, "a"));
  queue.Push(MakeQueued(2, "a"));
  CHECK(queue.Remove(1));
  CHECK_FALSE(queue.Remove(1));
  CHECK(queue.size() == 1);
  CHECK(AcceptUpTo(queue, 5) == std::vector<request_number>{2});
}

}  // namespace wist
