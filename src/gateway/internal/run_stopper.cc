#include "gateway/internal/run_stopper.h"

#include <utility>

namespace wist {
namespace {

// A target stops the run before it copies anything, so that its response, which
// may wait behind other copies, is not worth a longer pause in the stream.
constexpr milliseconds kMaxConfirmationWait{100};

constexpr milliseconds kConnectTimeout{300};
constexpr milliseconds kRetryInterval{60};

// Bounds the load on a target that refuses or cannot be reached.
constexpr int kMaxStopRequests = 16;

// The response waits for copies that other runs have queued.
constexpr milliseconds kMaxResponseTime{8000};

// Responses carry no id, so that an earlier one on a connection in use again
// could not be told from them.
constexpr milliseconds kMaxIdle{0};

constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

run_stopper::run_stopper(gateway_services& services,
                         std::string request_id,
                         target_entry source,
                         http_address receiver,
                         std::string used_handle,
                         std::function<void()> on_continue)
    : services_(services),
      request_id_(std::move(request_id)),
      source_(std::move(source)),
      receiver_(std::move(receiver)),
      used_handle_(std::move(used_handle)),
      started_at_(services.scheduler.Now()),
      on_continue_(std::move(on_continue)) {}

void run_stopper::Start() {
  // The timer is destroyed by Continue, at the latest when it fires.
  continue_timer_ = services_.scheduler.RunAt(
      started_at_ + kMaxConfirmationWait,
      [self = shared_from_this()] { self->Continue(); });
  RequestStop();
}

void run_stopper::RequestStop() {
  ++request_count_;
  call_ = buffered_call::Start(
      services_.caller, services_.scheduler, source_.address,
      services_.dialect.EncodeMoveRequest(
          source_, {request_id_, receiver_, /*stops_run=*/true}),
      {kConnectTimeout, kMaxResponseTime, kMaxIdle, kMaxMoveResponseBytes},
      [self = shared_from_this()](std::optional<buffered_response> response) {
        const auto call = std::exchange(self->call_, nullptr);
        if (!response)
          return self->OnNoResponse(call->HasFailedToConnect());
        self->services_.OnTargetSignals(
            self->source_,
            self->services_.dialect.DecodeSignals(response->head),
            self->request_id_);
        self->OnResponse(self->services_.dialect.DecodeMoveResponse(
            response->head.status, response->body));
      });
}

void run_stopper::OnNoResponse(bool connect_failed) {
  // The target has ended, or this instance cannot reach it. The run is not
  // held up by the latter; the stop is requested again.
  if (connect_failed)
    Continue();
  RetryOrGiveUp(connect_failed ? "unreachable" : "broken");
}

void run_stopper::OnResponse(const move_response& response) {
  // A refusal with a handle says that the run was stopped but not copied.
  const bool is_stopped = response.status == kOk ||
                          response.status == kNotFound ||
                          !response.handle.empty();
  if (!is_stopped)
    return RetryOrGiveUp(std::to_string(response.status));
  Log(response.status == kNotFound ? "had_ended" : "stopped");
  if (!response.handle.empty() && response.handle != used_handle_)
    ReleaseCopy(response.handle);
  Continue();
}

void run_stopper::RetryOrGiveUp(const std::string& outcome) {
  if (request_count_ >= kMaxStopRequests)
    return Log("unconfirmed: " + outcome);
  retry_timer_ = services_.scheduler.RunAt(
      services_.scheduler.Now() + kRetryInterval,
      [self = shared_from_this()] { self->RequestStop(); });
}

void run_stopper::ReleaseCopy(const std::string& handle) {
  buffered_call::Start(
      services_.caller, services_.scheduler, source_.address,
      services_.dialect.EncodeReleaseRequest(source_, handle),
      {kConnectTimeout, kMaxResponseTime, kMaxIdle, kMaxMoveResponseBytes},
      [](const std::optional<buffered_response>&) {
        // Targets free unused copies themselves after some
        // time.
      });
}

void run_stopper::Continue() {
  continue_timer_.reset();
  if (const auto on_continue = std::exchange(on_continue_, nullptr))
    on_continue();
}

void run_stopper::Log(const std::string& outcome) {
  services_.logger.Write(
      log_level::info, "run_stop",
      {{"request_id", request_id_},
       {"target", source_.id.text()},
       {"outcome", outcome},
       {"requests", static_cast<std::int64_t>(request_count_)},
       {"took_ms", ToMilliseconds(services_.scheduler.Now() - started_at_)}});
}

}  // namespace wist
