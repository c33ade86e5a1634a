#ifndef REVIEW_STAND_INS_KIT_HPP_
#define REVIEW_STAND_INS_KIT_HPP_

// Parts of the review's scripts: HTTP over blocking sockets, the platform's
// store, and gateways as processes. One thread serves one channel. Nothing here
// is shared with the code under review.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using nlohmann::json;

inline double NowMs() {
  using namespace std::chrono;
  static const steady_clock::time_point start = steady_clock::now();
  return duration<double, std::milli>(steady_clock::now() - start).count();
}

inline void SleepMs(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(
        std::chrono::microseconds(static_cast<long>(ms * 1000)));
}

// What was sent, answered and run, with the time in ms.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1000];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    char time[32];
    snprintf(time, sizeof time, "%9.1f  ", NowMs());
    const std::lock_guard lock(mutex_);
    file_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline std::uint16_t FreePort() {
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    _exit(2);
  close(handle);
  return ntohs(address.sin_port);
}

struct message {
  std::string start;  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const char* name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name) == 0)
        return value;
    }
    return "";
  }
  std::string Word(int number) const {
    std::istringstream words(start);
    std::string word;
    for (int i = 0; i <= number; ++i)
      words >> word;
    return word;
  }
  int Status() const { return atoi(Word(1).c_str()); }
};

// A connected socket with a read buffer.
class channel {
 public:
  explicit channel(int handle) : handle_(handle) {
    const int on = 1;
    setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~channel() { Close(); }
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;

  static std::shared_ptr<channel> Connect(std::uint16_t port,
                                          int receive_buffer = 0) {
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0)
      setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(handle, reinterpret_cast<sockaddr*>(&address),
                sizeof address) != 0) {
      close(handle);
      return nullptr;
    }
    return std::make_shared<channel>(handle);
  }

  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t size =
          send(handle_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (size <= 0)
        return false;
      done += static_cast<std::size_t>(size);
    }
    return true;
  }

  // Returns false at the end of the channel.
  bool Fill() {
    char bytes[65536];
    const ssize_t size = recv(handle_, bytes, sizeof bytes, 0);
    if (size <= 0)
      return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  bool ReadHead(message& read) {
    std::size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill())
        return false;
    }
    std::istringstream lines(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    read = {};
    std::string line;
    std::getline(lines, read.start);
    if (!read.start.empty() && read.start.back() == '\r')
      read.start.pop_back();
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      read.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    return true;
  }

  bool Take(std::size_t size, std::string& to) {
    while (buffer_.size() < size) {
      if (!Fill())
        return false;
    }
    to += buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

  bool TakeLine(std::string& to) {
    std::size_t end;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill())
        return false;
    }
    to = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }

  // Reads a body with a length or in chunks. Returns whether it is whole.
  bool ReadBody(message& read) {
    if (strcasecmp(read.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
      for (;;) {
        std::string line;
        if (!TakeLine(line))
          return false;
        const std::size_t size = std::stoul(line, nullptr, 16);
        if (size > 0 && !Take(size, read.body))
          return false;
        if (!TakeLine(line))
          return false;
        if (size == 0)
          return true;
      }
    }
    const std::string length = read.Header("Content-Length");
    return length.empty() || Take(std::stoul(length), read.body);
  }

  bool Read(message& read) { return ReadHead(read) && ReadBody(read); }

  // Whether the other side has closed, without reading its bytes.
  bool IsClosed() {
    pollfd entry{handle_, POLLIN | POLLRDHUP, 0};
    return poll(&entry, 1, 0) > 0 &&
           (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  void Close() {
    if (handle_ >= 0)
      close(std::exchange(handle_, -1));
  }

  // Closes the channel under a thread that reads or writes it.
  void Shut() { shutdown(handle_, SHUT_RDWR); }
  std::size_t Buffered() const { return buffer_.size(); }
  int handle() const { return handle_; }

 private:
  int handle_;
  std::string buffer_;
};

using channel_handler = std::function<void(const std::shared_ptr<channel>&)>;

// Accepts channels on a loopback port, each served by a thread of its own.
class listener {
 public:
  explicit listener(channel_handler handler) : handler_(std::move(handler)) {
    handle_ = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(handle_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(handle_, 512) != 0 ||
        getsockname(handle_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
      _exit(2);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  std::uint16_t port() const { return port_; }

  // Ends the process that this listener stands for: closes all its channels.
  void End() {
    const std::lock_guard lock(mutex_);
    ended_ = true;
    shutdown(handle_, SHUT_RDWR);
    close(handle_);
    for (const auto& open : channels_) {
      if (const auto held = open.lock())
        held->Shut();
    }
  }
  bool HasEnded() const { return ended_; }

 private:
  void Accept() {
    for (;;) {
      const int accepted = accept(handle_, nullptr, nullptr);
      if (accepted < 0)
        return;
      const auto opened = std::make_shared<channel>(accepted);
      const std::lock_guard lock(mutex_);
      if (ended_)
        return;
      channels_.push_back(opened);
      std::thread([this, opened] {
        handler_(opened);
        opened->Shut();
      }).detach();
    }
  }

  channel_handler handler_;
  int handle_;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  std::atomic<bool> ended_ = false;
  std::vector<std::weak_ptr<channel>> channels_;
};

inline std::string Answer(int status,
                          const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
  }
  return text;
}

// The platform's store, as PROTOCOL.md describes it.
class store {
 public:
  store() : listener_([this](const auto& opened) { Serve(opened); }) {
    std::thread([this] { EndLeases(); }).detach();
  }

  std::uint16_t port() const { return listener_.port(); }

  // A further address of the store. Calls that come there are answered 429
  // while `refuses` is set: the store turns that machine away.
  std::uint16_t OpenDoor(const std::atomic<bool>& refuses) {
    doors_.push_back(std::make_unique<listener>(
        [this, &refuses](const auto& opened) { Serve(opened, &refuses); }));
    return doors_.back()->port();
  }

  // Writes of the operator and of workers. Returns when the store has accepted
  // the write, which is its acknowledgement.
  double Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    PutLocked(key, Base64(value), 0);
    return NowMs();
  }
  double Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    RemoveLocked(key);
    return NowMs();
  }

 private:
  struct item {
    std::string value;
    long revision = 0;
    long created = 0;
    long lease = 0;
  };
  struct lease {
    double ttl_ms = 0;
    double deadline = 0;
  };

  json ItemJson(const std::string& key) const {
    const auto found = items_.find(key);
    if (found == items_.end())
      return {{"key", key}, {"revision", 0}};
    return {{"key", key},
            {"value", found->second.value},
            {"revision", found->second.revision},
            {"created", found->second.created},
            {"lease", found->second.lease}};
  }

  void PutLocked(const std::string& key, const std::string& value, long lease) {
    item& held = items_[key];
    held.value = value;
    held.revision = ++revision_;
    held.created = held.created == 0 ? revision_ : held.created;
    held.lease = lease;
    changes_.push_back(ItemJson(key));
    changed_.notify_all();
  }

  void RemoveLocked(const std::string& key) {
    if (items_.erase(key) == 0)
      return;
    changes_.push_back(
        {{"key", key}, {"revision", ++revision_}, {"deleted", true}});
    changed_.notify_all();
  }

  void EndLeases() {
    for (;;) {
      SleepMs(100);
      const std::lock_guard lock(mutex_);
      std::erase_if(leases_, [](const auto& entry) {
        return NowMs() >= entry.second.deadline;
      });
      std::vector<std::string> ended;
      for (const auto& [key, held] : items_) {
        if (held.lease != 0 && !leases_.contains(held.lease))
          ended.push_back(key);
      }
      for (const std::string& key : ended)
        RemoveLocked(key);
    }
  }

  static std::string Decode(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        decoded +=
            static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        decoded += text[i] == '+' ? ' ' : text[i];
      }
    }
    return decoded;
  }

  void Serve(const std::shared_ptr<channel>& opened,
             const std::atomic<bool>* refuses = nullptr) {
    message request;
    while (opened->Read(request)) {
      if (refuses && *refuses) {
        SleepMs(4);
        if (!opened->Write(Answer(429, "", "")))
          return;
        continue;
      }
      std::string target = request.Word(1);
      std::map<std::string, std::string> query;
      const std::size_t mark = target.find('?');
      if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        for (std::string pair; std::getline(pairs, pair, '&');) {
          const std::size_t equals = pair.find('=');
          if (equals != std::string::npos)
            query[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
        }
        target = target.substr(0, mark);
      }
      auto [status, body] = Handle(target, query, request.body);
      SleepMs(4);
      if (refuses && *refuses) {
        status = 429;
        body = json::object();
      }
      if (!opened->Write(Answer(status, "Content-Type: application/json\r\n",
                                body.dump())))
        return;
    }
  }

  std::pair<int, json> Handle(const std::string& path,
                              std::map<std::string, std::string>& query,
                              const std::string& body) {
    std::unique_lock lock(mutex_);
    const std::string prefix = query["path_prefix"];
    if (path == "/kv-key") {
      json found = ItemJson(query["key"]);
      found["at"] = revision_;
      return {items_.contains(query["key"]) ? 200 : 404, found};
    }
    if (path == "/kv-range") {
      json items = json::array();
      for (const auto& [key, held] : items_) {
        if (key.starts_with(prefix) && key > query["since_revision"])
          items.push_back(ItemJson(key));
      }
      return {200, {{"items", items}, {"has_more", false}, {"at", revision_}}};
    }
    if (path == "/kv-watch") {
      const long since = std::stol(query["since_revision"]);
      const auto deadline =
          std::chrono::steady_clock::now() +
          std::chrono::milliseconds(std::stol(query["wait_timeout_ms"]));
      for (;;) {
        json events = json::array();
        for (const json& change : changes_) {
          if (change["revision"].get<long>() > since &&
              change["key"].get<std::string>().starts_with(prefix))
            events.push_back(change);
        }
        if (!events.empty() ||
            changed_.wait_until(lock, deadline) == std::cv_status::timeout)
          return {200, {{"events", events}, {"at", revision_}}};
      }
    }
    const json fields = json::parse(body, nullptr, false);
    if (path == "/kv-lease") {
      const auto ttl = fields.value("ttl_ms", 1000L);
      leases_[++last_lease_] = {double(ttl), NowMs() + double(ttl)};
      return {200, {{"lease", last_lease_}, {"ttl_ms", ttl}}};
    }
    if (path.starts_with("/kv-keep/")) {
      const auto found = leases_.find(std::stol(path.substr(9)));
      if (found == leases_.end())
        return {404, json::object()};
      found->second.deadline = NowMs() + found->second.ttl_ms;
      return {200, {{"ttl_ms", found->second.ttl_ms}}};
    }
    if (path == "/kv-txn") {
      json current = json::array();
      bool same = true;
      for (const json& row : fields["expected_revision"]) {
        const json held = ItemJson(row["key"].get<std::string>());
        same = same && held["revision"] == row["revision"];
        current.push_back(held);
      }
      if (!same)
        return {412, {{"items", current}}};
      for (const json& put : fields["puts"]) {
        const long lease = put.value("lease", 0L);
        if (lease != 0 && !leases_.contains(lease))
          return {404, json::object()};
      }
      for (const json& put : fields["puts"])
        PutLocked(put["key"].get<std::string>(),
                  put["value"].get<std::string>(), put.value("lease", 0L));
      for (const json& key : fields["remove"])
        RemoveLocked(key.get<std::string>());
      return {200, {{"revision", revision_}}};
    }
    return {404, json::object()};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<json> changes_;
  std::map<long, lease> leases_;
  long revision_ = 1;
  long last_lease_ = 0;
  std::vector<std::unique_ptr<listener>> doors_;
  listener listener_;
};

// A route and a service of the configuration, with the figures of a small
// deployment.
inline json Route(const std::string& name,
                  const std::string& kind,
                  const std::string& service,
                  int timeout_ms,
                  int target_latency_ms,
                  int max_attempts) {
  return {{"name", name},
          {"hostname", "h.example"},
          {"path_prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", target_latency_ms},
          {"priority", 0},
          {"service", service},
          {"max_attempts", max_attempts},
          {"allow_anonymous", true},
          {"session_affinity", kind == "streaming"},
          {"stream_resume", false},
          {"target_gap_ms", 180}};
}

inline json Engines(const std::string& name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_connections", 442},
          {"protocol", "h1"},
          {"tls", false},
          {"cold_start_s", 1.0},
          {"cold_per_s", 45.0},
          {"engine",
           {{"slots", 64},
            {"kv_cache_tokens", 34406},
            {"kv_token_bytes", 18432},
            {"link_mbps", 2700.0},
            {"stride", 4},
            {"moves", true},
            {"replicas", true}}}};
}

inline json PlainService(const std::string& name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_connections", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

inline std::string Configuration(int version,
                                 const json& routes,
                                 const json& services) {
  return json{{"version", version},
              {"routes", routes},
              {"services", services},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 1048576},
                {"header_timeout_ms", 5000},
                {"idle_timeout_ms", 15000}}},
              {"tenants", json::array()}}
      .dump();
}

// The entry that a worker writes under `servers/`.
inline std::string WorkerEntry(const std::string& service,
                               std::uint16_t port,
                               const std::string& zone,
                               const std::string& state,
                               long sequence) {
  static const long born =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  return json{{"service", service},
              {"address", "127.0.0.1:" + std::to_string(port)},
              {"zone", zone},
              {"version", "v1"},
              {"slots", 64},
              {"state", state},
              {"cold_remaining_ms", 0},
              {"sequence", sequence},
              {"born", born}}
      .dump();
}

// A gateway, started with the `run` line of the deploy file.
class gateway {
 public:
  gateway(const std::string& directory,
          const std::string& name,
          const std::string& zone,
          std::uint16_t store_port,
          int memory_mb = 110,
          double link_mbps = 1000) {
    front_ = FreePort();
    ready_ = FreePort();
    std::uint16_t first = FreePort();
    std::uint16_t last = FreePort();
    if (first > last)
      std::swap(first, last);
    const std::string path = directory + "/" + name + ".yaml";
    std::ofstream file(path);
    file << "node_name: \"" << name << "\"\nrole: \"gateway\"\n"
         << "machine_class: \"front\"\nip: \"127.0.0.1\"\nzone: \"" << zone
         << "\"\nregion: \"breizh\"\nlisten: {front: \"127.0.0.1:" << front_
         << "\", ready: \"127.0.0.1:" << ready_ << "\"}\ninternal_ports: ["
         << first << ", " << last << "]\nbootstrap: true\nlimits: {cpu_share: "
         << "0.25, cores: 1, memory_mb: " << memory_mb
         << ", max_fds: 4100, link_mbps: " << link_mbps << "}\n"
         << "heartbeat_ms: 1200\nbounds: {contact_ms: 3000, drain_ms: 2000, "
         << "grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, "
         << "strict_revoke: true, revoke_ms: 5000, retry_budget_ratio: 0.2, "
         << "budget_window_s: 10, budget_slack: 56}\nplatform: {address: "
         << "\"127.0.0.1:" << store_port << "\", form: \"kv\"}\n";
    file.close();
    process_ = fork();
    if (process_ == 0) {
      // It ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open((directory + "/" + name + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      for (int handle = 3; handle < 1024; ++handle)
        close(handle);
      setenv("WISTERIATALLY_CONFIG", path.c_str(), 1);
      execl("target/src/apps/wisteriatally", "target/src/apps/wisteriatally",
            "gateway", nullptr);
      _exit(2);
    }
  }
  ~gateway() { End(); }
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  bool AwaitReady(double limit_ms = 10'000) {
    const double deadline = NowMs() + limit_ms;
    while (NowMs() < deadline) {
      if (const auto opened = channel::Connect(ready_)) {
        message answer;
        if (opened->Write("GET /ready HTTP/1.1\r\nHost: h\r\n"
                          "Connection: close\r\n\r\n") &&
            opened->Read(answer) && answer.Status() == 200)
          return true;
      }
      SleepMs(50);
    }
    return false;
  }

  void Signal(int signal) { kill(process_, signal); }

  void End() {
    if (HasEnded())
      return;
    kill(process_, SIGKILL);
    waitpid(process_, &status_, 0);
    ended_ = true;
  }

  bool HasEnded() {
    if (!ended_ && waitpid(process_, &status_, WNOHANG) == process_)
      ended_ = true;
    return ended_;
  }
  std::string EndText() const {
    return WIFSIGNALED(status_)
               ? "signal " + std::to_string(WTERMSIG(status_))
               : "exit code " + std::to_string(WEXITSTATUS(status_));
  }

  // Resident memory in MB.
  double MemoryMb() const {
    std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
    double all = 0;
    double resident = 0;
    file >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }

  std::uint16_t front() const { return front_; }
  pid_t process() const { return process_; }

 private:
  std::uint16_t front_ = 0;
  std::uint16_t ready_ = 0;
  pid_t process_ = 0;
  int status_ = 0;
  bool ended_ = false;
};

inline std::string Request(const std::string& method,
                           const std::string& path,
                           const std::string& id,
                           int deadline_ms,
                           const std::string& headers = "",
                           const std::string& body = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" +
         "X-Wisteriatally-Request-Id: " + id +
         "\r\nX-Wisteriatally-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\n" + headers +
         (method == "GET"
              ? ""
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

// The folder for settings and logs, and whether the disruption takes place.
struct setting {
  std::string directory;
  bool trouble = true;
};

inline setting ReadSetting(int argc, char** argv) {
  if (argc < 3)
    _exit(2);
  signal(SIGPIPE, SIG_IGN);
  NowMs();
  const char* trouble = getenv("TROUBLE");
  return {argv[2], !(trouble && std::string(trouble) == "0")};
}

// Ends the script with its result. Threads that still serve a channel end with
// the process; the gateways are ended first.
inline void Conclude(record& log,
                     bool is_broken,
                     std::vector<gateway*> started) {
  log.Line("%s", is_broken ? "rule broken" : "rule held");
  for (gateway* held : started)
    held->End();
  _exit(is_broken ? 1 : 0);
}

inline void GiveUp(record& log,
                   const char* reason,
                   std::vector<gateway*> started) {
  log.Line("the case could not run: %s", reason);
  for (gateway* held : started)
    held->End();
  _exit(2);
}

}  // namespace kit

#endif  // REVIEW_STAND_INS_KIT_HPP_
