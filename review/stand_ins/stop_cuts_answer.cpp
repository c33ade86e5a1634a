// A gateway is stopped while requesters still read long answers, which their
// worker has handed over whole.

#include "engines.hpp"

namespace {

constexpr std::size_t kAnswerBytes = 8'300'000;
constexpr double kGraceMs = 8000;
// The requester's share of a link of 10 Mbit/s, the slowest of the sheet of the
// grown installation.
constexpr double kBytesPerMs = 8e6 / 8 / 1000;

}  // namespace

int main(int argc, char** argv) {
  const kit::setting setting = kit::ReadSetting(argc, argv);
  kit::record log(argv[1]);
  log.Line("trouble: %s", setting.trouble ? "yes" : "no");
  kit::store platform;
  platform.Put("op/config",
               kit::Configuration(
                   1,
                   kit::json::array({kit::Route("check", "idempotent",
                                                "agenda-app", 39000, 1800, 2)}),
                   kit::json::array({kit::PlainService("agenda-app")})));
  kit::plain_worker worker(platform, log, "i-agenda", "breizh-rennes",
                           "agenda-app", kAnswerBytes, 50);
  kit::gateway gateway(setting.directory, "front-breizh-rennes-1",
                       "breizh-rennes", platform.port(), 110, 10);
  if (!gateway.AwaitReady())
    kit::GiveUp(log, "the gateway is not ready", {&gateway});
  kit::SleepMs(3500);  // contact_ms

  const std::string id = "request-1";
  const auto opened = kit::channel::Connect(gateway.front(), 65536);
  if (!opened || !opened->Write(kit::Request("GET", "/check/x", id, 39000)))
    kit::GiveUp(log, "no channel to the gateway", {&gateway});
  log.Line("requester sends %s", id.c_str());
  kit::message answer;
  if (!opened->ReadHead(answer) || answer.Status() != 200)
    kit::GiveUp(log, "no answer began", {&gateway});
  const double began = kit::NowMs();
  log.Line("requester: the answer begins, status 200, Content-Length %s",
           answer.Header("Content-Length").c_str());
  double stopped = 0;
  std::size_t taken = opened->Buffered();
  std::string buffer(65536, '\0');
  while (taken < kAnswerBytes) {
    if (setting.trouble && stopped == 0 && kit::NowMs() > began + 300) {
      stopped = kit::NowMs();
      log.Line("SIGTERM to the gateway");
      gateway.Signal(SIGTERM);
    }
    kit::SleepMs(began + static_cast<double>(taken) / kBytesPerMs -
                 kit::NowMs());
    const ssize_t size = recv(opened->handle(), buffer.data(), 12500, 0);
    if (size <= 0)
      break;
    taken += static_cast<std::size_t>(size);
  }
  const double ended = kit::NowMs();
  const bool whole = taken == kAnswerBytes;
  log.Line("requester: the channel gave %zu of %zu bytes, %s, after %.1f s",
           taken, kAnswerBytes, whole ? "whole" : "broken off",
           (ended - began) / 1000);
  if (gateway.HasEnded())
    log.Line("the gateway ended: %s", gateway.EndText().c_str());
  const auto answered = worker.Answered();
  const bool worker_done = answered.contains(id);
  if (!worker_done)
    kit::GiveUp(log, "the worker has not handed over its answer", {&gateway});
  if (stopped > 0)
    log.Line("%.1f s after the SIGTERM; the rule covers the time until %.1f s",
             (ended - stopped) / 1000, (kGraceMs + 1000) / 1000);
  kit::Conclude(log, !whole && stopped > 0 && ended < stopped + kGraceMs + 1000,
                {&gateway});
}
