// Stand-ins for the review's cases: the platform's store, engines, clients, a proxy, and the node's
// program as a process. Blocking sockets, a thread for each connection. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
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
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;

// Milliseconds since the start of the test.
inline int64_t NowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline void SleepUntilMs(int64_t time) { SleepMs(time - NowMs()); }

inline std::string Text(const char* format, ...) {
  char text[4096];
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(text, sizeof(text), format, arguments);
  va_end(arguments);
  return text;
}

// record.txt: what was sent, answered and run. One line each, with the time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) { NowMs(); }
  ~Record() {
    if (file_ != nullptr) fclose(file_);
  }
  void Line(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    fprintf(file_, "%8.3f %s\n", static_cast<double>(NowMs()) / 1e3, line.c_str());
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

// A connected socket with a read buffer. Closed by the destructor.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // `window_bytes`: size of the receive buffer; 0: the system's.
  static std::unique_ptr<Connection> To(const std::string& ip, int port, int timeout_ms = 1000,
                                        int window_bytes = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (window_bytes > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    int result = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (result != 0 && errno == EINPROGRESS) {
      pollfd entry{fd, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof(error);
      const bool done = poll(&entry, 1, timeout_ms) == 1 &&
                        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
      result = done ? 0 : -1;
    }
    if (result != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(fd);
  }

  int Fd() const { return fd_; }
  std::string& Buffer() { return buffer_; }

  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  // Reads some bytes into the buffer. False at the end, on errors and after `deadline` (NowMs()).
  bool Fill(int64_t deadline) {
    const int64_t left = deadline - NowMs();
    pollfd entry{fd_, POLLIN, 0};
    if (left < 0 || poll(&entry, 1, static_cast<int>(left)) != 1) return false;
    char bytes[16384];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      ended_ = true;
      reset_ = n < 0;
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  }

  // True if the peer ended the connection, as seen by the last Fill().
  bool Ended() const { return ended_; }
  bool WasReset() const { return reset_; }

  // True if the peer has closed the connection; takes no bytes.
  bool PeerGone() const {
    char byte = 0;
    const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

  // Wakes up a thread that reads.
  void Shutdown() { shutdown(fd_, SHUT_RDWR); }

 private:
  int fd_;
  std::string buffer_;
  bool ended_ = false;
  bool reset_ = false;
};

struct Message {
  std::string start;                           // the first line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool complete = false;  // the body's framing has ended

  std::string Header(const std::string& name) const {
    const auto header = headers.find(name);
    return header == headers.end() ? std::string() : header->second;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  int Status() const { return start.size() > 9 ? atoi(start.c_str() + 9) : 0; }
};

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
  return text;
}

// Reads a message. `on_body`: called with each piece of the body as it arrives.
inline bool ReadMessage(Connection& connection, int64_t deadline, Message* message,
                        const std::function<void(const std::string&)>& on_body = nullptr) {
  std::string& buffer = connection.Buffer();
  size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!connection.Fill(deadline)) return false;
  }
  std::string head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  size_t line_end = head.find("\r\n");
  message->start = head.substr(0, line_end);
  for (size_t at = line_end + 2; at < head.size();) {
    line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    at = line_end + 2;
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message->headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
  const auto take = [&](size_t bytes) {
    const std::string piece = buffer.substr(0, bytes);
    buffer.erase(0, bytes);
    message->body += piece;
    if (on_body && !piece.empty()) on_body(piece);
  };
  if (Lower(message->Header("transfer-encoding")) == "chunked") {
    while (true) {
      while ((end = buffer.find("\r\n")) == std::string::npos) {
        if (!connection.Fill(deadline)) return true;
      }
      size_t left = strtoul(buffer.c_str(), nullptr, 16);
      buffer.erase(0, end + 2);
      const bool is_last = left == 0;
      while (left > 0) {
        if (buffer.empty() && !connection.Fill(deadline)) return true;
        const size_t piece = std::min(left, buffer.size());
        take(piece);
        left -= piece;
      }
      while (buffer.size() < 2) {
        if (!connection.Fill(deadline)) return true;
      }
      buffer.erase(0, 2);
      if (is_last) break;
    }
    message->complete = true;
    return true;
  }
  if (!message->headers.contains("content-length")) {
    message->complete = true;
    return true;
  }
  size_t left = strtoul(message->Header("content-length").c_str(), nullptr, 10);
  while (left > 0) {
    if (buffer.empty() && !connection.Fill(deadline)) return true;
    const size_t piece = std::min(left, buffer.size());
    take(piece);
    left -= piece;
  }
  message->complete = true;
  return true;
}

// Accepts connections and serves each in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;

  Listener(const std::string& ip, Serve serve) : ip_(ip), serve_(std::move(serve)) {
    Open(0);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Listener() {
    stopping_ = true;
    if (acceptor_.joinable()) acceptor_.join();
    CloseAll();
    std::vector<std::thread> threads;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      threads.swap(threads_);
    }
    for (std::thread& thread : threads) thread.join();
    if (fd_ >= 0) close(fd_);
  }

  std::string Ip() const { return ip_; }
  int Port() const { return port_; }
  std::string Address() const { return ip_ + ":" + std::to_string(port_); }
  bool Stopping() const { return stopping_; }

  // As when the process ends: connections are closed, new ones are refused.
  void End() {
    ended_ = true;
    SleepMs(30);
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    CloseAll();
  }

  void CloseAll() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (Connection* connection : open_) connection->Shutdown();
  }

 private:
  void Open(int port) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
    socklen_t size = sizeof(address);
    const bool ok = bind(fd_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                    listen(fd_, 512) == 0 &&
                    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!ok) {
      fprintf(stderr, "cannot listen on %s: %s\n", ip_.c_str(), strerror(errno));
      exit(2);
    }
    port_ = ntohs(address.sin_port);
  }

  void Accept() {
    while (!stopping_ && !ended_) {
      pollfd entry{fd_, POLLIN, 0};
      if (poll(&entry, 1, 10) != 1) continue;
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const std::lock_guard<std::mutex> lock(mutex_);
      threads_.emplace_back([this, fd] {
        Connection connection(fd);
        {
          const std::lock_guard<std::mutex> inner(mutex_);
          open_.insert(&connection);
        }
        serve_(connection);
        const std::lock_guard<std::mutex> inner(mutex_);
        open_.erase(&connection);
      });
    }
  }

  std::string ip_;
  Serve serve_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::set<Connection*> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// Forwards connections to a target. SilenceOpen(): what is sent on the connections open now is lost
// in both directions from then on, without a reset; new connections work.
class Proxy {
 public:
  Proxy(const std::string& ip, int target_port, const std::string& target_ip)
      : target_ip_(target_ip),
        target_port_(target_port),
        listener_(ip, [this](Connection& client) { Serve(client); }) {}

  std::string Address() const { return listener_.Address(); }
  int Port() const { return listener_.Port(); }
  void SilenceOpen() { silent_before_ = ++links_; }

 private:
  void Serve(Connection& client) {
    const int64_t link = ++links_;
    const std::unique_ptr<Connection> server = Connection::To(target_ip_, target_port_);
    if (server == nullptr) return;
    char bytes[16384];
    while (!listener_.Stopping()) {
      pollfd entries[2] = {{client.Fd(), POLLIN, 0}, {server->Fd(), POLLIN, 0}};
      const bool was_silent = link < silent_before_;
      // A silent link tells neither end that the other has closed.
      if (poll(entries, 2, 20) < 0) return;
      for (int i = 0; i < 2; ++i) {
        if ((entries[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
        const ssize_t n = recv(entries[i].fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
        if (n <= 0 && i == 0) return;
        if (n <= 0 && !was_silent) return;
        if (n <= 0) {
          SleepMs(20);
          continue;
        }
        if (link < silent_before_) continue;
        const std::string piece(bytes, static_cast<size_t>(n));
        if (!(i == 0 ? server->Send(piece) : client.Send(piece))) return;
      }
    }
  }

  std::string target_ip_;
  int target_port_;
  std::atomic<int64_t> links_{0};
  std::atomic<int64_t> silent_before_{0};
  Listener listener_;
};

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      const bool is_padding = i + k > bytes.size();
      text += is_padding ? '=' : kDigits[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

inline std::string Unescaped(const std::string& text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

inline std::string Parameter(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos) return {};
  const std::string text = "&" + target.substr(query + 1);
  const size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) return {};
  const size_t begin = at + name.size() + 2;
  return Unescaped(text.substr(begin, text.find('&', begin) - begin));
}

// The platform's store: items, conditions, leases, watches. Values are kept as base64.
class Store {
 public:
  explicit Store(const std::string& ip)
      : listener_(ip, [this](Connection& connection) { Serve(connection); }) {}
  ~Store() {
    stopping_ = true;
    changed_.notify_all();
  }

  int Port() const { return listener_.Port(); }
  std::string Ip() const { return listener_.Ip(); }

  // Returns when the store has taken it.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Write(key, Base64(value), 0, ++revision_);
    changed_.notify_all();
  }

  // How many watches were answered with events.
  int64_t WatchesAnswered() const { return watches_answered_; }

  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Erase(key, ++revision_);
    changed_.notify_all();
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t made = 0;
    int64_t lease = 0;
  };
  struct Change {
    int64_t revision = 0;
    std::string json;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t until = 0;
  };

  static std::string ItemText(const std::string& key, const Item& item) {
    json::object object{{"key", key},
                        {"value", item.value},
                        {"revision", item.revision},
                        {"made", item.made},
                        {"lease", item.lease}};
    return json::serialize(object);
  }

  void Write(const std::string& key, const std::string& value, int64_t lease, int64_t revision) {
    Item& item = items_[key];
    item.value = value;
    item.lease = lease;
    item.revision = revision;
    if (item.made == 0) item.made = revision;
    history_.push_back({revision, ItemText(key, item)});
  }

  void Erase(const std::string& key, int64_t revision) {
    if (items_.erase(key) == 0) return;
    history_.push_back({revision, json::serialize(json::object{
                                      {"key", key}, {"revision", revision}, {"gone", true}})});
  }

  void Expire() {
    std::vector<int64_t> over;
    for (const auto& [id, lease] : leases_) {
      if (lease.until <= NowMs()) over.push_back(id);
    }
    for (const int64_t id : over) EndLease(id);
  }

  bool EndLease(int64_t id) {
    if (leases_.erase(id) == 0) return false;
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) keys.push_back(key);
    }
    if (!keys.empty()) ++revision_;
    for (const std::string& key : keys) Erase(key, revision_);
    changed_.notify_all();
    return true;
  }

  std::string Range(const std::string& prefix, const std::string& after) {
    std::string items;
    int count = 0;
    bool more = false;
    for (const auto& [key, item] : items_) {
      if (key.compare(0, prefix.size(), prefix) != 0 || (!after.empty() && key <= after)) continue;
      if (count == 500) {
        more = true;
        break;
      }
      items += (count++ == 0 ? "" : ",") + ItemText(key, item);
    }
    return "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") +
           ",\"at\":" + std::to_string(revision_) + "}";
  }

  std::string Watch(const std::string& prefix, int64_t since, int64_t wait_ms) {
    std::unique_lock<std::mutex> lock(mutex_);
    const int64_t deadline = NowMs() + wait_ms;
    std::string events;
    while (true) {
      events.clear();
      for (const Change& change : history_) {
        if (change.revision <= since) continue;
        const std::string key = json::parse(change.json).at("key").as_string().c_str();
        if (key.compare(0, prefix.size(), prefix) != 0) continue;
        events += (events.empty() ? "" : ",") + change.json;
      }
      const int64_t left = deadline - NowMs();
      if (!events.empty() || left <= 0 || stopping_ || listener_.Stopping()) break;
      changed_.wait_for(lock, std::chrono::milliseconds(std::min<int64_t>(left, 50)));
    }
    if (!events.empty()) ++watches_answered_;
    return "{\"events\":[" + events + "],\"at\":" + std::to_string(revision_) + "}";
  }

  std::string Transaction(const std::string& body, int* status) {
    const json::value request = json::parse(body);
    for (const json::value& row : request.at("expected_rev").as_array()) {
      const auto item = items_.find(row.at("key").as_string().c_str());
      const int64_t revision = item == items_.end() ? 0 : item->second.revision;
      if (revision != row.at("revision").to_number<int64_t>()) *status = 412;
    }
    for (const json::value& row : request.at("put").as_array()) {
      const int64_t lease = row.at("lease").to_number<int64_t>();
      if (lease != 0 && !leases_.contains(lease)) *status = 404;
    }
    if (*status != 200) return "{\"items\":[]}";
    ++revision_;
    for (const json::value& row : request.at("put").as_array()) {
      Write(row.at("key").as_string().c_str(), row.at("value").as_string().c_str(),
            row.at("lease").to_number<int64_t>(), revision_);
    }
    for (const json::value& key : request.at("remove").as_array()) {
      Erase(key.as_string().c_str(), revision_);
    }
    changed_.notify_all();
    return "{\"revision\":" + std::to_string(revision_) + "}";
  }

  std::string Answer(const Message& request, int* status) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = Parameter(target, "path_prefix");
    if (path == "/-/kv-watch") {
      return Watch(prefix, atoll(Parameter(target, "since_rev").c_str()),
                   atoll(Parameter(target, "wait_ms").c_str()));
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    Expire();
    const int64_t id = atoll(path.c_str() + path.rfind('/') + 1);
    if (path == "/-/kv-range") return Range(prefix, Parameter(target, "since_rev"));
    if (path == "/-/kv-txn") return Transaction(request.body, status);
    if (path == "/-/kv-lease") {
      const int64_t ttl = json::parse(request.body).at("ttl_ms").to_number<int64_t>();
      leases_[++last_lease_] = {ttl, NowMs() + ttl};
      return "{\"lease\":" + std::to_string(last_lease_) + ",\"ttl_ms\":" + std::to_string(ttl) +
             "}";
    }
    if (path.compare(0, 11, "/-/kv-keep/") == 0) {
      const auto lease = leases_.find(id);
      if (lease != leases_.end()) lease->second.until = NowMs() + lease->second.ttl_ms;
      if (lease == leases_.end()) *status = 404;
      return "{}";
    }
    if (path.compare(0, 16, "/-/kv-lease-end/") == 0) {
      if (!EndLease(id)) *status = 404;
      return "{}";
    }
    *status = 404;
    return "{}";
  }

  void Serve(Connection& connection) {
    Message request;
    while (ReadMessage(connection, NowMs() + 600000, &request) && request.complete) {
      int status = 200;
      const std::string body = Answer(request, &status);
      const bool sent = connection.Send(
          Text("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
               status, body.size()) +
          body);
      if (!sent) return;
      request = {};
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopping_{false};
  std::atomic<int64_t> watches_answered_{0};
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  int64_t last_lease_ = 0;
  std::vector<Change> history_;
  int64_t revision_ = 0;
  Listener listener_;
};

// The node's program, run as the deploy file says, from the root of the repository.
struct NodeSettings {
  std::string name;
  std::string ip;
  std::string zone = "hall-a";
  std::string store;
  std::vector<std::string> seeds;  // IPs
  std::string more;                // further lines
};

class Node {
 public:
  Node(std::string root, std::string folder, NodeSettings settings)
      : root_(std::move(root)), folder_(std::move(folder)), settings_(std::move(settings)) {}
  ~Node() { Kill(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  const std::string& Ip() const { return settings_.ip; }
  const std::string& Name() const { return settings_.name; }
  static constexpr int kFrontPort = 8227;
  static constexpr int kReadyPort = 8220;

  void Start(bool bootstrap) {
    std::string seeds;
    for (const std::string& seed : settings_.seeds) {
      seeds += (seeds.empty() ? "" : ",") + seed + ":8229";
    }
    const std::string ip = settings_.ip;
    const std::string path = folder_ + "/" + settings_.name + ".conf";
    std::ofstream(path)
        << "node=" << settings_.name << "\nrole=relay\nclass=front\nserves=front,control\nip=" << ip
        << "\nzone=" << settings_.zone << "\nregion=anadolu-central\n"
        << "zones.hall-a=anadolu-central\nzones.hall-b=anadolu-central\n"
        << "zones.hall-c=anadolu-central\nlisten.front=" << ip << ":8227\nlisten.ready=" << ip
        << ":8220\nlisten.control=" << ip << ":8229\ninternal_ports=7340,7355\nseeds=" << seeds
        << "\nbootstrap=" << (bootstrap ? "true" : "false")
        << "\nin_tolerance=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
        << "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
        << "entry=vip\nheartbeat_ms=1200\n"
        << "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n"
        << "tolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\nbounds.seed_lag_s=3\n"
        << "bounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\n"
        << "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
        << "bounds.loss_slack_ms=200\nbounds.config_deadline_ms=2000\nbounds.revert_slack_ms=250\n"
        << "bounds.skew_max_ms=5000\nbounds.revoke_strict=false\nbounds.revoke_ms=5000\n"
        << "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_extra=56\n"
        << "bounds.recover_s=12\nbounds.pass_ms=120\nbounds.retry_after_s=10\n"
        << "platform.address=" << settings_.store << "\nplatform.form=kv\n"
        << "platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n"
        << "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
        << settings_.more;
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const std::string log = folder_ + "/" + settings_.name + ".log";
    const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("CARTSAIL_NODE_FILE", path.c_str(), 1);
    if (chdir(root_.c_str()) != 0) _exit(127);
    const char* program = "target/platform/cartsaild-platform";
    execl(program, program, nullptr);
    _exit(127);
  }

  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }

  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

  // True if the process has ended by itself; `status` as of waitpid().
  bool HasEnded(int* status) {
    if (pid_ <= 0 || waitpid(pid_, status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }

  bool IsRunning() const { return pid_ > 0; }

  bool IsReady() const {
    const std::unique_ptr<Connection> connection = Connection::To(settings_.ip, kReadyPort, 500);
    if (connection == nullptr) return false;
    connection->Send("GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    Message answer;
    return ReadMessage(*connection, NowMs() + 1000, &answer) && answer.Status() == 200;
  }

 private:
  std::string root_;
  std::string folder_;
  NodeSettings settings_;
  pid_t pid_ = -1;
};

inline bool WaitFor(int64_t most_ms, const std::function<bool()>& condition) {
  const int64_t deadline = NowMs() + most_ms;
  while (!condition()) {
    if (NowMs() > deadline) return false;
    SleepMs(20);
  }
  return true;
}

// Loopback hosts on which the ports of a node are free: `count` of them, 127.A.B.1 and so on.
inline std::vector<std::string> FreeHosts(int count) {
  const auto is_free = [](const std::string& ip) {
    for (const int port : {8220, 8227, 8229, 7340, 7341, 9464}) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<uint16_t>(port));
      inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
      const bool ok = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
      close(fd);
      if (!ok) return false;
    }
    return true;
  };
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int a = 20 + (getpid() + attempt) % 200;
    const int b = (getpid() / 200 + attempt) % 250;
    std::vector<std::string> hosts;
    for (int i = 1; i <= count; ++i) hosts.push_back(Text("127.%d.%d.%d", a, b, i));
    if (std::all_of(hosts.begin(), hosts.end(), is_free)) return hosts;
  }
  fprintf(stderr, "no free hosts\n");
  exit(2);
}

// An engine's entry in the store.
inline std::string EngineEntry(const std::string& service, const std::string& address,
                               const std::string& zone, int slots,
                               const std::string& state = "ready") {
  static std::atomic<int64_t> sequence{0};
  return json::serialize(json::object{{"service", service},
                                      {"address", address},
                                      {"zone", zone},
                                      {"version", "v1"},
                                      {"slots", slots},
                                      {"state", state},
                                      {"cold_left_ms", 0},
                                      {"seq", ++sequence}});
}

// The argument that follows `name`, or `fallback`.
inline std::string Argument(int argc, char** argv, const std::string& name,
                            const std::string& fallback) {
  for (int i = 1; i + 1 < argc; ++i) {
    if (argv[i] == name) return argv[i + 1];
  }
  return fallback;
}

inline bool HasTrouble() {
  const char* trouble = getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace review
