#ifndef GATEWAY_INTERNAL_EXCHANGE_H_
#define GATEWAY_INTERNAL_EXCHANGE_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/internal/gateway_services.h"
#include "gateway/internal/i_response_writer.h"
#include "gateway/internal/request_routing.h"
#include "gateway/internal/run_continuation.h"
#include "gateway/internal/run_mover.h"
#include "gateway/internal/run_stopper.h"
#include "streams/event_splitter.h"

namespace wist {

// A response that is not a stream is buffered completely before it is
// forwarded; larger ones are aborted.
inline constexpr std::size_t kMaxBufferedResponseBytes = 8'388'608;

// One dispatch of a request to a target, with all that is received of the
// response.
struct target_attempt {
  target_entry target;
  run_number run = 0;
  std::shared_ptr<i_http_call> call;
  response_classification classification;
  http_response_head head;
  std::string body;
  // Of a stream; with the time at which the first event arrived.
  event_splitter splitter;
  std::optional<timestamp> first_event_at;
  // An event that states an id was received.
  bool has_event_id = false;
  // Memory of `body` or of an incomplete event. Null until there is any.
  std::unique_ptr<response_buffer> buffer;
  // Target that holds a backup copy of the run's KV cache.
  std::optional<target_entry> backup_target;
  run_number backup_run = 0;
  // Counts the run as open on its target's version.
  std::shared_ptr<void> open_run;
  timestamp sent_at;
  // Whether the time to its first event or end is a sample of its
  // target: not for a run that continues from a copy.
  bool is_timed = false;
  // The response was counted as one of its target's version.
  bool is_sampled = false;
  // Cleared if the attempt ends for a reason that is not its target's.
  bool counts = true;
  // Move the run after its first event.
  bool move_pending = false;
  std::shared_ptr<run_mover> mover;
};

// One dispatch of a request to another instance, since this one has no path to
// the targets.
struct relay_attempt {
  std::string instance;
  timestamp sent_at;
  std::shared_ptr<i_http_call> call;
  std::optional<http_response_head> head;
  // Set if the response is not a stream, which is forwarded as it arrives.
  bool is_buffered = false;
  std::string body;
  // Memory of `body`. Null until there is any.
  std::unique_ptr<response_buffer> buffer;
};

// The events that the caller was sent, of all runs of the request.
struct sent_events {
  std::int64_t count = 0;
  // The id of the last event that has one; nothing if there is none.
  std::optional<std::string> last_id;
};

// A run on its way from one target to another: from the request to stop it
// until its first event from elsewhere.
struct run_handover {
  run_handover(int handover_number, run_continuation run)
      : number(handover_number), continuation(std::move(run)) {}

  int number = 0;
  run_continuation continuation;
  // The source holds the run's copy until it continues elsewhere.
  std::shared_ptr<void> open_run;
  std::shared_ptr<run_stopper> stopper;
  // Targets chosen before are checked again from this time on.
  timestamp decision_deadline;
  // Set while the run waits for its source to stop.
  std::unique_ptr<i_timer> stop_timer;
  // What the latest request to stop the run has shown.
  std::optional<stop_outcome> last_stop_outcome;
  // The source refused the last request, and gets no further one.
  bool stays_at_source = false;
  // Whether the wait has been extended after a pause of the process.
  bool was_extended = false;
  bool was_sent = false;
  // Targets that broke off before their first event.
  std::set<target_id> broken_targets;
  // Why the last copy could not be used.
  std::string failure = "receiver_left";
};

// Handles one request from its arrival to the end of its response: selects
// targets, retries or moves the run, and responds to the caller.
class exchange : public std::enable_shared_from_this<exchange> {
 public:
  // `response_writer` has to stay valid until the exchange has finished or
  // OnCallerGone is called.
  exchange(gateway_services& services,
           caller_request request,
           i_response_writer& response_writer,
           std::function<void()> on_finished);
  ~exchange();

  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  void Start();

  // The caller disconnected: cancels all work for the request.
  void OnCallerGone();

  // This instance ends before the request can be completed.
  void OnStopDeadline();

  // The target accepts no new work and will shut down soon.
  void OnTargetLeaving(const target_id& target);

  // Ends a run that is about to crash its target.
  void OnCrashesChanged();

  // Moves a run whose target's version is being left.
  void OnVersionsChanged();

 private:
  const route_spec& Route() const;
  selection_request SelectionRequest() const;
  void Dispatch();
  void WaitForCapacity(const selection_error& error);
  void Send(const target_entry& target,
            const std::optional<kv_cache_location>& kv_cache);
  milliseconds TimeLeft(timestamp now) const;
  // Whether the request may run on more than one target.
  bool IsRepeatable() const;
  bool MayRetry() const;
  bool TryConsumeRetry();
  std::optional<quarantine> FindQuarantine() const;
  bool IsQuarantined() const { return FindQuarantine().has_value(); }
  bool MayBeDispatched() const;
  void OnQuarantined(const quarantine& refusing);
  void OnTrialClaim(bool is_claimed);
  run_fingerprint SuspectsOfBrokenRun() const;
  void RetryOnAnotherTarget(run_end end);

  std::vector<version_constraint> VersionConstraints() const;
  bool MayUseVersion(const std::string& version) const;
  bool IsTimed(const target_entry& target, timestamp now) const;
  void RecordResponse();
  void RecordEnd(run_end end);

  void OnHead(const http_response_head& head);
  void OnBody(std::string bytes);
  bool FollowsSentEvents(const event_batch& events) const;
  void OnInvalidBody(const std::string& rule);
  bool HoldBytes(std::size_t bytes);
  void OnResponseGivenUp();
  void RecordEventTimes();
  void RecordOutput();
  void OnCallEnd(call_outcome outcome);
  void OnResponseComplete();
  bool IsStreamBrokenOff() const;
  bool HasSecondResponse(std::string_view bytes) const;
  bool MayDispatchAgain(timestamp now) const;
  void OnRejected(bool reached_target);
  void OnFailure(run_end end);
  void AbortStream(const std::string& reason);
  void OnInternalError();
  void OnSlowAttempt();
  void OnDeadline();
  void EndUnfinished(error_code code, const std::string& stream_reason);
  void EndAttempt(run_end end);
  void LogBrokenAttempt(run_end end);

  bool CanMove() const;
  void StartMove();
  void OnMoveEnd(std::optional<moved_run> moved);
  void StartHandover(const target_entry& source, const run_copy& copy);
  // The silence of the source counts from `delay` after now.
  void ArmStopTimer(milliseconds delay = milliseconds(0));
  void OnStopTimer(timestamp deadline);
  bool OnStopResult(int number, const stop_result& result);
  void OnStopEnd(int number);
  bool IsWaitingForStop() const { return handover_ && !handover_->was_sent; }
  void OnSourceEnded();
  void TakeFromSource();
  bool MayUse(const run_copy& copy) const;
  void ContinueRun();
  void ContinueFrom(const run_copy& copy);
  void OnCopyUnusable(const std::string& reason);
  void EndHandover();
  void AssignBackup(target_dispatch& dispatch);
  bool ResumeFromBackup();
  bool ResumeFromOtherCopy();
  bool ResumeWithNewRun();

  bool MayTryDirectly(bool others_accept);

  // Sends the request through another instance. Returns false if it can't be,
  // which leaves the exchange unchanged.
  bool TryRelay();
  void SendRelay(const known_instance& instance);
  void OnRelayHead(const http_response_head& head);
  void OnRelayBody(const std::string& bytes);
  void OnRelayEnd(call_outcome outcome);
  // The instance did not accept the request.
  void OnRelayRejected();
  void OnRelayBroken();
  void ForwardRelayedResponse();
  void EndRelay(const std::string& outcome);
  bool MayHaveBeenSent() const;
  void CancelCalls();

  // Returns the headers of the response with this head, for the caller or for
  // the instance that relayed the request.
  std::vector<http_header> ResponseHeaders(
      const http_response_head& head) const;
  std::string EncodeResponse(const http_response_head& head,
                             const std::string& body) const;
  void ForwardResponse();
  void Refuse(error_code code, run_verdict verdict);
  bool IsRefusedByInstanceOnly(error_code code) const;
  void RefuseOverloaded(milliseconds retry_after);
  void Finish(const std::string& outcome,
              const std::string& reason,
              run_verdict verdict);
  void Log(const std::string& outcome,
           const std::string& reason,
           run_verdict verdict);

  gateway_services& services_;
  const caller_request request_;
  i_response_writer* response_writer_;
  std::function<void()> on_finished_;
  const timestamp received_at_;
  const run_fingerprint fingerprint_;
  // The route in `match` is null until the request has been routed.
  routed_request routed_;

  std::optional<target_attempt> attempt_;
  std::set<target_id> excluded_targets_;
  // Addresses to which the request was sent.
  std::set<http_address> used_addresses_;
  int dispatch_count_ = 0;
  int connect_failure_count_ = 0;
  int run_count_ = 0;  // Failed attempts that may have run.
  // A target in another failure domain could not be reached.
  bool failed_abroad_ = false;
  bool may_have_run_ = false;
  std::optional<relay_attempt> relay_;
  // Instances to which the request was sent, in order.
  std::vector<std::string> relay_instances_;
  // Sent to a target although the paths to the targets count as lost.
  bool is_direct_try_ = false;
  // The request failed on a target. It is not sent to the new version again.
  bool avoids_new_version_ = false;
  // Let through a quarantine, to see whether it still crashes targets.
  bool is_trial_ = false;
  // A target has produced output for long enough to show that the prompt does
  // not crash it.
  bool has_settled_ = false;
  bool stream_started_ = false;  // The stream's head was sent.
  bool finished_ = false;
  sent_events sent_events_;
  // Load of the last target before the request was dispatched to it, for the
  // log.
  target_load load_at_dispatch_;
  // When events that the caller was sent arrived, for the log.
  std::optional<timestamp> first_sent_event_at_;
  timestamp last_event_at_{};
  microseconds longest_pause_{0};
  std::optional<run_handover> handover_;
  int handover_count_ = 0;
  int resume_count_ = 0;
  int backup_resume_count_ = 0;
  std::unique_ptr<i_timer> deadline_timer_;
  std::unique_ptr<i_timer> attempt_timer_;
  std::unique_ptr<i_timer> capacity_timer_;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_EXCHANGE_H_
