#ifndef GATEWAY_INTERNAL_CALLER_CONNECTION_H_
#define GATEWAY_INTERNAL_CALLER_CONNECTION_H_

#include <functional>
#include <memory>

#include "framework/net/i_channel.h"
#include "gateway/internal/exchange.h"

namespace wist {

// One channel of a caller: reads requests and answers them one after another.
class caller_connection
    : public i_reply,
      public std::enable_shared_from_this<caller_connection> {
 public:
  using end_handler = std::function<void(caller_connection*)>;

  caller_connection(gateway_services& services,
                    std::shared_ptr<i_channel> channel,
                    end_handler on_end);

  void Start();

  // Answers the request that is there or on its way, then closes.
  void BeginStopping();

  // Closes the channel if no request is there.
  void CloseIfIdle();

  // Whether a request is being answered.
  bool IsBusy() const { return exchange_ != nullptr; }

  void OnTargetLeaves(const target_id& target);

  // i_reply:
  void Send(std::string bytes) override;
  void Begin(std::string head) override;
  void Append(std::string bytes) override;
  void Finish(std::string bytes) override;
  void Abort() override;
  void CloseAfterAnswer() override { keep_alive_ = false; }
  bool KeepsChannel() const override;

 private:
  void OnData(std::string_view bytes);
  void OnEnd();
  void ReadNext();
  void BeginExchange(http_request_message message);
  void RefuseUnreadable(http_read_fault fault);
  void OnExchangeOver();
  void ArmTimer();
  void OnTimer();
  void CloseChannel();
  caller_limits Limits() const;

  gateway_services& services_;
  std::shared_ptr<i_channel> channel_;
  end_handler on_end_;
  std::unique_ptr<i_http_request_reader> reader_;
  std::shared_ptr<exchange> exchange_;
  std::unique_ptr<i_timer> timer_;
  bool keep_alive_ = true;
  bool stopping_ = false;
  bool aborted_ = false;
  // Whether the timer bounds the head of a request.
  bool waits_for_head_ = false;
};

}  // namespace wist

#endif  // GATEWAY_INTERNAL_CALLER_CONNECTION_H_
