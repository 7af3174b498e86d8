// Stand-ins of the platform's store, of engines and of clients, and relay nodes as processes, for
// the scripts of this review. One header, blocking sockets, a thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json/src.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline Clock::time_point Start() {
  static const Clock::time_point start = Clock::now();
  return start;
}

inline double Seconds() { return std::chrono::duration<double>(Clock::now() - Start()).count(); }

// record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) { Start(); }
  ~Record() { std::fclose(file_); }

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", Seconds(), text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

inline int Listen(Address* address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in name = SocketAddress(*address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0) return -1;
  socklen_t length = sizeof name;
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length);
  address->port = ntohs(name.sin_port);
  listen(fd, 512);
  return fd;
}

inline int Connect(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = SocketAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool SendAll(int fd, const std::string& text) {
  size_t done = 0;
  while (done < text.size()) {
    const ssize_t sent = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    done += static_cast<size_t>(sent);
  }
  return true;
}

// True when the peer has closed its side or reset the connection.
inline bool IsClosed(int fd) {
  char byte = 0;
  const ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

// A request or an answer.
struct Message {
  std::string first;                           // first line
  std::map<std::string, std::string> headers;  // by name in lower case
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? std::string() : found->second;
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const {
    const size_t begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
  int Status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + first.find(' ') + 1) : 0;
  }
};

// Reads messages from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Ends every wait at this time.
  void SetDeadline(Clock::time_point deadline) { deadline_ = deadline; }

  bool ReadHead(Message* message) {
    size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!More()) return false;
    }
    std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    *message = Message();
    size_t begin = 0;
    for (size_t line = 0; begin < head.size(); ++line) {
      const size_t stop = head.find("\r\n", begin);
      const std::string text = head.substr(begin, stop - begin);
      begin = stop + 2;
      if (line == 0) {
        message->first = text;
        continue;
      }
      const size_t colon = text.find(':');
      if (colon == std::string::npos) continue;
      size_t value = colon + 1;
      while (value < text.size() && text[value] == ' ') ++value;
      message->headers[Lower(text.substr(0, colon))] = text.substr(value);
    }
    return true;
  }

  // False when the body is not whole.
  bool ReadBody(Message* message) {
    if (message->Header("transfer-encoding") == "chunked") return ReadChunks(&message->body);
    size_t left = static_cast<size_t>(std::atoll(message->Header("content-length").c_str()));
    while (buffer_.size() < left) {
      if (!More()) return false;
    }
    message->body = buffer_.substr(0, left);
    buffer_.erase(0, left);
    return true;
  }

  bool Read(Message* message) { return ReadHead(message) && ReadBody(message); }

 private:
  bool ReadChunks(std::string* body) {
    while (true) {
      size_t end = std::string::npos;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!More()) return false;
      }
      const size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!More()) return false;
      }
      body->append(buffer_, end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }

  bool More() {
    pollfd wait{fd_, POLLIN, 0};
    const auto left = std::chrono::duration_cast<Millis>(deadline_ - Clock::now()).count();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(std::min<int64_t>(left, 600000))) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t got = recv(fd_, bytes, sizeof bytes, 0);
    if (got <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(got));
    return true;
  }

  int fd_;
  Clock::time_point deadline_ = Clock::now() + std::chrono::hours(1);
  std::string buffer_;
};

// Accepts connections and serves each in a thread of its own until the process ends.
class Server {
 public:
  using Serve = std::function<void(int fd)>;

  Server(const std::string& ip, Serve serve) : address_{ip, 0}, serve_(std::move(serve)) {
    fd_ = Listen(&address_);
    std::thread([this] { Accept(); }).detach();
  }

  const Address& At() const { return address_; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] {
        serve_(fd);
        close(fd);
      }).detach();
    }
  }

  Address address_;
  Serve serve_;
  int fd_ = -1;
};

inline std::string Answer(int status, const std::string& body, const std::string& headers = {}) {
  return "HTTP/1.1 " + std::to_string(status) +
         " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

inline std::string Base64(const std::string& bytes) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = (group << 8) | (i + j < bytes.size() ? static_cast<uint8_t>(bytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text.push_back(i + j <= bytes.size() ? digits[(group >> (18 - 6 * j)) & 63] : '=');
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    uint32_t digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = static_cast<uint32_t>(c - 'A');
    } else if (c >= 'a' && c <= 'z') {
      digit = static_cast<uint32_t>(c - 'a') + 26;
    } else if (c >= '0' && c <= '9') {
      digit = static_cast<uint32_t>(c - '0') + 52;
    } else if (c == '+' || c == '/') {
      digit = c == '+' ? 62 : 63;
    } else {
      break;
    }
    group = (group << 6) | digit;
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes.push_back(static_cast<char>((group >> bits) & 255));
  }
  return bytes;
}

// The value of a parameter in the query of `target`, decoded.
inline std::string Parameter(const std::string& target, const std::string& name) {
  size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const size_t end = target.find('&', ++begin);
    const std::string pair = target.substr(begin, end == std::string::npos ? end : end - begin);
    begin = end;
    if (pair.compare(0, name.size() + 1, name + "=") != 0) continue;
    std::string value;
    for (size_t i = name.size() + 1; i < pair.size(); ++i) {
      if (pair[i] != '%') {
        value.push_back(pair[i]);
        continue;
      }
      value.push_back(static_cast<char>(std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    }
    return value;
  }
  return {};
}

// The platform's store: linearizable, each answer after 4 ms, watches answered at once.
class Store {
 public:
  explicit Store(const std::string& ip) : server_(ip, [this](int fd) { Serve(fd); }) {}

  const Address& At() const { return server_.At(); }

  // Writes as the operator or an engine does; nullptr removes.
  void Put(const std::string& key, const std::string* value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++revision_;
    if (value != nullptr) {
      WriteLocked(key, *value, 0);
    } else {
      RemoveLocked(key);
    }
    changed_.notify_all();
  }
  void Put(const std::string& key, const std::string& value) { Put(key, &value); }

  // The value of a key; empty when there is none.
  std::string Get(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ExpireLocked();
    const auto item = items_.find(key);
    return item == items_.end() ? std::string() : item->second.value;
  }

  int64_t Revision() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return revision_;
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t made = 0;
    int64_t lease = 0;
  };
  struct Change {
    std::string key;
    int64_t revision = 0;
    bool gone = false;
    Item item;
  };
  struct Lease {
    Millis length{};
    Clock::time_point until;
  };

  static boost::json::object Json(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", Base64(item.value)},
            {"revision", item.revision},
            {"made", item.made},
            {"lease", item.lease}};
  }

  void WriteLocked(const std::string& key, const std::string& value, int64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = revision_;
    item.lease = lease;
    if (item.made == 0) item.made = revision_;
    history_.push_back({key, revision_, false, item});
  }

  void RemoveLocked(const std::string& key) {
    if (items_.erase(key) > 0) history_.push_back({key, revision_, true, {}});
  }

  void ExpireLocked() {
    const Clock::time_point now = Clock::now();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (lease->second.until > now) {
        ++lease;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, item] : items_) {
        if (item.lease == lease->first) keys.push_back(key);
      }
      if (!keys.empty()) ++revision_;
      for (const std::string& key : keys) RemoveLocked(key);
      lease = leases_.erase(lease);
      if (!keys.empty()) changed_.notify_all();
    }
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request)) {
      int status = 200;
      const std::string body = boost::json::serialize(Handle(request, &status));
      if (!SendAll(fd, Answer(status, body, "Content-Type: application/json\r\n"))) return;
    }
  }

  boost::json::object Handle(const Message& request, int* status) {
    const std::string target = request.Target();
    const auto is = [&target](const char* path) { return target.rfind(path, 0) == 0; };
    if (!is("/-/kv-watch")) std::this_thread::sleep_for(Millis(4));
    if (is("/-/kv-watch")) return Watch(target);
    const std::lock_guard<std::mutex> lock(mutex_);
    ExpireLocked();
    const int64_t id = std::atoll(target.c_str() + target.rfind('/') + 1);
    if (is("/-/kv-range")) return ListLocked(target);
    if (is("/-/kv-txn")) return TransactLocked(request.body, status);
    if (is("/-/kv-lease-end/")) return EndLocked(id, status);
    if (is("/-/kv-lease")) return GrantLocked(request.body);
    if (is("/-/kv-keep/")) return KeepLocked(id, status);
    *status = 404;
    return {};
  }

  boost::json::object ListLocked(const std::string& target) {
    const std::string prefix = Parameter(target, "path_prefix");
    const std::string after = Parameter(target, "since_rev");
    boost::json::array items;
    for (auto item = items_.upper_bound(after); item != items_.end(); ++item) {
      if (item->first.rfind(prefix, 0) == 0) items.push_back(Json(item->first, item->second));
    }
    return {{"items", items}, {"more", false}, {"at", revision_}};
  }

  boost::json::object Watch(const std::string& target) {
    const std::string prefix = Parameter(target, "path_prefix");
    const int64_t since = std::atoll(Parameter(target, "since_rev").c_str());
    const auto until = Clock::now() + Millis(std::atoll(Parameter(target, "wait_ms").c_str()));
    std::unique_lock<std::mutex> lock(mutex_);
    while (revision_ <= since && Clock::now() < until) {
      changed_.wait_for(lock, Millis(20));
      ExpireLocked();
    }
    boost::json::array events;
    for (const Change& change : history_) {
      if (change.revision <= since || change.key.rfind(prefix, 0) != 0) continue;
      if (change.gone) {
        events.push_back(boost::json::object{
            {"key", change.key}, {"revision", change.revision}, {"gone", true}});
      } else {
        events.push_back(Json(change.key, change.item));
      }
    }
    const int64_t at = revision_;
    lock.unlock();
    std::this_thread::sleep_for(Millis(4));
    return {{"events", events}, {"at", at}};
  }

  boost::json::object TransactLocked(const std::string& body, int* status) {
    const boost::json::object request = boost::json::parse(body).as_object();
    boost::json::array as_they_are;
    for (const auto& row : request.at("expected_rev").as_array()) {
      const std::string key(row.at("key").as_string());
      const auto item = items_.find(key);
      const int64_t revision = item == items_.end() ? 0 : item->second.revision;
      if (item != items_.end()) as_they_are.push_back(Json(key, item->second));
      if (revision != row.at("revision").to_number<int64_t>()) *status = 412;
    }
    if (*status == 412) return {{"items", as_they_are}};
    for (const auto& row : request.at("put").as_array()) {
      const auto lease = row.at("lease").to_number<int64_t>();
      if (lease != 0 && leases_.count(lease) == 0) *status = 404;
    }
    if (*status != 200) return {};
    ++revision_;
    for (const auto& row : request.at("put").as_array()) {
      WriteLocked(std::string(row.at("key").as_string()),
                  FromBase64(std::string(row.at("value").as_string())),
                  row.at("lease").to_number<int64_t>());
    }
    for (const auto& key : request.at("remove").as_array()) {
      RemoveLocked(std::string(key.as_string()));
    }
    changed_.notify_all();
    return {{"revision", revision_}};
  }

  boost::json::object GrantLocked(const std::string& body) {
    const Millis length(boost::json::parse(body).at("ttl_ms").to_number<int64_t>());
    leases_[++lease_] = {length, Clock::now() + length};
    return {{"lease", lease_}, {"ttl_ms", length.count()}};
  }

  boost::json::object KeepLocked(int64_t id, int* status) {
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
      *status = 404;
    } else {
      lease->second.until = Clock::now() + lease->second.length;
    }
    return {};
  }

  boost::json::object EndLocked(int64_t id, int* status) {
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
      *status = 404;
      return {};
    }
    lease->second.until = Clock::now();
    ExpireLocked();
    return {};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 100;
  int64_t lease_ = 0;
  Server server_;
};

// True when both TCP and UDP can be bound there.
inline bool IsFree(const Address& address) {
  bool free = true;
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in name = SocketAddress(address);
    free = free && bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
    close(fd);
  }
  return free;
}

// The first of five ports in a row that are free at all of these addresses, below those that the
// system gives to connections; 0: none, or the port of the metrics, which the deploy file fixes,
// is taken.
inline int FreePorts(const std::vector<std::string>& ips) {
  constexpr int kMetricsPort = 9464;
  constexpr int kFirst = 20000;
  constexpr int kLast = 30000;
  for (const std::string& ip : ips) {
    if (!IsFree({ip, kMetricsPort})) return 0;
  }
  for (int base = kFirst + getpid() % 1000 * 5; base < kLast; base += 5) {
    bool free = true;
    for (const std::string& ip : ips) {
      for (int i = 0; i < 5; ++i) free = free && IsFree({ip, base + i});
    }
    if (free) return base;
  }
  return 0;
}

// A relay node as a process, started with the command of the deploy file.
class Node {
 public:
  Node(std::string program, std::string folder, std::string name, std::string ip, std::string zone,
       int ports)
      : program_(std::move(program)),
        folder_(std::move(folder)),
        name_(std::move(name)),
        ip_(std::move(ip)),
        zone_(std::move(zone)),
        ports_(ports) {}

  const std::string& Name() const { return name_; }
  Address Front() const { return {ip_, ports_}; }
  Address Ready() const { return {ip_, ports_ + 1}; }
  Address Control() const { return {ip_, ports_ + 2}; }
  pid_t Pid() const { return pid_; }

  // `more`: further lines of the settings.
  void Run(const Address& store, const std::string& seeds, bool first, const std::string& more) {
    const std::string path = folder_ + "/" + name_ + ".conf";
    std::ofstream(path) << "node=" << name_
                        << "\nrole=relay\nclass=front\nserves=front,control\nip=" << ip_
                        << "\nzone=" << zone_ << "\nregion=r\nzones.hall-a=r\n"
                        << "zones.hall-b=r\nlisten.front=" << Front().Text()
                        << "\nlisten.ready=" << Ready().Text()
                        << "\nlisten.control=" << Control().Text()
                        << "\ninternal_ports=" << ports_ + 3 << "," << ports_ + 4 << "\n"
                        << "seeds=" << seeds << "\nbootstrap=" << (first ? "true" : "false")
                        << "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
                        << "limits.max_fds=4100\ndiscovery=platform\nheartbeat_ms=1200\n"
                        << "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
                        << "bounds.config_deadline_ms=2000\nbounds.skew_max_ms=5000\n"
                        << "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
                        << "bounds.budget_extra=56\nplatform.address=" << store.Text()
                        << "\nplatform.form=kv\nplatform.writes_per_s=400\n"
                        << "platform.reads_per_s=2000\nplatform.history_s=20\n"
                        << "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
                        << more;
    const std::string log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const std::string file = "CARTSAIL_NODE_FILE=" + path;
    const char* const environment[] = {file.c_str(), "PATH=/usr/bin:/bin", nullptr};
    execle(program_.c_str(), program_.c_str(), nullptr, environment);
    _exit(127);
  }

  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }

  // SIGKILL, and waits for the end.
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  std::string program_;
  std::string folder_;
  std::string name_;
  std::string ip_;
  std::string zone_;
  int ports_;  // the first of five
  pid_t pid_ = -1;
};

// One exchange on a new connection; status 0: no whole answer in time.
inline Message Exchange(const Address& address, const std::string& request, Millis patience) {
  Message answer;
  const int fd = Connect(address);
  if (fd < 0) return answer;
  Reader reader(fd);
  reader.SetDeadline(Clock::now() + patience);
  if (!SendAll(fd, request) || !reader.Read(&answer)) answer = Message();
  close(fd);
  return answer;
}

}  // namespace review
