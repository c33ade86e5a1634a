#ifndef REVIEW_STAND_INS_ENGINES_HPP_
#define REVIEW_STAND_INS_ENGINES_HPP_

// Model workers and plain workers, as PROTOCOL.md describes them, with the
// figures of the sheet of Korrigan Henna Bookings.

#include "kit.hpp"

namespace kit {

constexpr double kTokenBytes = 18432;
constexpr double kLinkBytesPerMs = 2700e6 / 8 / 1000;
constexpr int kMemoryTokens = 34406;
constexpr int kTokensPerEvent = 4;
constexpr double kEventMs = 30;
constexpr double kPrefillTokensPerMs = 14;
constexpr double kDrainMs = 2000;
// A worker goes on a little longer than `drain_ms` (the sheet: 1,500 ms).
constexpr double kLingerMs = 1500;

struct run_copy {
  std::string run;
  std::string worker;
  int events = 0;
};

class engine;

// What the workers of one deployment share: links, copies, and their addresses.
struct fleet {
  fleet(store& shared_platform, record& shared_log, std::string name)
      : platform(shared_platform), log(shared_log), service(std::move(name)) {}

  store& platform;
  record& log;
  std::string service;
  std::mutex mutex;
  std::map<std::string, engine*> by_address;
  std::map<std::string, run_copy> copies;   // By handle.
  std::map<std::string, run_copy> backups;  // By the id of the request.
  long next_handle = 0;
};

struct engine_options {
  std::string id;
  std::string zone;
  // Most workers drop a request when its channel closes; this one may not.
  bool drops_closed = true;
  // Answers calls of /kv-move with bytes that are no answer, without end.
  bool moves_endless = false;
};

struct engine_run {
  int prompt_tokens = 0;
  int events = 0;
  bool stopped = false;
  bool moving = false;
  double work_ended = 0;  // 0 while the worker works on it.
};

// A request that reached an engine.
struct engine_arrival {
  std::string request;
  double at = 0;
  bool continues = false;
  bool ran = false;
};

class engine {
 public:
  engine(fleet& all, engine_options options)
      : fleet_(all),
        options_(std::move(options)),
        listener_([this](const auto& opened) { Serve(opened); }) {
    const std::lock_guard lock(fleet_.mutex);
    fleet_.by_address[Address()] = this;
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(listener_.port());
  }
  const engine_options& options() const { return options_; }

  // Writes the entry; returns the time of the store's acknowledgement.
  double Register(const std::string& state) {
    const double at =
        fleet_.platform.Put("servers/" + options_.id,
                            WorkerEntry(fleet_.service, listener_.port(),
                                        options_.zone, state, ++sequence_));
    fleet_.log.Line("worker %s in %s is %s: acknowledged by the store",
                    options_.id.c_str(), options_.zone.c_str(), state.c_str());
    return at;
  }

  // The worker reports `draining`, goes on for drain_ms and a little longer,
  // and exits. Returns the time of the acknowledgement.
  double Drain() {
    const double at = Register("draining");
    std::thread([this] {
      SleepMs(kDrainMs + kLingerMs);
      fleet_.log.Line("worker %s exits", options_.id.c_str());
      listener_.End();
      fleet_.platform.Remove("servers/" + options_.id);
    }).detach();
    return at;
  }

  std::vector<engine_arrival> Arrivals() {
    const std::lock_guard lock(fleet_.mutex);
    return arrivals_;
  }
  std::map<std::string, engine_run> Runs() {
    const std::lock_guard lock(fleet_.mutex);
    return runs_;
  }
  bool HasEnded() const { return listener_.HasEnded(); }

 private:
  void Serve(const std::shared_ptr<channel>& opened) {
    message request;
    while (opened->Read(request)) {
      const std::string path = request.Word(1);
      bool kept;
      if (path == "/kv-move")
        kept = Move(opened, request);
      else if (request.Word(0) == "DELETE" || path == "/health")
        kept = opened->Write(Answer(
            200, "X-Wisteriatally-Instance-Id: " + options_.id + "\r\n", ""));
      else
        kept = Run(opened, request);
      if (!kept)
        return;
    }
  }

  bool Refuse(const std::shared_ptr<channel>& opened,
              const std::string& id,
              int status) {
    return opened->Write(Answer(status,
                                "X-Wisteriatally-Request-Id: " + id +
                                    "\r\nX-Wisteriatally-Not-Executed: 1\r\n",
                                ""));
  }

  bool Run(const std::shared_ptr<channel>& opened, const message& request) {
    const std::string id = request.Header("X-Wisteriatally-Request-Id");
    const std::string from = request.Header("Kv-From");
    if (request.Header("X-Wisteriatally-Expect-Instance") != options_.id)
      return Refuse(opened, id, 421);
    const std::string counts = request.Header("X-Wisteriatally-Token-Counts");
    const int prompt = std::stoi(counts);
    const int total = std::max(
        1, std::stoi(counts.substr(counts.find(',') + 1)) / kTokensPerEvent);
    const std::string last = request.Header("Last-Event-Id");
    int next = last.empty() ? 1 : std::stoi(last) + 1;
    double prefill_ms = prompt / kPrefillTokensPerMs;
    {
      std::unique_lock lock(fleet_.mutex);
      arrivals_.push_back({id, NowMs(), !from.empty(), false});
      const std::size_t arrival = arrivals_.size() - 1;
      if (!from.empty()) {
        const std::string handle = from.substr(from.find('/') + 1);
        auto& held = handle == id ? fleet_.backups : fleet_.copies;
        const auto copy = held.find(handle);
        if (copy == held.end() || copy->second.run != id ||
            copy->second.worker != options_.id) {
          lock.unlock();
          fleet_.log.Line("worker %s knows no copy %s of %s: 503",
                          options_.id.c_str(), handle.c_str(), id.c_str());
          return Refuse(opened, id, 503);
        }
        const int lacking = std::max(0, next - 1 - copy->second.events);
        prefill_ms = lacking * kTokensPerEvent / kPrefillTokensPerMs;
        held.erase(copy);
      }
      arrivals_[arrival].ran = true;
      runs_[id] = {prompt, next - 1, false, false, 0};
      const std::string backup = request.Header("X-Wisteriatally-Kv-Backup");
      const auto holder = fleet_.by_address.find(backup);
      if (holder != fleet_.by_address.end())
        fleet_.backups[id] = {id, holder->second->options_.id, next - 1};
      const double begin = std::max(NowMs(), prefill_until_);
      prefill_until_ = begin + prefill_ms;
      prefill_ms = prefill_until_ - NowMs();
    }
    fleet_.log.Line(
        "worker %s gets %s%s", options_.id.c_str(), id.c_str(),
        from.empty()
            ? ""
            : (", Kv-From " + from + ", Last-Event-Id " + last).c_str());
    SleepMs(prefill_ms);
    bool open = opened->Write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nX-Wisteriatally-Request-Id: " +
        id + "\r\nX-Wisteriatally-Response-Signature: s-" + options_.id +
        "\r\n\r\n");
    bool whole = true;
    for (; next <= total; ++next) {
      SleepMs(kEventMs);
      if (listener_.HasEnded() || (options_.drops_closed && opened->IsClosed()))
        open = whole = false;
      {
        const std::lock_guard lock(fleet_.mutex);
        whole = whole && !runs_[id].stopped;
        if (whole)
          runs_[id].events = next;
      }
      if (!whole)
        break;
      if (!open)
        continue;
      const std::string event = "id: " + std::to_string(next) +
                                "\ndata: " + id + " " + std::string(200, 'x') +
                                "\n\n";
      char size[20];
      snprintf(size, sizeof size, "%zx\r\n", event.size());
      open = opened->Write(size + event + "\r\n");
      if (!open && options_.drops_closed) {
        whole = false;
        break;
      }
    }
    {
      const std::lock_guard lock(fleet_.mutex);
      runs_[id].work_ended = NowMs();
      fleet_.backups.erase(id);
    }
    fleet_.log.Line("worker %s ends its work on %s: %s", options_.id.c_str(),
                    id.c_str(), whole ? "all events made" : "stopped");
    return open && whole && opened->Write("0\r\n\r\n");
  }

  bool Move(const std::shared_ptr<channel>& opened, const message& request) {
    if (options_.moves_endless)
      return Endless(opened);
    const json fields = json::parse(request.body, nullptr, false);
    const std::string id = fields.value("id", "");
    const std::string target = fields.value("target", "");
    const bool last = fields.value("last", false);
    engine* receiver = nullptr;
    double until = 0;
    {
      const std::lock_guard lock(fleet_.mutex);
      const auto found = runs_.find(id);
      if (found == runs_.end() || found->second.work_ended != 0)
        return opened->Write(Answer(404, "", "{}"));
      if (found->second.moving)
        return opened->Write(Answer(409, "", "{}"));
      const auto at = fleet_.by_address.find(target);
      if (at == fleet_.by_address.end() || at->second->HasEnded())
        return opened->Write(Answer(503, "", "{}"));
      receiver = at->second;
      found->second.stopped = last;
      found->second.moving = true;
      const double tokens =
          found->second.prompt_tokens + found->second.events * kTokensPerEvent;
      double took = tokens * kTokenBytes / kLinkBytesPerMs;
      if (receiver->options_.zone != options_.zone)
        took *= 2;
      until = std::max({NowMs(), link_until_, receiver->link_until_}) + took;
      link_until_ = receiver->link_until_ = until;
    }
    fleet_.log.Line(
        "worker %s copies %s to %s (last: %s), %.0f ms with what "
        "is queued before it",
        options_.id.c_str(), id.c_str(), receiver->options_.id.c_str(),
        last ? "true" : "false", until - NowMs());
    SleepMs(until - NowMs());
    json answer;
    {
      const std::lock_guard lock(fleet_.mutex);
      runs_[id].moving = false;
      if (receiver->HasEnded())
        return opened->Write(Answer(503, "", "{}"));
      const std::string handle = "m" + std::to_string(++fleet_.next_handle);
      fleet_.copies[handle] = {id, receiver->options_.id, runs_[id].events};
      answer = {{"handle", handle}, {"created", runs_[id].events}};
    }
    return opened->Write(
        Answer(200, "Content-Type: application/json\r\n", answer.dump()));
  }

  // At about 10 MB a second, which leaves the links of a small deployment room.
  bool Endless(const std::shared_ptr<channel>& opened) {
    fleet_.log.Line("worker %s answers /kv-move with bytes without end",
                    options_.id.c_str());
    std::size_t sent = 0;
    const std::string bytes(65536, '?');
    if (opened->Write("HTTP/1.1 200 OK\r\n\r\n")) {
      while (!listener_.HasEnded() && opened->Write(bytes)) {
        sent += bytes.size();
        SleepMs(6);
      }
    }
    fleet_.log.Line("worker %s: the caller closed after %zu bytes",
                    options_.id.c_str(), sent);
    return false;
  }

  fleet& fleet_;
  const engine_options options_;
  std::atomic<long> sequence_ = 0;
  std::map<std::string, engine_run> runs_;
  std::vector<engine_arrival> arrivals_;
  double link_until_ = 0;
  double prefill_until_ = 0;
  listener listener_;
};

// A plain worker. Its answer has `answer_bytes` bytes after `work_ms`.
class plain_worker {
 public:
  plain_worker(store& platform,
               record& log,
               std::string id,
               std::string zone,
               std::string service,
               std::size_t answer_bytes,
               double work_ms)
      : log_(log),
        id_(std::move(id)),
        answer_(answer_bytes, 'a'),
        work_ms_(work_ms),
        listener_([this](const auto& opened) { Serve(opened); }) {
    platform.Put("servers/" + id_,
                 WorkerEntry(service, listener_.port(), zone, "ready", 1));
  }

  // The requests that it began to work on, and those that it has answered.
  std::map<std::string, double> Began() {
    const std::lock_guard lock(mutex_);
    return began_;
  }
  std::map<std::string, double> Answered() {
    const std::lock_guard lock(mutex_);
    return answered_;
  }

 private:
  void Serve(const std::shared_ptr<channel>& opened) {
    message request;
    while (opened->Read(request)) {
      const std::string id = request.Header("X-Wisteriatally-Request-Id");
      if (request.Header("X-Wisteriatally-Expect-Instance") != id_) {
        if (!opened->Write(
                Answer(421, "X-Wisteriatally-Not-Executed: 1\r\n", "")))
          return;
        continue;
      }
      log_.Line("worker %s runs %s", id_.c_str(), id.c_str());
      {
        const std::lock_guard lock(mutex_);
        began_[id] = NowMs();
      }
      SleepMs(work_ms_);
      if (!opened->Write(Answer(
              200,
              "X-Wisteriatally-Request-Id: " + id +
                  "\r\nX-Wisteriatally-Response-Signature: s-" + id_ + "\r\n",
              answer_)))
        return;
      log_.Line("worker %s has answered %s whole", id_.c_str(), id.c_str());
      const std::lock_guard lock(mutex_);
      answered_[id] = NowMs();
    }
  }

  record& log_;
  const std::string id_;
  const std::string answer_;
  const double work_ms_;
  std::mutex mutex_;
  std::map<std::string, double> began_;
  std::map<std::string, double> answered_;
  listener listener_;
};

// What a requester saw of a stream.
struct stream_result {
  std::string id;
  int status = 0;
  int events = 0;
  bool whole = false;
  bool ordered = true;
  double ended = 0;
};

// Sends a stream's request on a channel and reads its answer to the end.
inline stream_result ReadStream(record& log,
                                const std::shared_ptr<channel>& opened,
                                const std::string& id,
                                int prompt_tokens,
                                int output_tokens,
                                int hint) {
  stream_result result{id};
  const std::string headers =
      "X-Wisteriatally-Model: m\r\nX-Wisteriatally-Token-Counts: " +
      std::to_string(prompt_tokens) + "," + std::to_string(output_tokens) +
      "\r\nX-Wisteriatally-Length-Hint: " + std::to_string(hint) +
      "\r\nX-Wisteriatally-Prefix-Hash: aa:79," + id + ":" +
      std::to_string(prompt_tokens - 79) + "\r\n";
  log.Line("requester sends %s", id.c_str());
  message answer;
  if (opened->Write(Request("POST", "/draft/x", id, 39000, headers, "{}")) &&
      opened->ReadHead(answer)) {
    result.status = answer.Status();
    std::string body;
    std::string line;
    const bool chunked = !answer.Header("Transfer-Encoding").empty();
    while (chunked && opened->TakeLine(line)) {
      const std::size_t size = std::stoul(line, nullptr, 16);
      if ((size > 0 && !opened->Take(size, body)) || !opened->TakeLine(line))
        break;
      if (size == 0) {
        result.whole = true;
        break;
      }
    }
    for (std::size_t at = body.find("id: "); at != std::string::npos;
         at = body.find("id: ", at + 4)) {
      result.ordered =
          result.ordered && atoi(body.c_str() + at + 4) == result.events + 1;
      ++result.events;
    }
  }
  result.ended = NowMs();
  log.Line("requester: %s ends: status %d, %d events, %s", id.c_str(),
           result.status, result.events, result.whole ? "whole" : "broken off");
  return result;
}

}  // namespace kit

#endif  // REVIEW_STAND_INS_ENGINES_HPP_
