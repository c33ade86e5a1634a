#include "entry/internal/output_observer.h"

namespace wist {

void output_observer::OnToken(timestamp now) {
  if (!first_token_at_)
    first_token_at_ = now;
  if (has_settled_ || now < *first_token_at_ + kOutputSettlingTime)
    return;
  has_settled_ = true;
  limits_.OnOutput(generation_);
}

void output_observer::OnEnd() {
  limits_.OnResponse(generation_);
}

generation_identity output_observer::Suspects() const {
  return has_settled_ ? generation_identity{generation_.request_digest, ""}
                      : generation_;
}

}  // namespace wist
