#ifndef GATEWAY_INTERNAL_CALLER_CONNECTION_H_
#define GATEWAY_INTERNAL_CALLER_CONNECTION_H_

#include <functional>
#include <memory>

#include "framework/net/i_channel.h"
#include "gateway/internal/exchange.h"
#include "limits/connection_limit.h"

namespace wist {

// A connection from a caller. Reads its requests and responds to them one after
// another, in order.
class caller_connection
    : public i_response_writer,
      public std::enable_shared_from_this<caller_connection> {
 public:
  using end_handler = std::function<void(caller_connection*)>;

  // `is_relay` means that another instance sends requests of its callers.
  caller_connection(gateway_services& services,
                    std::shared_ptr<i_channel> channel,
                    end_handler on_end,
                    bool is_relay = false);

  void Start();

  // Responds to the request that is in progress or arrives next, then closes
  // the connection.
  void StartDraining();

  // Closes the connection unless a request is in progress or being received.
  void CloseIfIdle();

  // What the connection waits for, to choose one that makes room.
  connection_progress Progress() const;

  const i_channel* channel() const { return channel_.get(); }

  // Makes room for another connection, by ending this one at once.
  void MakeRoom();

  // Whether a request is in progress.
  bool IsBusy() const { return exchange_ != nullptr; }

  // The instance ends: a request in progress is answered as it stands.
  void OnStopDeadline();

  void OnTargetLeaving(const target_id& target);
  void OnCrashesChanged();
  void OnVersionsChanged();

  // i_response_writer:
  void Send(std::string bytes) override;
  void StartStream(std::string head) override;
  void AppendToStream(std::string bytes) override;
  void FinishStream(std::string bytes) override;
  void Abort() override;
  void CloseAfterResponse() override { keep_alive_ = false; }
  bool KeepsConnection() const override;

 private:
  void OnData(std::string_view bytes);
  void OnChannelEnd();
  void ReadNext();
  void StartExchange(http_request_message message);
  void RefuseMalformed(http_read_error error);
  // Returns whether the request that is arriving may go on; otherwise it has
  // been refused.
  bool HoldPartialRequest();
  bool HoldCompleteRequest(http_request_message& message);
  // Ends a request that has not arrived completely, or that found no room.
  void RefuseUnheld(const std::string& request_id);
  std::string PartialRequestId() const;
  void OnExchangeFinished();
  void ArmTimer();
  void ScheduleTimer();
  timestamp WaitDeadline() const;
  void OnTimer();
  void CloseChannel();
  void AbortChannel();
  void DisconnectSlowCaller();
  caller_limits Limits() const;
  http_reader_limits ReaderLimits() const;

  gateway_services& services_;
  std::shared_ptr<i_channel> channel_;
  end_handler on_end_;
  const bool is_relay_;
  std::unique_ptr<i_http_request_reader> reader_;
  std::shared_ptr<exchange> exchange_;
  // Memory of the request that is arriving or in progress, and of those that
  // are pipelined behind it.
  std::unique_ptr<request_buffer> buffer_;
  std::unique_ptr<i_timer> timer_;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  bool draining_ = false;
  bool aborted_ = false;
  bool has_received_ = false;
  // The sender of the body received the interim response that permits it.
  bool has_sent_continue_ = false;
  // Memory that the request in progress needs.
  std::size_t request_bytes_ = 0;
  // Whether the timer limits the time to receive a request's head.
  bool awaiting_head_ = false;
  // Start of the wait that the timer limits.
  timestamp waiting_since_{};
  // When the first bytes of the request arrived that is not complete yet.
  timestamp receiving_since_{};
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_CALLER_CONNECTION_H_
