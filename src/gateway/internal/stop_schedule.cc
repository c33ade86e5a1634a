#include "gateway/internal/stop_schedule.h"

namespace wist {
namespace {

// The load balancer checks readiness once a second and needs two failed checks
// to stop sending traffic.
constexpr milliseconds kAcceptDuration{2600};

// Leaves time to send the last answers.
constexpr milliseconds kAnswerMargin{400};

// The process exits this long before it would be killed.
constexpr milliseconds kExitMargin{150};

}  // namespace

stop_schedule MakeStopSchedule(timestamp signalled_at,
                               milliseconds stop_limit) {
  return {signalled_at + kAcceptDuration,
          signalled_at + stop_limit - kAnswerMargin,
          signalled_at + stop_limit - kExitMargin};
}

stop_step NextStopStep(const stop_schedule& schedule,
                       timestamp now,
                       std::size_t open_channels) {
  if (now >= schedule.exit_deadline)
    return stop_step::exit;
  if (now >= schedule.accept_deadline && open_channels == 0)
    return stop_step::exit;
  if (now >= schedule.answer_deadline)
    return stop_step::answer;
  return now >= schedule.accept_deadline ? stop_step::drain : stop_step::accept;
}

}  // namespace wist
