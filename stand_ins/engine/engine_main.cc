#include <boost/program_options.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "framework/base/hashing.h"
#include "framework/base/system_clock.h"
#include "stand_ins/common/option_parsing.h"
#include "stand_ins/common/stand_in_server.h"
#include "stand_ins/engine/engine_model.h"

namespace wist::stand_ins {
namespace {

using json = nlohmann::json;

// How long a generation without a reader continues.
constexpr milliseconds kOrphanTimeout{5000};
// Finished generations without a reader are removed while the engine holds more
// generations than this.
constexpr std::size_t kMaxFinishedGenerations = 4000;
constexpr std::int64_t kBytesPerToken = 4;

// Returns the text of one token. It depends only on the generation and the
// offset, so that a test can check the tokens that it received.
std::string MakeTokenText(const std::string& generation, std::int64_t offset) {
  const std::uint64_t hash =
      StableHash(generation + ":" + std::to_string(offset));
  return "t" + std::to_string(hash % 100000) + " ";
}

struct generation_state {
  std::int64_t tokens = 0;
  bool finished = false;
  bool lost = false;
  int reader_count = 0;
  timestamp orphan_deadline;
};

struct engine_faults {
  bool refuse = false;            // Respond to generation requests with 503.
  bool frozen = false;            // Run no steps; connections stay open.
  bool cut = false;               // Close every connection.
  std::int64_t cut_at_token = 0;  // Close one stream at this offset; 0 is off.
  std::string crash_on;           // Crash on a prompt that contains this text.
};

// An order accepted by the engine.
struct accepted_order {
  std::uint64_t fencing_number = 0;
  std::string order;
};

// Serves engine_model over HTTP in real time.
class engine_server {
 public:
  engine_server(const engine_settings& settings, int default_output)
      : settings_(settings),
        default_output_(default_output),
        model_(settings, clock_->Now()),
        stepper_([this] { RunSteps(); }) {
    stepper_.detach();
  }

  void Handle(const http_server_request& request, i_http_responder& responder) {
    if (request.path == "/faults")
      return SetFaults(request, responder);
    if (request.path == "/stats")
      return SendStats(responder);
    {
      std::lock_guard lock(mutex_);
      if (faults_.cut)
        return responder.Abort();
    }
    if (request.path == "/load")
      return SendLoad(responder);
    if (request.path == "/orders")
      return HandleOrder(request, responder);
    if (request.path == "/v1/completions" ||
        request.path == "/v1/chat/completions")
      return HandleGeneration(request, responder);
    const std::string id = PathAfterPrefix(request.path, "/v1/generations/");
    if (!id.empty() && request.method == "DELETE")
      return Cancel(id, request, responder);
    if (!id.empty())
      return HandleResume(id, request, responder);
    SendJson(responder, 404, json::object());
  }

 private:
  void RunSteps() {
    std::unique_lock lock(mutex_);
    for (;;) {
      RemoveOrphans();
      const auto next = model_.NextStepAt();
      if (faults_.frozen || !next) {
        step_condition_.wait_for(lock, milliseconds(50));
        continue;
      }
      const timestamp now = clock_->Now();
      if (*next > now) {
        step_condition_.wait_for(
            lock, std::min<microseconds>(*next - now, milliseconds(50)));
        continue;
      }
      ApplyEvents(model_.Step());
    }
  }

  void ApplyEvents(const std::vector<engine_event>& events) {
    for (const engine_event& event : events) {
      generation_state& state = generations_[event.generation];
      switch (event.kind) {
        case engine_event_kind::token:
          state.tokens = event.offset + 1;
          break;
        case engine_event_kind::finished:
          state.finished = true;
          break;
        case engine_event_kind::preempted:
          break;
        case engine_event_kind::lost:
          state.lost = true;
          break;
      }
    }
    if (!events.empty())
      progress_condition_.notify_all();
  }

  // Cancels unfinished generations that have had no reader for kOrphanTimeout.
  // Finished ones stay available for a resume.
  void RemoveOrphans() {
    const timestamp now = clock_->Now();
    for (auto it = generations_.begin(); it != generations_.end();) {
      const generation_state& state = it->second;
      const bool orphan =
          state.reader_count == 0 && now > state.orphan_deadline;
      if (orphan && !state.finished && !state.lost)
        model_.Cancel(it->first);
      if (orphan &&
          (generations_.size() > kMaxFinishedGenerations || !state.finished))
        it = generations_.erase(it);
      else
        ++it;
    }
  }

  void HandleGeneration(const http_server_request& request,
                        i_http_responder& responder) {
    const json body = ParseObject(request.body);
    const std::string id = request.Header("X-Generation-Id");
    const std::string prompt = PromptText(body);
    generation_request generation;
    generation.id = id.empty() ? RandomHex(8) : id;
    generation.prompt_tokens =
        1 + static_cast<std::int64_t>(prompt.size()) / kBytesPerToken;
    generation.output_tokens = std::min(
        body.value("max_tokens", std::int64_t{16384}),
        body.value("stand_in_output_tokens", std::int64_t{default_output_}));
    generation.priority = std::stoi("0" + request.Header("X-Priority"));
    {
      std::lock_guard lock(mutex_);
      ++received_;
      if (faults_.refuse)
        return SendJson(responder, 503, {{"error", "refused"}});
      if (!faults_.crash_on.empty() &&
          prompt.find(faults_.crash_on) != std::string::npos) {
        ApplyEvents(model_.Crash(clock_->Now()));
        return responder.Abort();
      }
      generations_[generation.id].reader_count = 1;
      // A cold engine that gets more requests than it can hold crashes.
      if (!model_.Submit(generation, clock_->Now()))
        ApplyEvents(model_.Crash(clock_->Now()));
      step_condition_.notify_all();
    }
    StreamTokens(generation.id, 0, request.path, responder);
  }

  static std::string PromptText(const json& body) {
    if (body.contains("prompt") && body.at("prompt").is_string())
      return body.at("prompt").get<std::string>();
    std::string prompt;
    for (const json& message : body.value("messages", json::array()))
      prompt += message.value("content", "");
    return prompt;
  }

  void HandleResume(const std::string& id,
                    const http_server_request& request,
                    i_http_responder& responder) {
    const std::int64_t from = std::stoll("0" + request.QueryValue("from"));
    {
      std::lock_guard lock(mutex_);
      const auto found = generations_.find(id);
      if (found == generations_.end() || found->second.lost)
        return SendJson(responder, 410, {{"error", "no such generation"}});
      ++found->second.reader_count;
    }
    StreamTokens(id, from, request.QueryValue("as"), responder);
  }

  void Cancel(const std::string& id,
              const http_server_request& request,
              i_http_responder& responder) {
    std::lock_guard lock(mutex_);
    const auto found = generations_.find(id);
    if (found == generations_.end() || found->second.finished)
      return SendJson(responder, 200, json::object());
    if (request.QueryValue("unless_read") == "true" &&
        found->second.reader_count > 0)
      return SendJson(responder, 409, {{"error", "generation is being read"}});
    model_.Cancel(id);
    found->second.lost = true;
    ++cancelled_;
    progress_condition_.notify_all();
    SendJson(responder, 200, json::object());
  }

  // Streams the tokens from `offset` on. Tokens that are available together go
  // out in one write.
  void StreamTokens(const std::string& id,
                    std::int64_t offset,
                    const std::string& path,
                    i_http_responder& responder) {
    const bool chat = path.find("chat") != std::string::npos;
    try {
      responder.BeginStream(200, {{"X-Generation-Id", id}},
                            "text/event-stream");
      for (;;) {
        std::unique_lock lock(mutex_);
        generation_state& state = generations_[id];
        progress_condition_.wait(lock, [&] {
          return state.tokens > offset || state.finished || state.lost;
        });
        const bool cut = faults_.cut || ConsumeTokenCut(offset, state.tokens);
        const std::int64_t available = state.tokens;
        const bool finished = state.finished;
        const bool lost = state.lost;
        lock.unlock();
        if (cut || (lost && available <= offset)) {
          responder.Abort();
          break;
        }
        std::string chunk;
        for (; offset < available; ++offset)
          chunk += FormatTokenEvent(id, offset, chat);
        if (finished)
          chunk += "data: [DONE]\n\n";
        responder.Write(chunk);
        if (finished)
          break;
      }
    } catch (const http_client_disconnected&) {
      // The generation continues for kOrphanTimeout so that the client can
      // resume the stream.
    }
    std::lock_guard lock(mutex_);
    const auto found = generations_.find(id);
    if (found == generations_.end())
      return;
    --found->second.reader_count;
    found->second.orphan_deadline = clock_->Now() + kOrphanTimeout;
  }

  // Returns whether the fault `cut_at_token` applies to a stream that has sent
  // `offset` of the `available` tokens. Resets the fault if it does.
  bool ConsumeTokenCut(std::int64_t offset, std::int64_t available) {
    if (faults_.cut_at_token == 0 || offset >= faults_.cut_at_token ||
        available < faults_.cut_at_token)
      return false;
    faults_.cut_at_token = 0;
    return true;
  }

  static std::string FormatTokenEvent(const std::string& id,
                                      std::int64_t offset,
                                      bool chat) {
    const std::string text = MakeTokenText(id, offset);
    std::string event = "id: " + std::to_string(offset) + "\ndata: ";
    event += chat ? "{\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}"
                  : "{\"choices\":[{\"text\":\"" + text + "\"}]}";
    return event + "\n\n";
  }

  void SendLoad(i_http_responder& responder) {
    std::lock_guard lock(mutex_);
    const timestamp now = clock_->Now();
    const engine_report report = model_.PublishedReport(now);
    SendJson(
        responder, 200,
        {{"age_ms", static_cast<std::int64_t>(ToMilliseconds(now - report.at))},
         {"running", report.running},
         {"waiting", report.waiting},
         {"memory_used", report.memory_used},
         {"memory_total", report.memory_total},
         {"preemptions", model_.counters().preemptions},
         {"cold", report.cold}});
  }

  void HandleOrder(const http_server_request& request,
                   i_http_responder& responder) {
    const json body = ParseObject(request.body);
    const auto number = body.value("fencing_number", std::uint64_t{0});
    std::lock_guard lock(mutex_);
    const bool is_stale =
        !orders_.empty() && number < orders_.back().fencing_number;
    if (settings_.checks_fencing && is_stale)
      return SendJson(responder, 409, {{"error", "stale fencing number"}});
    orders_.push_back({number, body.value("order", "")});
    SendJson(responder, 200, json::object());
  }

  void SetFaults(const http_server_request& request,
                 i_http_responder& responder) {
    const json body = ParseObject(request.body);
    std::lock_guard lock(mutex_);
    faults_.refuse = body.value("refuse", faults_.refuse);
    faults_.frozen = body.value("frozen", faults_.frozen);
    faults_.cut = body.value("cut", faults_.cut);
    faults_.cut_at_token = body.value("cut_at_token", faults_.cut_at_token);
    faults_.crash_on = body.value("crash_on", faults_.crash_on);
    if (body.value("crash", false))
      ApplyEvents(model_.Crash(clock_->Now()));
    if (body.value("turn_cold", false))
      model_.TurnCold(clock_->Now());
    step_condition_.notify_all();
    progress_condition_.notify_all();
    SendJson(responder, 200, json::object());
  }

  void SendStats(i_http_responder& responder) {
    std::lock_guard lock(mutex_);
    json generated = json::object();
    for (const auto& [id, state] : generations_)
      generated[id] = state.tokens;
    SendJson(responder, 200,
             {{"received", received_},
              {"cancelled", cancelled_},
              {"active", model_.active()},
              {"cold", model_.cold()},
              {"tokens", model_.counters().tokens},
              {"falls", model_.counters().crashes},
              {"cold_violations", model_.counters().cold_violations},
              {"preemptions", model_.counters().preemptions},
              {"orders", orders_.size()},
              {"generated", generated}});
  }

  const std::shared_ptr<const i_clock> clock_ = MakeSystemClock();
  const engine_settings settings_;
  const int default_output_;
  std::mutex mutex_;
  std::condition_variable step_condition_;
  std::condition_variable progress_condition_;
  engine_model model_;
  engine_faults faults_;
  std::map<std::string, generation_state> generations_;
  std::vector<accepted_order> orders_;
  std::uint64_t received_ = 0;
  std::uint64_t cancelled_ = 0;
  std::thread stepper_;
};

}  // namespace
}  // namespace wist::stand_ins

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  using namespace wist::stand_ins;
  engine_settings settings;
  std::uint16_t port = 0;
  int default_output = 200;
  std::int64_t step_base_us = settings.step_base.count();
  std::int64_t step_per_sequence_us = settings.step_per_sequence.count();
  std::int64_t report_lag_ms = settings.report_lag.count();
  po::options_description options("engine stand-in");
  options.add_options()("help", "print this text")(
      "port", po::value(&port)->default_value(0),
      "port to listen on; 0 selects any free port")(
      "memory-tokens", po::value(&settings.memory_tokens),
      "memory for running generations, in tokens")(
      "max-running", po::value(&settings.max_running),
      "maximum number of running generations")(
      "step-base-us", po::value(&step_base_us), "base duration of a step")(
      "step-per-sequence-us", po::value(&step_per_sequence_us),
      "additional duration of a step per decoding generation")(
      "report-lag-ms", po::value(&report_lag_ms),
      "minimum age of the load reports that /load returns")(
      "cold-bearable", po::value(&settings.cold_bearable_requests),
      "number of requests that a cold engine can hold without crashing")(
      "warm-up-tokens", po::value(&settings.warm_up_tokens),
      "tokens that a cold engine generates until it is warm")(
      "starts-cold", po::bool_switch(&settings.starts_cold),
      "start as a cold engine")("checks-fencing",
                                po::bool_switch(&settings.checks_fencing),
                                "reject orders with a stale fencing number")(
      "output-tokens", po::value(&default_output),
      "default output length in tokens");
  if (!wist::stand_ins::ParseOptions(argc, argv, options))
    return 0;
  settings.step_base = wist::microseconds(step_base_us);
  settings.step_per_sequence = wist::microseconds(step_per_sequence_us);
  settings.report_lag = wist::milliseconds(report_lag_ms);
  engine_server server(settings, default_output);
  return ServeUntilSignal("127.0.0.1", port,
                          [&](const auto& request, auto& responder) {
                            server.Handle(request, responder);
                          });
}
