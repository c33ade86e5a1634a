// Small stand-ins of the platform for the cases of this review: its store, its
// workers, its requesters and its balancer, all on loopback addresses. They
// keep to PROTOCOL.md and DEPLOY.md; the gateways are real processes.
#ifndef REVIEW_STAND_INS_2_KIT_HPP_
#define REVIEW_STAND_INS_2_KIT_HPP_

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
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using nlohmann::json;

inline std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline void SleepUntil(std::int64_t at_ms) {
  const std::int64_t left = at_ms - NowMs();
  if (left > 0)
    SleepMs(left);
}

// The record of a run: what was sent, answered and run.
class record {
 public:
  static void Open(const std::string& path) {
    std::lock_guard lock(Mutex());
    File().open(path, std::ios::trunc);
  }
  static void Line(const char* format, ...)
      __attribute__((format(printf, 1, 2))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    std::lock_guard lock(Mutex());
    File() << NowMs() << " ms " << text << "\n" << std::flush;
  }

 private:
  static std::mutex& Mutex() {
    static std::mutex mutex;
    return mutex;
  }
  static std::ofstream& File() {
    static std::ofstream file;
    return file;
  }
};

struct address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const address& at) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &result.sin_addr);
  return result;
}

inline bool IsFree(const address& at, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSockaddr(at);
  const bool is_free =
      bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0;
  close(fd);
  return is_free;
}

inline int FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name = ToSockaddr({ip, 0});
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
    perror("bind");
    exit(2);
  }
  socklen_t size = sizeof(name);
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  close(fd);
  return ntohs(name.sin_port);
}

struct header {
  std::string name;
  std::string value;
};

struct message {
  std::string first_line;
  std::vector<header> headers;
  std::string body;
  bool is_whole = false;

  std::string Header(const std::string& name) const {
    for (const header& entry : headers) {
      if (strcasecmp(entry.name.c_str(), name.c_str()) == 0)
        return entry.value;
    }
    return "";
  }
  std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
  std::string Target() const {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  int Status() const {
    return first_line.size() > 12 ? atoi(first_line.c_str() + 9) : 0;
  }
};

// A connection with a read buffer.
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {}
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  static std::shared_ptr<connection> Open(const address& to,
                                          std::int64_t wait_ms) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in name = ToSockaddr(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) !=
            0 &&
        errno != EINPROGRESS) {
      close(fd);
      return nullptr;
    }
    pollfd entry{fd, POLLOUT, 0};
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    if (poll(&entry, 1, static_cast<int>(wait_ms)) == 1)
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      close(fd);
      return nullptr;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_shared<connection>(fd);
  }

  int fd() const { return fd_; }

  // Returns 1 for bytes, 0 for the end, -1 for a reset, -2 if time is over.
  int Fill(std::int64_t deadline_ms) {
    pollfd entry{fd_, POLLIN, 0};
    const std::int64_t left = std::max<std::int64_t>(0, deadline_ms - NowMs());
    if (poll(&entry, 1, static_cast<int>(left)) <= 0)
      return -2;
    char bytes[65536];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    if (size == 0)
      return 0;
    if (size < 0)
      return errno == EAGAIN ? 1 : -1;
    buffer.append(bytes, static_cast<std::size_t>(size));
    return 1;
  }

  bool Write(const std::string& bytes, std::int64_t deadline_ms = 1 << 30) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size > 0) {
        sent += static_cast<std::size_t>(size);
        continue;
      }
      if (size < 0 && errno != EAGAIN)
        return false;
      pollfd entry{fd_, POLLOUT, 0};
      if (NowMs() >= deadline_ms)
        return false;
      poll(&entry, 1, 100);
    }
    return true;
  }

  // Whether the peer has closed or reset the connection.
  bool IsGone() {
    pollfd entry{fd_, POLLIN | POLLRDHUP, 0};
    return poll(&entry, 1, 0) > 0 &&
           (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  void Close() {
    if (fd_ >= 0)
      close(std::exchange(fd_, -1));
  }

  void Reset() {
    if (fd_ < 0)
      return;
    const linger abort{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    Close();
  }

  std::string buffer;

 private:
  int fd_;
};

inline bool ReadHead(connection& from, message& into, std::int64_t deadline) {
  std::size_t end;
  while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (from.Fill(deadline) <= 0)
      return false;
  }
  std::istringstream lines(from.buffer.substr(0, end));
  from.buffer.erase(0, end + 4);
  std::string line;
  std::getline(lines, line);
  if (!line.empty() && line.back() == '\r')
    line.pop_back();
  into.first_line = line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    into.headers.push_back({line.substr(0, colon), value});
  }
  return true;
}

// Reads the body by length or in chunks; `on_piece` gets it as it arrives.
inline bool ReadBody(
    connection& from,
    message& into,
    std::int64_t deadline,
    const std::function<void(const std::string&)>& on_piece = {}) {
  const auto take = [&](std::size_t size) {
    into.body.append(from.buffer, 0, size);
    if (on_piece)
      on_piece(from.buffer.substr(0, size));
    from.buffer.erase(0, size);
  };
  if (into.Header("Transfer-Encoding") == "chunked") {
    for (;;) {
      std::size_t end;
      while ((end = from.buffer.find("\r\n")) == std::string::npos) {
        if (from.Fill(deadline) <= 0)
          return false;
      }
      const std::size_t size = strtoul(from.buffer.c_str(), nullptr, 16);
      while (from.buffer.size() < end + 2 + size + 2) {
        if (from.Fill(deadline) <= 0)
          return false;
      }
      from.buffer.erase(0, end + 2);
      take(size);
      from.buffer.erase(0, 2);
      if (size == 0)
        return into.is_whole = true;
    }
  }
  const std::size_t length =
      strtoul(into.Header("Content-Length").c_str(), nullptr, 10);
  while (from.buffer.size() < length) {
    if (from.Fill(deadline) <= 0)
      return false;
  }
  take(length);
  return into.is_whole = true;
}

inline std::string Response(int status,
                            const std::vector<header>& headers,
                            const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
  for (const header& entry : headers)
    text += entry.name + ": " + entry.value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Accepts connections and handles each on a thread of its own.
class server {
 public:
  using handler = std::function<void(const std::shared_ptr<connection>&)>;

  server(const address& at, handler handle) : handle_(std::move(handle)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in name = ToSockaddr(at);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) !=
            0 ||
        listen(fd_, 512) != 0) {
      perror(at.Text().c_str());
      exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }

  // Accepts no more connections; those that are open go on.
  void Stop() {
    is_stopped_ = true;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
  }

 private:
  void Accept() {
    while (!is_stopped_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (is_stopped_)
          return;
        SleepMs(1);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([handle = handle_, fd] {
        handle(std::make_shared<connection>(fd));
      }).detach();
    }
  }

  int fd_;
  std::atomic<bool> is_stopped_ = false;
  handler handle_;
};

inline std::string EncodeBase64(const std::string& bytes) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve(bytes.size() * 4 / 3 + 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t j = 0; j < 3; ++j)
      word =
          word << 8 |
          (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      text += i + j <= bytes.size() ? digits[word >> (18 - 6 * j) & 63] : '=';
  }
  return text;
}

inline std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  const auto mark = target.find('?');
  if (mark == std::string::npos)
    return query;
  std::istringstream entries(target.substr(mark + 1));
  for (std::string entry; std::getline(entries, entry, '&');) {
    const auto equals = entry.find('=');
    std::string value;
    for (std::size_t i = equals + 1; i < entry.size(); ++i) {
      if (entry[i] == '%' && i + 2 < entry.size()) {
        value += static_cast<char>(
            strtol(entry.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        value += entry[i];
      }
    }
    query[entry.substr(0, equals)] = value;
  }
  return query;
}

// The platform's metadata store. Values are kept in base 64, as they travel.
class store {
 public:
  explicit store(const address& at, std::int64_t retention_ms = 20'000)
      : address_(at),
        retention_ms_(retention_ms),
        server_(at, [this](const auto& caller) { Serve(caller); }) {
    std::thread([this] { EndLeases(); }).detach();
  }

  const address& at() const { return address_; }

  // Writes as the operator or a worker; the return is the acknowledgement.
  std::int64_t Put(const std::string& key, const std::string& value) {
    std::lock_guard lock(mutex_);
    return PutLocked(key, EncodeBase64(value), 0);
  }

  void Remove(const std::string& key) {
    std::lock_guard lock(mutex_);
    RemoveLocked(key);
  }

  std::size_t Count(const std::string& prefix) {
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        items_.begin(), items_.end(),
        [&](const auto& entry) { return entry.first.starts_with(prefix); }));
  }

  std::atomic<std::int64_t> history_gone = 0;

  // One machine's way to the store.
  struct entrance {
    std::atomic<bool> refuses = false;    // Answers 503 to this machine.
    std::atomic<bool> is_silent = false;  // Doesn't answer this machine.
    std::atomic<std::int64_t> watches = 0;
    std::atomic<std::int64_t> refusals = 0;
  };

  std::shared_ptr<entrance> Open(const address& at) {
    auto opened = std::make_shared<entrance>();
    entrances_.push_back(std::make_unique<server>(
        at, [this, opened](const auto& caller) { Serve(caller, opened); }));
    return opened;
  }

 private:
  struct item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct change {
    std::string key;
    std::int64_t revision = 0;
    std::int64_t at_ms = 0;
    std::string text;
  };
  struct lease {
    std::int64_t ttl_ms = 0;
    std::int64_t deadline_ms = 0;
  };

  static std::string ItemText(const std::string& key, const item& held) {
    return "{\"key\":" + json(key).dump() + ",\"value\":\"" + held.value +
           "\",\"revision\":" + std::to_string(held.revision) +
           ",\"created\":" + std::to_string(held.created) +
           ",\"lease\":" + std::to_string(held.lease) + "}";
  }

  std::int64_t PutLocked(const std::string& key,
                         const std::string& value,
                         std::int64_t lease_number) {
    item& held = items_[key];
    ++revision_;
    if (held.created == 0)
      held.created = revision_;
    held.value = value;
    held.revision = revision_;
    held.lease = lease_number;
    AddChange(key, ItemText(key, held));
    return revision_;
  }

  void RemoveLocked(const std::string& key) {
    if (items_.erase(key) == 0)
      return;
    ++revision_;
    AddChange(key, "{\"key\":" + json(key).dump() + ",\"revision\":" +
                       std::to_string(revision_) + ",\"deleted\":true}");
  }

  void AddChange(const std::string& key, std::string text) {
    const std::int64_t now = NowMs();
    changes_.push_back({key, revision_, now, std::move(text)});
    while (!changes_.empty() && changes_.front().at_ms + retention_ms_ < now) {
      dropped_revision_ = changes_.front().revision;
      changes_.pop_front();
    }
    changed_.notify_all();
  }

  void EndLeases() {
    for (;;) {
      SleepMs(100);
      std::lock_guard lock(mutex_);
      const std::int64_t now = NowMs();
      std::vector<std::string> ended;
      for (const auto& [key, held] : items_) {
        const auto found = leases_.find(held.lease);
        if (held.lease != 0 &&
            (found == leases_.end() || now >= found->second.deadline_ms))
          ended.push_back(key);
      }
      for (const std::string& key : ended)
        RemoveLocked(key);
      std::erase_if(leases_, [&](const auto& entry) {
        return now >= entry.second.deadline_ms;
      });
      while (!changes_.empty() &&
             changes_.front().at_ms + retention_ms_ < now) {
        dropped_revision_ = changes_.front().revision;
        changes_.pop_front();
      }
    }
  }

  void Serve(const std::shared_ptr<connection>& caller,
             const std::shared_ptr<entrance>& through = {}) {
    for (;;) {
      message request;
      if (!ReadHead(*caller, request, 1 << 30) ||
          !ReadBody(*caller, request, 1 << 30))
        return;
      // An answer that is held back never comes.
      while (through && through->is_silent) {
        SleepMs(20);
        if (caller->IsGone())
          return;
      }
      if (through && through->refuses) {
        ++through->refusals;
        if (!caller->Write(Response(503, {}, "")))
          return;
        continue;
      }
      if (through && request.Target().starts_with("/kv-watch"))
        ++through->watches;
      const auto [status, body] = Answer(request, *caller, through);
      while (through && through->is_silent) {
        SleepMs(20);
        if (caller->IsGone())
          return;
      }
      if (!caller->Write(
              Response(status, {{"Content-Type", "application/json"}}, body)))
        return;
    }
  }

  std::pair<int, std::string> Answer(const message& request,
                                     connection& caller,
                                     const std::shared_ptr<entrance>& through) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    auto query = Query(target);
    if (path == "/kv-range")
      return Range(query["path_prefix"], query["since_revision"]);
    if (path == "/kv-watch")
      return Watch(query["path_prefix"], std::stoll(query["since_revision"]),
                   std::stoll(query["wait_timeout_ms"]), caller, through);
    if (path == "/kv-lease") {
      std::lock_guard lock(mutex_);
      const auto ttl = json::parse(request.body).at("ttl_ms").get<int>();
      leases_[++last_lease_] = {ttl, NowMs() + ttl};
      return {200, json{{"lease", last_lease_}, {"ttl_ms", ttl}}.dump()};
    }
    if (path.starts_with("/kv-keep/")) {
      std::lock_guard lock(mutex_);
      const auto found = leases_.find(std::stoll(path.substr(9)));
      if (found == leases_.end())
        return {404, "{}"};
      found->second.deadline_ms = NowMs() + found->second.ttl_ms;
      return {200, json{{"ttl_ms", found->second.ttl_ms}}.dump()};
    }
    if (path == "/kv-txn")
      return Commit(json::parse(request.body));
    return {404, "{}"};
  }

  std::pair<int, std::string> Range(const std::string& prefix,
                                    const std::string& after) {
    constexpr std::size_t kMaxItems = 500;
    std::lock_guard lock(mutex_);
    std::string items;
    std::size_t count = 0;
    bool has_more = false;
    for (const auto& [key, held] : items_) {
      if (!key.starts_with(prefix) || (!after.empty() && key <= after))
        continue;
      if (count >= kMaxItems || items.size() > 1'000'000) {
        has_more = true;
        break;
      }
      items += (items.empty() ? "" : ",") + ItemText(key, held);
      ++count;
    }
    return {200, "{\"items\":[" + items +
                     "],\"has_more\":" + (has_more ? "true" : "false") +
                     ",\"at\":" + std::to_string(revision_) + "}"};
  }

  std::pair<int, std::string> Watch(const std::string& prefix,
                                    std::int64_t since,
                                    std::int64_t wait_ms,
                                    connection& caller,
                                    const std::shared_ptr<entrance>& through) {
    const std::int64_t deadline = NowMs() + wait_ms;
    std::unique_lock lock(mutex_);
    for (;;) {
      if (since < dropped_revision_) {
        ++history_gone;
        return {410, "{}"};
      }
      std::string events;
      for (const change& entry : changes_) {
        if (entry.revision > since && entry.key.starts_with(prefix))
          events += (events.empty() ? "" : ",") + entry.text;
      }
      const std::int64_t left = deadline - NowMs();
      if (!events.empty() || left <= 0)
        return {200, "{\"events\":[" + events +
                         "],\"at\":" + std::to_string(revision_) + "}"};
      changed_.wait_for(
          lock, std::chrono::milliseconds(std::min<std::int64_t>(left, 50)));
      // A watch that waits may be cut.
      if (through && through->refuses)
        return {503, "{}"};
      if (caller.IsGone())
        return {200, "{}"};
    }
  }

  std::pair<int, std::string> Commit(const json& transaction) {
    std::lock_guard lock(mutex_);
    bool is_current = true;
    json current = json::array();
    for (const json& expected : transaction.at("expected_revision")) {
      const auto key = expected.at("key").get<std::string>();
      const auto found = items_.find(key);
      const std::int64_t revision =
          found == items_.end() ? 0 : found->second.revision;
      is_current = is_current && revision == expected.at("revision");
      current.push_back(found == items_.end()
                            ? json{{"key", key}, {"revision", 0}}
                            : json::parse(ItemText(key, found->second)));
    }
    if (!is_current)
      return {412, json{{"items", current}}.dump()};
    for (const json& put : transaction.at("puts")) {
      const auto lease_number = put.at("lease").get<std::int64_t>();
      if (lease_number != 0 && !leases_.contains(lease_number))
        return {404, "{}"};
    }
    for (const json& put : transaction.at("puts"))
      PutLocked(put.at("key"), put.at("value"), put.at("lease"));
    for (const json& key : transaction.at("remove"))
      RemoveLocked(key);
    return {200, json{{"revision", revision_}}.dump()};
  }

  const address address_;
  const std::int64_t retention_ms_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::deque<change> changes_;
  std::map<std::int64_t, lease> leases_;
  std::int64_t revision_ = 100;
  std::int64_t dropped_revision_ = 0;
  std::int64_t last_lease_ = 0;
  std::vector<std::unique_ptr<server>> entrances_;
  server server_;
};

// A gateway: the command of the deploy file, with the settings of a machine.
class gateway {
 public:
  struct options {
    std::string name;
    std::string ip;
    std::string zone;
    std::vector<std::string> zones;
    int first_port = 0;
    address store;
    int memory_mb = 110;
    bool is_first_start = true;
  };

  gateway(const options& of, const std::string& folder)
      : options_(of),
        settings_path_(folder + "/" + of.name + ".yaml"),
        log_path_(folder + "/" + of.name + ".log") {}
  ~gateway() { Kill(); }

  address front() const { return {options_.ip, options_.first_port + 20}; }
  address ready() const { return {options_.ip, options_.first_port + 21}; }
  const std::string& name() const { return options_.name; }
  const std::string& log_path() const { return log_path_; }
  pid_t pid() const { return pid_; }

  void Start() {
    WriteSettings();
    const int log = open(log_path_.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string variable = "WISTERIATALLY_CONFIG=" + settings_path_;
    const char* path = getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path ? path : "");
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent)
        _exit(2);
      dup2(log, 1);
      dup2(log, 2);
      char program[] = "target/src/apps/wisteriatally";
      char role[] = "gateway";
      char* arguments[] = {program, role, nullptr};
      char* environment[] = {const_cast<char*>(variable.c_str()),
                             const_cast<char*>(path_variable.c_str()), nullptr};
      execve(program, arguments, environment);
      _exit(2);
    }
    close(log);
    record::Line("%s started", options_.name.c_str());
  }

  void Signal(int number) {
    if (pid_ > 0)
      kill(pid_, number);
  }

  // Returns whether the process has ended.
  bool HasEnded() {
    if (pid_ <= 0)
      return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
      return false;
    end_status_ = status;
    pid_ = 0;
    return true;
  }
  int end_status() const { return end_status_; }

  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

  // Resident memory in MB, now or at its peak.
  double MemoryMb(const char* field = "VmRSS:") const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string word; status >> word;) {
      if (word == field) {
        double kilobytes = 0;
        status >> kilobytes;
        return kilobytes * 1024 / 1e6;
      }
    }
    return 0;
  }

  bool IsReady() const {
    const auto probe = connection::Open(ready(), 300);
    message answer;
    return probe &&
           probe->Write("GET /ready HTTP/1.1\r\nHost: " + ready().Text() +
                        "\r\nConnection: close\r\n\r\n") &&
           ReadHead(*probe, answer, NowMs() + 900) && answer.Status() == 200;
  }

  options& Options() { return options_; }

 private:
  void WriteSettings() {
    const options& o = options_;
    std::ofstream file(settings_path_);
    file << "node_name: \"" << o.name << "\"\nrole: \"gateway\"\n"
         << "machine_class: \"front\"\nserves:\n  - \"front\"\nip: \"" << o.ip
         << "\"\nzone: \"" << o.zone << "\"\nregion: \"r\"\nzones:\n";
    for (const std::string& zone : o.zones)
      file << "  " << zone << ": \"r\"\n";
    file << "listen:\n  front: \"" << front().Text() << "\"\n  ready: \""
         << ready().Text() << "\"\ninternal_ports:\n  - " << o.first_port
         << "\n  - " << o.first_port + 15
         << "\nseeds: []\nbootstrap: " << (o.is_first_start ? "true" : "false")
         << "\ninclude_in_tolerance: false\nlimits:\n  cpu_share: 0.25\n"
         << "  cores: 1\n  memory_mb: " << o.memory_mb
         << "\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
         << "data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n"
         << "heartbeat_ms: 1200\ncontracts:\n";
    for (const char* contract :
         {"base", "drain", "config", "cost", "retry", "recover", "engine",
          "stream", "tenants", "places", "platform"})
      file << "  - \"" << contract << "\"\n";
    file << "fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\n"
         << "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n"
         << "  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n"
         << "  loss_slack_ms: 200\n  config_apply_ms: 2000\n"
         << "  rollback_slack_ms: 250\n  outer_ms: 5000\n"
         << "  strict_revoke: true\n  revoke_ms: 5000\n"
         << "  retry_budget_ratio: 0.2\n  budget_window_s: 10\n"
         << "  budget_slack: 56\n  cold_over: 1.5\n  cold_slack: 5\n"
         << "  evacuate_ms: 5000\n  recovery_s: 12\n  iteration_ms: 120\n"
         << "  reuse_window_s: 5.4\nplatform:\n  address: \"" << o.store.Text()
         << "\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n"
         << "  retention_s: 20\n  max_value_bytes: 1048576\n"
         << "  min_ttl_ms: 1000\n";
  }

  options options_;
  const std::string settings_path_;
  const std::string log_path_;
  pid_t pid_ = 0;
  int end_status_ = 0;
};

struct answer {
  int status = 0;  // 0: no head arrived.
  message response;
  bool is_whole = false;
  std::string end;  // What ended it if it isn't whole.
  std::int64_t sent_ms = 0;
};

// Sends one request on a new connection and reads the answer.
inline answer Ask(const address& to,
                  const std::string& request,
                  std::int64_t wait_ms) {
  answer result;
  const auto channel = connection::Open(to, 1000);
  result.sent_ms = NowMs();
  if (!channel) {
    result.end = "no connection";
    return result;
  }
  const std::int64_t deadline = NowMs() + wait_ms;
  if (!channel->Write(request) ||
      !ReadHead(*channel, result.response, deadline)) {
    result.end = NowMs() >= deadline ? "time is over" : "closed";
    return result;
  }
  result.status = result.response.Status();
  result.is_whole = ReadBody(*channel, result.response, deadline);
  if (!result.is_whole)
    result.end = NowMs() >= deadline ? "time is over" : "closed";
  return result;
}

inline std::string Request(const std::string& method,
                           const std::string& host,
                           const std::string& path,
                           const std::string& id,
                           std::int64_t time_left_ms,
                           const std::vector<header>& more = {},
                           const std::string& body = "") {
  std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: " + host +
      "\r\nX-Wisteriatally-Request-Id: " + id +
      "\r\nX-Wisteriatally-Deadline-Ms: " + std::to_string(time_left_ms) +
      "\r\n";
  for (const header& entry : more)
    text += entry.name + ": " + entry.value + "\r\n";
  if (method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Finds ports that are free on all addresses of the gateways.
inline int FreePorts(const std::vector<std::string>& ips) {
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int first =
        20'000 + static_cast<int>((static_cast<unsigned>(getpid()) * 7919u +
                                   static_cast<unsigned>(attempt) * 104'729u) %
                                  10'000u);
    bool is_free = true;
    for (const std::string& ip : ips) {
      for (int port = first; port < first + 22 && is_free; ++port)
        is_free =
            IsFree({ip, port}, SOCK_STREAM) && IsFree({ip, port}, SOCK_DGRAM);
    }
    if (is_free)
      return first;
  }
  fprintf(stderr, "no free ports\n");
  exit(2);
}

// A folder for settings and logs, removed at the end.
class temporary_folder {
 public:
  temporary_folder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(name.data())) {
      perror("mkdtemp");
      exit(2);
    }
    path_ = name;
  }
  ~temporary_folder() {
    std::error_code error;
    if (!getenv("KEEP_LOGS"))
      std::filesystem::remove_all(path_, error);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// TROUBLE=0 leaves the disruption out.
inline bool HasTrouble() {
  const char* trouble = getenv("TROUBLE");
  return !trouble || strcmp(trouble, "0") != 0;
}

}  // namespace kit

#endif  // REVIEW_STAND_INS_2_KIT_HPP_
