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

constexpr milliseconds kOrphanValidity{5000};
constexpr std::size_t kKeptFinished = 4000;
constexpr std::int64_t kBytesPerToken = 4;

// Text of one token; a test computes the same to check what it received.
std::string TokenText(const std::string& generation, std::int64_t offset) {
  const std::uint64_t hash =
      StableHash(generation + ":" + std::to_string(offset));
  return "t" + std::to_string(hash % 100000) + " ";
}

struct generation_state {
  std::int64_t tokens = 0;
  bool finished = false;
  bool lost = false;
  int readers = 0;
  timestamp orphan_deadline;
};

struct engine_faults {
  bool refuse = false;            // Answer 503 before taking a request.
  bool frozen = false;            // Steps stop; connections stay open.
  bool cut = false;               // Drop each connection.
  std::int64_t cut_at_token = 0;  // Drop a stream's link once at this offset.
  std::string crash_on;           // Crash on a prompt that holds this text.
};

struct served_order {
  std::uint64_t fencing_number = 0;
  std::string order;
};

// HTTP around engine_model on the real clock.
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
      return TakeOrder(request, responder);
    if (request.path == "/v1/completions" ||
        request.path == "/v1/chat/completions")
      return Generate(request, responder);
    const std::string id = PathTail(request.path, "/v1/generations/");
    if (!id.empty() && request.method == "DELETE")
      return Cancel(id, request, responder);
    if (!id.empty())
      return Resume(id, request, responder);
    SendJson(responder, 404, json::object());
  }

 private:
  void RunSteps() {
    std::unique_lock lock(mutex_);
    for (;;) {
      CancelOrphans();
      const auto next = model_.NextStepAt();
      if (faults_.frozen || !next) {
        changed_.wait_for(lock, milliseconds(50));
        continue;
      }
      const timestamp now = clock_->Now();
      if (*next > now) {
        changed_.wait_for(
            lock, std::min<microseconds>(*next - now, milliseconds(50)));
        continue;
      }
      Apply(model_.Step());
    }
  }

  void Apply(const std::vector<engine_event>& events) {
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
      progress_.notify_all();
  }

  void CancelOrphans() {
    const timestamp now = clock_->Now();
    for (auto it = generations_.begin(); it != generations_.end();) {
      const generation_state& state = it->second;
      const bool orphan = state.readers == 0 && now > state.orphan_deadline;
      if (orphan && !state.finished && !state.lost)
        model_.Cancel(it->first);
      if (orphan && (generations_.size() > kKeptFinished || !state.finished))
        it = generations_.erase(it);
      else
        ++it;
    }
  }

  void Generate(const http_server_request& request,
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
        Apply(model_.Crash(clock_->Now()));
        return responder.Abort();
      }
      generations_[generation.id].readers = 1;
      if (!model_.Submit(generation, clock_->Now()))
        Apply(model_.Crash(clock_->Now()));
      changed_.notify_all();
    }
    Stream(generation.id, 0, request.path, responder);
  }

  static std::string PromptText(const json& body) {
    if (body.contains("prompt") && body.at("prompt").is_string())
      return body.at("prompt").get<std::string>();
    std::string prompt;
    for (const json& message : body.value("messages", json::array()))
      prompt += message.value("content", "");
    return prompt;
  }

  void Resume(const std::string& id,
              const http_server_request& request,
              i_http_responder& responder) {
    const std::int64_t from = std::stoll("0" + request.QueryValue("from"));
    {
      std::lock_guard lock(mutex_);
      const auto found = generations_.find(id);
      if (found == generations_.end() || found->second.lost)
        return SendJson(responder, 410, {{"error", "no such generation"}});
      ++found->second.readers;
    }
    Stream(id, from, request.QueryValue("as"), responder);
  }

  void Cancel(const std::string& id,
              const http_server_request& request,
              i_http_responder& responder) {
    std::lock_guard lock(mutex_);
    const auto found = generations_.find(id);
    if (found == generations_.end() || found->second.finished)
      return SendJson(responder, 200, json::object());
    if (request.QueryValue("unless_read") == "true" &&
        found->second.readers > 0)
      return SendJson(responder, 409, {{"error", "it is being read"}});
    model_.Cancel(id);
    found->second.lost = true;
    ++cancelled_;
    progress_.notify_all();
    SendJson(responder, 200, json::object());
  }

  // Sends tokens from `offset` on as they come, several a write if they came
  // together.
  void Stream(const std::string& id,
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
        progress_.wait(lock, [&] {
          return state.tokens > offset || state.finished || state.lost;
        });
        const bool cut = faults_.cut || CutsHere(offset, state.tokens);
        const std::int64_t available = state.tokens;
        const bool finished = state.finished;
        const bool lost = state.lost;
        lock.unlock();
        if (cut || (lost && available <= offset)) {
          responder.Abort();
          break;
        }
        std::string piece;
        for (; offset < available; ++offset)
          piece += Event(id, offset, chat);
        if (finished)
          piece += "data: [DONE]\n\n";
        responder.Write(piece);
        if (finished)
          break;
      }
    } catch (const http_peer_gone&) {
      // The generation goes on for a while so that its reader may resume.
    }
    std::lock_guard lock(mutex_);
    const auto found = generations_.find(id);
    if (found == generations_.end())
      return;
    --found->second.readers;
    found->second.orphan_deadline = clock_->Now() + kOrphanValidity;
  }

  bool CutsHere(std::int64_t offset, std::int64_t available) {
    if (faults_.cut_at_token == 0 || offset >= faults_.cut_at_token ||
        available < faults_.cut_at_token)
      return false;
    faults_.cut_at_token = 0;
    return true;
  }

  static std::string Event(const std::string& id,
                           std::int64_t offset,
                           bool chat) {
    const std::string text = TokenText(id, offset);
    std::string event = "id: " + std::to_string(offset) + "\ndata: ";
    event += chat ? "{\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}"
                  : "{\"choices\":[{\"text\":\"" + text + "\"}]}";
    return event + "\n\n";
  }

  void SendLoad(i_http_responder& responder) {
    std::lock_guard lock(mutex_);
    const timestamp now = clock_->Now();
    const engine_report report = model_.Report(now);
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

  void TakeOrder(const http_server_request& request,
                 i_http_responder& responder) {
    const json body = ParseObject(request.body);
    const auto number = body.value("fencing_number", std::uint64_t{0});
    std::lock_guard lock(mutex_);
    const bool old = !orders_.empty() && number < orders_.back().fencing_number;
    if (settings_.checks_fencing && old)
      return SendJson(responder, 409, {{"error", "old fencing number"}});
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
      Apply(model_.Crash(clock_->Now()));
    if (body.value("turn_cold", false))
      model_.TurnCold(clock_->Now());
    changed_.notify_all();
    progress_.notify_all();
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
              {"falls", model_.counters().falls},
              {"cold_violations", model_.counters().cold_violations},
              {"preemptions", model_.counters().preemptions},
              {"orders", orders_.size()},
              {"generated", generated}});
  }

  const std::shared_ptr<const i_clock> clock_ = MakeSystemClock();
  const engine_settings settings_;
  const int default_output_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::condition_variable progress_;
  engine_model model_;
  engine_faults faults_;
  std::map<std::string, generation_state> generations_;
  std::vector<served_order> orders_;
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
      "port", po::value(&port)->default_value(0), "port, 0 for any")(
      "memory-tokens", po::value(&settings.memory_tokens), "memory")(
      "max-running", po::value(&settings.max_running), "largest batch")(
      "step-base-us", po::value(&step_base_us), "shortest step")(
      "step-per-sequence-us", po::value(&step_per_sequence_us),
      "more per generation")("report-lag-ms", po::value(&report_lag_ms),
                             "lag of load reports")(
      "cold-bearable", po::value(&settings.cold_bearable_requests),
      "requests borne while cold")("warm-up-tokens",
                                   po::value(&settings.warm_up_tokens),
                                   "tokens until warm")(
      "starts-cold", po::bool_switch(&settings.starts_cold), "start cold")(
      "checks-fencing", po::bool_switch(&settings.checks_fencing),
      "refuse orders with an old fencing number")(
      "output-tokens", po::value(&default_output), "length of an answer");
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
