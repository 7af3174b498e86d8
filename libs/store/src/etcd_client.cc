#include "cartsail/store/etcd_client.h"

#include <fmt/format.h>

#include "cartsail/base/counters.h"
#include "cartsail/base/status.h"
#include "cartsail/net/http_client.h"
#include "cartsail/store/etcd_json.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr int kHttpTooManyRequests = 429;
// Of one message of a watch, as of any other answer.
constexpr size_t kMaxLineBytes = 64 << 20;

class EtcdClient final : public KeyValueStore {
 public:
  EtcdClient(asio::any_io_executor executor, EtcdClientOptions options)
      : executor_(executor), options_(std::move(options)), pool_(executor) {}

  Result<RangeResult> Range(RangeRequest request) override {
    absl::StatusOr<json::object> reply = co_await Call("/v3/kv/range", EncodeRangeRequest(request));
    if (!reply.ok()) co_return reply.status();
    co_return DecodeRangeResult(*reply);
  }

  Result<TxnResult> Txn(TxnRequest request) override {
    absl::StatusOr<json::object> reply = co_await Call("/v3/kv/txn", EncodeTxnRequest(request));
    if (!reply.ok()) co_return reply.status();
    co_return DecodeTxnResult(*reply);
  }

  Result<int64_t> GrantLease(int64_t ttl_seconds) override {
    json::object request{{"TTL", std::to_string(ttl_seconds)}};
    absl::StatusOr<json::object> reply = co_await Call("/v3/lease/grant", std::move(request));
    if (!reply.ok()) co_return reply.status();
    co_return GetInt(*reply, "ID");
  }

  asio::awaitable<absl::Status> KeepLease(int64_t lease) override {
    json::object request{{"ID", std::to_string(lease)}};
    const absl::StatusOr<json::object> reply =
        co_await Call("/v3/lease/keepalive", std::move(request));
    if (!reply.ok()) co_return reply.status();
    const json::object* result = GetObject(*reply, "result");
    if (result != nullptr && GetInt(*result, "TTL") > 0) co_return absl::OkStatus();
    co_return MakeError(ErrorKind::kConflict, "the lease is over");
  }

  asio::awaitable<absl::Status> EndLease(int64_t lease) override {
    json::object request{{"ID", std::to_string(lease)}};
    co_return (co_await Call("/v3/lease/revoke", std::move(request))).status();
  }

  asio::awaitable<absl::Status> Watch(std::string key, std::string range_end,
                                      int64_t start_revision, WatchCallback on_events) override {
    GlobalCounters().platform_calls_total.Add();
    std::unique_ptr<HttpConnection> connection = MakeHttpConnection(executor_);
    absl::Status status = co_await connection->Connect(options_.endpoint, options_.call_timeout);
    if (!status.ok()) co_return Unavailable(status);
    json::object create{{"key", Base64Encode(key)},
                        {"range_end", Base64Encode(range_end)},
                        {"start_revision", std::to_string(start_revision)}};
    json::object body{{"create_request", std::move(create)}};
    status = co_await connection->Send(Post("/v3/watch", body), options_.call_timeout);
    if (!status.ok()) co_return Unavailable(status);
    absl::StatusOr<HttpResponse> head = co_await connection->ReadHead(options_.call_timeout);
    if (!head.ok()) co_return Unavailable(head.status());
    if (head->status != 200) co_return StatusError(head->status);
    co_return co_await ReadEvents(*connection, on_events);
  }

 private:
  static HttpRequest Post(std::string_view path, const json::object& body) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = json::serialize(body);
    return request;
  }

  static absl::Status Unavailable(const absl::Status& cause) {
    GlobalCounters().platform_errors_total.Add();
    GlobalCounters().platform_reachable.Set(0);
    return MakeError(ErrorKind::kPlatformUnavailable, cause.message().data());
  }

  static absl::Status StatusError(int status) {
    GlobalCounters().platform_errors_total.Add();
    if (status == kHttpTooManyRequests) {
      return MakeError(ErrorKind::kPlatformThrottled, "the platform refused by rate");
    }
    GlobalCounters().platform_reachable.Set(0);
    return MakeError(ErrorKind::kPlatformUnavailable,
                     fmt::format("the platform answered status {}", status));
  }

  asio::awaitable<absl::StatusOr<json::object>> Call(std::string_view path, json::object body) {
    GlobalCounters().platform_calls_total.Add();
    HttpRequest request = Post(path, body);
    // Every write is made decidable by its caller, so a call may be repeated on a new connection.
    absl::StatusOr<HttpResponse> response =
        co_await FetchPooled(pool_, options_.endpoint, std::move(request), options_.call_timeout);
    if (!response.ok()) co_return Unavailable(response.status());
    if (response->status != 200) co_return StatusError(response->status);
    GlobalCounters().platform_reachable.Set(1);
    absl::StatusOr<json::object> answer = ParseJsonObject(response->body);
    // One that was cut says nothing of what was done.
    if (!answer.ok()) co_return Unavailable(answer.status());
    co_return answer;
  }

  asio::awaitable<absl::Status> ReadEvents(HttpConnection& connection,
                                           const WatchCallback& on_events) {
    std::string buffer;
    while (true) {
      absl::StatusOr<std::string> chunk = co_await connection.ReadSome(options_.watch_timeout);
      if (!chunk.ok()) co_return Unavailable(chunk.status());
      if (chunk->empty()) {
        co_return MakeError(ErrorKind::kPlatformUnavailable, "the watch ended");
      }
      size_t end = chunk->find('\n');
      if (end != std::string::npos) end += buffer.size();
      buffer += *chunk;
      while (end != std::string::npos) {
        const std::string_view line = std::string_view(buffer).substr(0, end);
        const absl::StatusOr<bool> go_on = DeliverLine(line, on_events);
        if (!go_on.ok()) co_return Unavailable(go_on.status());
        if (!*go_on) co_return absl::OkStatus();
        buffer.erase(0, end + 1);
        end = buffer.find('\n');
      }
      if (buffer.size() > kMaxLineBytes) {
        const absl::Status cause = MakeError(ErrorKind::kBodyTooLarge, "a line without end");
        co_return Unavailable(cause);
      }
    }
  }

  // False when the callback ends the watch. An error where the line is no message: it may have told
  // of a change, so that the watch must not go on without it.
  static absl::StatusOr<bool> DeliverLine(std::string_view line, const WatchCallback& on_events) {
    absl::StatusOr<json::object> message = ParseJsonObject(line);
    if (!message.ok()) return message.status();
    const json::object* result = GetObject(*message, "result");
    if (result == nullptr) return true;
    const json::object* header = GetObject(*result, "header");
    const int64_t revision = header == nullptr ? 0 : GetInt(*header, "revision");
    std::vector<WatchEvent> events;
    if (const json::array* array = GetArray(*result, "events")) {
      for (const json::value& entry : *array) {
        if (!entry.is_object()) continue;
        const json::object* kv = GetObject(entry.as_object(), "kv");
        if (kv == nullptr) continue;
        events.push_back({GetString(entry.as_object(), "type") == "DELETE", DecodeKeyValue(*kv)});
      }
    }
    return events.empty() || on_events(std::move(events), revision);
  }

  asio::any_io_executor executor_;
  EtcdClientOptions options_;
  HttpConnectionPool pool_;
};

}  // namespace

std::unique_ptr<KeyValueStore> MakeEtcdClient(asio::any_io_executor executor,
                                              EtcdClientOptions options) {
  return std::make_unique<EtcdClient>(std::move(executor), std::move(options));
}

Operation CreateIfAbsent(PutRequest put) {
  Compare absent;
  absent.key = put.key;
  absent.target = Compare::Target::kCreateRevision;
  Operation read;
  read.range.key = put.key;
  Operation create;
  create.kind = Operation::Kind::kPut;
  create.put = std::move(put);
  Operation operation;
  operation.kind = Operation::Kind::kTxn;
  operation.nested.push_back({{absent}, {create}, {read}});
  return operation;
}

std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty()) {
    if (static_cast<unsigned char>(prefix.back()) < 0xff) {
      ++prefix.back();
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

}  // namespace cartsail
