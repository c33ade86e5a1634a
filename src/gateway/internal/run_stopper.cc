#include "gateway/internal/run_stopper.h"

#include <utility>

namespace wist {
namespace {

constexpr milliseconds kConnectTimeout{300};

// Bounds the load on a target that refuses or cannot be reached.
constexpr int kMaxStopRequests = 16;

// The response waits for copies that other runs have queued.
constexpr milliseconds kMaxResponseTime{8000};

// Responses carry no id, so that an earlier one on a connection in use again
// could not be distinguished from them.
constexpr milliseconds kMaxIdle{0};

// A target that has copied a run names its handle.
constexpr char kHandleRule[] = "handle";

constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

run_stopper::run_stopper(gateway_services& services,
                         std::string request_id,
                         target_entry source,
                         http_address receiver,
                         result_handler on_result,
                         std::function<void()> on_end)
    : services_(services),
      request_id_(std::move(request_id)),
      source_(std::move(source)),
      receiver_(std::move(receiver)),
      started_at_(services.scheduler.Now()),
      on_result_(std::move(on_result)),
      on_end_(std::move(on_end)) {}

void run_stopper::Start() {
  RequestStop();
}

void run_stopper::Detach(std::string used_handle) {
  on_result_ = nullptr;
  on_end_ = nullptr;
  used_handle_ = std::move(used_handle);
}

void run_stopper::RequestStop() {
  ++request_count_;
  call_ = buffered_call::Start(
      services_.caller, services_.scheduler, source_.address,
      services_.dialect.EncodeMoveRequest(
          source_, {request_id_, receiver_, /*stops_run=*/true}),
      {kConnectTimeout,
       kMaxResponseTime,
       kMaxIdle,
       kMaxMoveResponseBytes,
       {source_.id.text(), request_id_}},
      [self = shared_from_this()](std::optional<buffered_response> response) {
        const auto call = std::exchange(self->call_, nullptr);
        // The call is null if this handler has thrown on its response.
        const bool connect_failed = call && call->HasFailedToConnect();
        self->OnResult(self->ResultOf(response, connect_failed),
                       response ? response->head.status : 0);
      });
}

stop_result run_stopper::ResultOf(
    const std::optional<buffered_response>& response,
    bool connect_failed) {
  if (!response) {
    return {connect_failed ? stop_outcome::unreachable : stop_outcome::broken,
            ""};
  }
  services_.OnTargetSignals(
      source_, services_.dialect.DecodeSignals(response->head), request_id_);
  const move_response decoded = services_.dialect.DecodeMoveResponse(
      response->head.status, response->body);
  if (decoded.status == kOk) {
    if (!decoded.handle.empty())
      return {stop_outcome::copied, decoded.handle};
    services_.on_invalid_response(
        {{source_.id.text(), request_id_}, kHandleRule});
    return {stop_outcome::broken, ""};
  }
  if (decoded.status == kNotFound)
    return {stop_outcome::had_ended, ""};
  // A refusal with a handle means that the run was stopped but not copied.
  if (!decoded.handle.empty())
    return {stop_outcome::kept, decoded.handle};
  return {stop_outcome::refused, ""};
}

void run_stopper::OnResult(const stop_result& result, int status) {
  const auto on_result = on_result_;
  const bool is_needed = on_result && on_result(result);
  if (!is_needed && !result.handle.empty() && result.handle != used_handle_)
    ReleaseCopy(services_, {source_, result.handle});
  switch (result.outcome) {
    case stop_outcome::copied:
    case stop_outcome::kept:
      Log("stopped");
      return End();
    case stop_outcome::had_ended:
      Log("had_ended");
      return End();
    case stop_outcome::refused:
      return RetryOrGiveUp(std::to_string(status));
    case stop_outcome::unreachable:
      return RetryOrGiveUp("unreachable");
    case stop_outcome::broken:
      return RetryOrGiveUp("broken");
  }
}

void run_stopper::RetryOrGiveUp(const std::string& outcome) {
  if (request_count_ >= kMaxStopRequests) {
    Log("unconfirmed: " + outcome);
    return End();
  }
  retry_timer_ = services_.scheduler.RunAt(
      services_.scheduler.Now() + kStopRetryInterval,
      [self = shared_from_this()] { self->RequestStop(); });
}

void run_stopper::End() {
  on_result_ = nullptr;
  if (const auto on_end = std::exchange(on_end_, nullptr))
    on_end();
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

void ReleaseCopy(gateway_services& services, const unused_copy& copy) {
  buffered_call::Start(
      services.caller, services.scheduler, copy.told_target.address,
      services.dialect.EncodeReleaseRequest(copy.told_target, copy.handle),
      {kConnectTimeout,
       kMaxResponseTime,
       kMaxIdle,
       kMaxMoveResponseBytes,
       {copy.told_target.id.text(), ""}},
      [](const std::optional<buffered_response>&) {
        // Targets free unused copies themselves after some time.
      });
}

}  // namespace wist
