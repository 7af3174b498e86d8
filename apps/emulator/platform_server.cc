#include "platform_server.h"

#include <fmt/format.h>

#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <set>

#include "cartsail/base/json.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_server.h"
#include "cartsail/store/etcd_json.h"
#include "cartsail/store/machine_list.h"
#include "json_reply.h"
#include "platform_store.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;

constexpr Duration kWatchPoll = milliseconds(5);
constexpr Duration kHangTime = seconds(60);

enum class Outage { kNone, kRefuse, kHang };

struct Faults {
  Duration latency{};
  Outage outage = Outage::kNone;
  int lose_replies = 0;
  bool stale_reads = false;
  bool stale_watches = false;
  double writes_per_second = 0;
  double reads_per_second = 0;
};

struct CallStats {
  int64_t reads = 0;
  int64_t writes = 0;
  int64_t watches = 0;
  int64_t machine_lists = 0;
  int64_t throttled = 0;
  int64_t refused = 0;
};

// A second's worth of calls; more are refused.
class CallLimiter {
 public:
  bool Take(double per_second, TimePoint now) {
    if (now - start_ >= seconds(1)) {
      start_ = now;
      used_ = 0;
    }
    if (used_ >= per_second) return false;
    ++used_;
    return true;
  }

 private:
  TimePoint start_{};
  double used_ = 0;
};

// A machine-list entry becomes visible after the list's lag.
struct PendingMachine {
  TimePoint visible{};
  Machine machine;
  bool removed = false;
};

class PlatformServerImpl final : public PlatformServer {
 public:
  PlatformServerImpl(asio::io_context& context, PlatformOptions options)
      : context_(context), options_(std::move(options)) {
    faults_.latency = options_.latency;
    faults_.writes_per_second = options_.writes_per_second;
    faults_.reads_per_second = options_.reads_per_second;
    HttpServerLimits limits;
    limits.body_bytes = 8 << 20;
    server_ = MakeHttpServer(context, options_.listen, limits,
                             [this](HttpExchange& exchange) { return Handle(exchange); });
  }

  absl::Status Start() override { return server_->Start(); }

 private:
  using Reply = absl::StatusOr<json::object>;

  asio::awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    const std::string path(request.Path());
    if (path.starts_with("/admin/")) {
      co_await HandleAdmin(exchange, path);
      co_return;
    }
    if (faults_.outage != Outage::kNone) {
      co_await Refuse(exchange);
      co_return;
    }
    co_await Sleep(faults_.latency);
    if (path == "/machines") {
      co_await HandleMachines(exchange);
    } else if (path == "/v3/watch") {
      co_await HandleWatch(exchange);
    } else {
      co_await HandleCall(exchange, path);
    }
  }

  asio::awaitable<void> Refuse(HttpExchange& exchange) {
    ++stats_.refused;
    if (faults_.outage == Outage::kHang) co_await Sleep(kHangTime);
    exchange.Abort();
  }

  asio::awaitable<void> Sleep(Duration duration) {
    if (duration <= Duration(0)) co_return;
    Timer timer(context_);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<void> HandleCall(HttpExchange& exchange, const std::string& path) {
    const absl::StatusOr<json::object> body = ParseJsonObject(exchange.Request().body);
    if (!body.ok()) {
      co_await SendJson(exchange, 400, MessageObject("not JSON"));
      co_return;
    }
    const bool is_read = path == "/v3/kv/range" || (path == "/v3/kv/txn" && OnlyReads(*body));
    ++(is_read ? stats_.reads : stats_.writes);
    const double limit = is_read ? faults_.reads_per_second : faults_.writes_per_second;
    if (!(is_read ? reads_ : writes_).Take(limit, Now())) {
      ++stats_.throttled;
      co_await SendJson(exchange, 429, MessageObject("too many requests"));
      co_return;
    }
    store_.ExpireLeases(Now());
    const Reply reply = Execute(path, *body);
    if (!reply.ok()) {
      co_await SendJson(exchange, 404, MessageObject("no such call"));
      co_return;
    }
    if (!is_read && faults_.lose_replies > 0) {
      --faults_.lose_replies;
      exchange.Abort();
      co_return;
    }
    co_await SendJson(exchange, 200, *reply);
  }

  static bool OnlyReads(const json::object& body) {
    const TxnRequest request = DecodeTxnRequest(body);
    for (const auto* branch : {&request.success, &request.failure}) {
      for (const Operation& operation : *branch) {
        if (operation.kind != Operation::Kind::kRange) return false;
      }
    }
    return true;
  }

  Reply Execute(const std::string& path, const json::object& body) {
    if (path == "/v3/kv/range") {
      const PlatformStore& source = faults_.stale_reads ? stale_store_ : store_;
      return EncodeRangeResult(source.Range(DecodeRangeRequest(body)));
    }
    if (path == "/v3/kv/txn") {
      const TxnRequest request = DecodeTxnRequest(body);
      return EncodeTxnResult(request, store_.Txn(request));
    }
    if (path == "/v3/lease/grant") {
      const int64_t id = store_.GrantLease(GetInt(body, "TTL"), Now());
      return json::object{{"ID", std::to_string(id)}, {"TTL", GetString(body, "TTL")}};
    }
    if (path == "/v3/lease/keepalive") {
      const bool alive = store_.KeepAlive(GetInt(body, "ID"), Now());
      return json::object{{"result", json::object{{"TTL", alive ? "1" : "0"}}}};
    }
    if (path == "/v3/lease/revoke") {
      store_.RevokeLease(GetInt(body, "ID"));
      return json::object();
    }
    return MakeError(ErrorKind::kUnknownPath, path);
  }

  asio::awaitable<void> HandleWatch(HttpExchange& exchange) {
    const absl::StatusOr<json::object> body = ParseJsonObject(exchange.Request().body);
    const json::object* create = body.ok() ? GetObject(*body, "create_request") : nullptr;
    if (create == nullptr) {
      co_await SendJson(exchange, 400, MessageObject("no create_request"));
      co_return;
    }
    ++stats_.watches;
    const std::string key = Base64Decode(GetString(*create, "key"));
    const std::string end = Base64Decode(GetString(*create, "range_end"));
    int64_t next = GetInt(*create, "start_revision");
    if (next == 0) next = store_.Revision() + 1;
    absl::Status status = co_await exchange.BeginStream(200, {});
    if (!status.ok()) co_return;
    status = co_await exchange.Write("{\"result\":{\"created\":true}}\n");
    bool gone = false;
    exchange.WatchPeer([&gone] { gone = true; });
    while (status.ok() && !gone && faults_.outage == Outage::kNone) {
      const std::vector<WatchEvent> events = store_.ChangesSince(key, end, next);
      if (!events.empty() && !faults_.stale_watches) {
        co_await Sleep(faults_.latency);
        next = store_.Revision() + 1;
        const std::string text = EncodeEvents(events);
        status = co_await exchange.Write(text);
      }
      co_await Sleep(kWatchPoll);
    }
    exchange.WatchPeer(nullptr);
    exchange.Abort();
  }

  std::string EncodeEvents(const std::vector<WatchEvent>& events) const {
    json::array array;
    for (const WatchEvent& event : events) {
      array.push_back(json::object{{"type", event.deleted ? "DELETE" : "PUT"},
                                   {"kv", EncodeKeyValue(event.kv)}});
    }
    json::object result{{"header", json::object{{"revision", std::to_string(store_.Revision())}}},
                        {"events", std::move(array)}};
    return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
  }

  void RevealMachines() {
    while (!pending_machines_.empty() && pending_machines_.begin()->first <= Now()) {
      const PendingMachine pending = pending_machines_.begin()->second;
      pending_machines_.erase(pending_machines_.begin());
      if (pending.removed) {
        machines_.erase(pending.machine.id);
      } else {
        machines_[pending.machine.id] = pending.machine;
      }
      ++machines_version_;
    }
  }

  asio::awaitable<void> HandleMachines(HttpExchange& exchange) {
    ++stats_.machine_lists;
    ++stats_.reads;
    if (!reads_.Take(faults_.reads_per_second, Now())) {
      ++stats_.throttled;
      co_await SendJson(exchange, 429, MessageObject("too many requests"));
      co_return;
    }
    RevealMachines();
    if (exchange.Request().QueryParameter("since") == std::to_string(machines_version_)) {
      HttpResponse unchanged;
      unchanged.status = 304;
      co_await exchange.Respond(std::move(unchanged));
      co_return;
    }
    json::array array;
    for (const auto& [id, machine] : machines_) array.push_back(EncodeMachine(machine));
    json::object list{{"version", machines_version_}, {"machines", std::move(array)}};
    co_await SendJson(exchange, 200, std::move(list));
  }

  asio::awaitable<void> HandleAdmin(HttpExchange& exchange, const std::string& path) {
    if (path == "/admin/stats") {
      co_await SendJson(exchange, 200, Stats());
      co_return;
    }
    const absl::StatusOr<json::object> body = ParseJsonObject(exchange.Request().body);
    absl::Status status = body.status();
    if (body.ok() && path == "/admin/faults") status = SetFaults(*body);
    if (body.ok() && path == "/admin/machines") status = SetMachine(*body);
    if (!status.ok()) {
      co_await SendJson(exchange, 400, MessageObject(std::string(status.message())));
      co_return;
    }
    co_await SendJson(exchange, 200, json::object());
  }

  static json::object MessageObject(std::string_view message) { return {{"message", message}}; }

  json::object Stats() const {
    return {{"reads", stats_.reads},         {"writes", stats_.writes},
            {"watches", stats_.watches},     {"machine_lists", stats_.machine_lists},
            {"throttled", stats_.throttled}, {"refused", stats_.refused},
            {"revision", store_.Revision()}};
  }

  absl::Status SetFaults(const json::object& body) {
    if (body.contains("latency_ms")) {
      faults_.latency = FromSeconds(GetDouble(body, "latency_ms") / 1e3);
    }
    if (body.contains("outage")) {
      const std::string outage = GetString(body, "outage");
      if (outage != "none" && outage != "refuse" && outage != "hang") {
        return MakeError(ErrorKind::kInvalidArgument, "outage is none, refuse or hang");
      }
      faults_.outage = outage == "none"     ? Outage::kNone
                       : outage == "refuse" ? Outage::kRefuse
                                            : Outage::kHang;
    }
    if (body.contains("lose_replies")) {
      faults_.lose_replies = static_cast<int>(GetInt(body, "lose_replies"));
    }
    if (body.contains("stale_reads")) {
      faults_.stale_reads = GetBool(body, "stale_reads");
      if (faults_.stale_reads) stale_store_ = store_;
    }
    faults_.stale_watches = GetBool(body, "stale_watches", faults_.stale_watches);
    faults_.writes_per_second = GetDouble(body, "writes_per_second", faults_.writes_per_second);
    faults_.reads_per_second = GetDouble(body, "reads_per_second", faults_.reads_per_second);
    return absl::OkStatus();
  }

  absl::Status SetMachine(const json::object& body) {
    PendingMachine pending;
    pending.visible = Now() + options_.machine_list_lag;
    if (GetBool(body, "at_once")) pending.visible = Now();
    pending.removed = GetBool(body, "remove");
    if (pending.removed) {
      pending.machine.id = GetString(body, "id");
    } else {
      absl::StatusOr<Machine> machine = DecodeMachine(body);
      if (!machine.ok()) return machine.status();
      pending.machine = std::move(*machine);
    }
    pending_machines_.emplace(pending.visible, pending);
    return absl::OkStatus();
  }

  asio::io_context& context_;
  PlatformOptions options_;
  std::unique_ptr<HttpServer> server_;
  PlatformStore store_;
  PlatformStore stale_store_;
  Faults faults_;
  CallStats stats_;
  CallLimiter reads_;
  CallLimiter writes_;
  std::map<std::string, Machine> machines_;
  int64_t machines_version_ = 1;
  std::multimap<TimePoint, PendingMachine> pending_machines_;
};

}  // namespace

std::unique_ptr<PlatformServer> MakePlatformServer(asio::io_context& context,
                                                   PlatformOptions options) {
  return std::make_unique<PlatformServerImpl>(context, std::move(options));
}

}  // namespace cartsail::emulator
