#include "rollout/rollout_types.h"

namespace wist {

const char* ToString(rollout_state state) {
  switch (state) {
    case rollout_state::running:
      return "running";
    case rollout_state::succeeded:
      return "succeeded";
    case rollout_state::rolled_back:
      return "rolled_back";
  }
  return "unknown";
}

const char* ToString(rollout_stage stage) {
  switch (stage) {
    case rollout_stage::canary:
      return "canary";
    case rollout_stage::shift:
      return "shift";
  }
  return "unknown";
}

const char* ToString(rollout_phase phase) {
  switch (phase) {
    case rollout_phase::none:
      return "none";
    case rollout_phase::canary:
      return "canary";
    case rollout_phase::only_new:
      return "only_new";
    case rollout_phase::only_old:
      return "only_old";
  }
  return "unknown";
}

const char* ToString(rollout_request_error error) {
  switch (error) {
    case rollout_request_error::malformed:
      return "malformed";
    case rollout_request_error::wrong_service:
      return "wrong_service";
    case rollout_request_error::unknown_service:
      return "unknown_service";
    case rollout_request_error::duration_not_positive:
      return "duration_not_positive";
    case rollout_request_error::duration_too_long:
      return "duration_too_long";
    case rollout_request_error::no_target_of_version:
      return "no_target_of_version";
    case rollout_request_error::only_version:
      return "only_version";
    case rollout_request_error::all_domains_evacuated:
      return "all_domains_evacuated";
  }
  return "unknown";
}

}  // namespace wist
