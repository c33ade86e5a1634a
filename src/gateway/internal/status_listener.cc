#include "gateway/internal/status_listener.h"

#include "framework/net/http_codec.h"

namespace wist {

status_listener::status_listener(
    i_event_loop& loop,
    const http_address& ready_address,
    const std::optional<http_address>& metrics_address,
    std::function<bool()> is_ready,
    std::function<std::string()> metrics_text) {
  const response_builder readiness = [is_ready = std::move(is_ready)] {
    const bool ready = is_ready();
    return EncodeHttpResponse(ready ? 200 : 503,
                              {{"Content-Type", "application/json"}},
                              ready ? "{\"ready\":true}" : "{\"ready\":false}");
  };
  loop.Listen(ready_address, [readiness](std::shared_ptr<i_channel> channel) {
    Serve(channel, readiness);
  });
  if (!metrics_address)
    return;
  const response_builder metrics = [text = std::move(metrics_text)] {
    return EncodeHttpResponse(200, {{"Content-Type", "text/plain"}}, text());
  };
  loop.Listen(*metrics_address, [metrics](std::shared_ptr<i_channel> channel) {
    Serve(channel, metrics);
  });
}

void status_listener::Serve(const std::shared_ptr<i_channel>& channel,
                            const response_builder& build_response) {
  const std::shared_ptr<i_http_request_reader> reader =
      MakeHttpRequestReader({});
  // The connection's own callbacks keep it alive until either side closes it.
  channel->SetCallbacks(
      {[channel, reader, build_response](std::string_view bytes) {
         reader->Feed(bytes);
         while (const auto request = reader->Next()) {
           channel->Write(build_response());
           if (!request->keep_alive)
             return channel->Close();
         }
         if (reader->read_error())
           channel->Abort();
       },
       [](channel_end) {}});
}

}  // namespace wist
