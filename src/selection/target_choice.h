#ifndef SELECTION_TARGET_CHOICE_H_
#define SELECTION_TARGET_CHOICE_H_

#include <cstddef>
#include <functional>
#include <random>
#include <vector>

#include "directory/directory_types.h"

namespace wist {

// A target that can take a request.
struct choice_candidate {
  const known_target* target = nullptr;
  double cost = 0;
  // By how much the cost rises with each request that the target receives.
  double cost_per_run = 0;
  // Whether the target is in the preferred failure domain.
  bool is_near = true;
};

// Requests that other instances are expected to have sent to the candidates
// since the loads in the costs were observed.
struct unseen_starts {
  double near = 0;  // From instances that prefer the same domain.
  double far = 0;   // From all others.
};

// Chooses one of at least one candidates; returns its index.
using target_chooser =
    std::function<std::size_t(const std::vector<choice_candidate>& candidates,
                              const unseen_starts& unseen,
                              std::minstd_rand& random)>;

// Assumes that the other instances distribute the unseen requests so that the
// costs of the cheapest candidates become equal, and chooses each candidate
// with a probability proportional to the number of requests that it receives
// then. With few unseen requests this is the cheapest candidate.
std::size_t ChooseByExpectedStarts(
    const std::vector<choice_candidate>& candidates,
    const unseen_starts& unseen,
    std::minstd_rand& random);

}  // namespace wist

#endif  // SELECTION_TARGET_CHOICE_H_
