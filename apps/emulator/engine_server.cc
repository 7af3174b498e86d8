#include "engine_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <map>
#include <random>
#include <unordered_map>

#include "cartsail/base/hash.h"
#include "cartsail/base/json.h"
#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_server.h"
#include "cartsail/net/sse.h"
#include "json_reply.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;

constexpr int64_t kCharactersPerToken = 4;
constexpr size_t kPrefixCharacters = 256;
constexpr Duration kFinishedLifetime = seconds(60);
constexpr Duration kShortestTick = std::chrono::microseconds(200);
constexpr Duration kSweepInterval = milliseconds(100);

// A prompt as far as the stand-in needs to understand it.
struct Prompt {
  std::string user_text;         // all but a continued assistant message
  int64_t continued_tokens = 0;  // tokens of the answer already delivered
  int64_t output_tokens = 0;     // hidden length of the whole answer
  std::string model;
};

struct StreamState {
  uint64_t sequence = 0;
  std::string owner;
  std::string model;
  uint64_t seed = 0;
  int64_t base = 0;    // tokens of the answer before this stream
  int64_t length = 0;  // tokens of this stream
  int64_t generated = 0;
  int64_t delivered = 0;  // highest offset written to any connection
  bool finished = false;
  bool cancelled = false;
  int connection = 0;  // number of the connection that reads now
  bool connected = false;
  TimePoint idle_since{};
  std::unique_ptr<Timer> changed;
};

using StreamPtr = std::shared_ptr<StreamState>;

struct Stats {
  int64_t accepted = 0;
  int64_t refused = 0;
  int64_t duplicates = 0;
  int64_t resumed = 0;
  int64_t cancelled = 0;
  int64_t finished = 0;
  int64_t tokens_delivered = 0;
  int64_t tokens_wasted = 0;  // computed for streams that were cancelled or abandoned
  TimePoint last_start{};
};

int64_t CountTokens(std::string_view text) { return std::count(text.begin(), text.end(), ' '); }

absl::StatusOr<Prompt> ParsePrompt(const std::string& body, double mean_output) {
  const absl::StatusOr<json::object> object = ParseJsonObject(body);
  if (!object.ok()) return object.status();
  const json::array* messages = GetArray(*object, "messages");
  if (messages == nullptr || messages->empty()) {
    return MakeError(ErrorKind::kMalformedRequest, "no messages");
  }
  Prompt prompt;
  prompt.model = GetString(*object, "model");
  const bool continued = GetBool(*object, "continue_final_message");
  for (size_t i = 0; i < messages->size(); ++i) {
    if (!(*messages)[i].is_object()) {
      return MakeError(ErrorKind::kMalformedRequest, "a message is an object");
    }
    const std::string content = GetString((*messages)[i].as_object(), "content");
    if (continued && i + 1 == messages->size()) {
      prompt.continued_tokens = CountTokens(content);
    } else {
      prompt.user_text += content;
    }
  }
  prompt.output_tokens = GetInt(*object, "emulated_output_tokens");
  if (prompt.output_tokens <= 0) {
    std::mt19937_64 random(AnswerSeed(prompt.user_text));
    std::lognormal_distribution<double> length(std::log(mean_output), 0.6);
    prompt.output_tokens = std::clamp<int64_t>(static_cast<int64_t>(length(random)), 1, 4096);
  }
  return prompt;
}

class EngineServerImpl final : public EngineServer {
 public:
  EngineServerImpl(asio::io_context& context, EngineServerOptions options)
      : context_(context),
        options_(std::move(options)),
        model_(options_.model, Now()),
        tick_timer_(context) {
    HttpServerLimits limits;
    limits.body_bytes = 8 << 20;
    server_ = MakeHttpServer(context, options_.listen, limits,
                             [this](HttpExchange& exchange) { return Handle(exchange); });
  }

  absl::Status Start() override {
    const absl::Status status = server_->Start();
    if (status.ok()) asio::co_spawn(context_, ReportLoad(), asio::detached);
    return status;
  }

  void Drain(std::function<void()> done) override {
    leaving_ = true;
    on_drained_ = std::move(done);
    CheckDrained();
  }

 private:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    const std::string path(request.Path());
    if (path == "/v1/chat/completions") {
      co_await HandleCompletion(exchange);
    } else if (path.starts_with("/v1/streams/")) {
      co_await HandleStream(exchange, path.substr(std::string_view("/v1/streams/").size()));
    } else if (path == "/load") {
      co_await SendJson(exchange, 200, load_report_);
    } else if (path == "/admin/stats") {
      co_await SendJson(exchange, 200, StatsObject());
    } else if (path == "/admin/starts") {
      co_await SendJson(exchange, 200, StartsObject(std::string(request.QueryParameter("seed"))));
    } else if (path == "/admin/faults") {
      SetFaults(request.body);
      co_await SendJson(exchange, 200, json::object());
    } else {
      co_await SendJson(exchange, 404, json::object());
    }
  }

  asio::awaitable<void> HandleCompletion(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    if (leaving_ || refuse_) {
      ++stats_.refused;
      co_await SendRefusal(exchange, 503, leaving_ ? "leaving" : "overloaded");
      co_return;
    }
    const absl::StatusOr<Prompt> prompt = ParsePrompt(request.body, options_.mean_output_tokens);
    if (!prompt.ok()) {
      co_await SendRefusal(exchange, 400, "malformed");
      co_return;
    }
    std::string id(request.Header("X-Request-Id"));
    if (id.empty()) id = RandomHex(8);
    if (streams_.contains(id)) {
      ++stats_.duplicates;
      co_await SendJson(exchange, 409, ErrorObject("duplicate"));
      co_return;
    }
    const StreamPtr stream = StartStream(id, *prompt, request);
    if (drop_before_reply_ > 0) {
      --drop_before_reply_;
      Disconnected(stream, stream->connection);
      exchange.Abort();
      co_return;
    }
    co_await ServeStream(exchange, id, stream, 0);
  }

  StreamPtr StartStream(const std::string& id, const Prompt& prompt, const HttpRequest& request) {
    auto stream = std::make_shared<StreamState>();
    stream->sequence = next_sequence_++;
    stream->owner = request.Header("X-Stream-Owner");
    stream->model = prompt.model;
    stream->seed = AnswerSeed(prompt.user_text);
    stream->base = prompt.continued_tokens;
    stream->length = std::max<int64_t>(1, prompt.output_tokens - prompt.continued_tokens);
    stream->changed = std::make_unique<Timer>(context_);
    streams_[id] = stream;
    active_[stream->sequence] = stream;
    ++starts_[id];
    ++starts_by_seed_[std::to_string(stream->seed)];
    ++stats_.accepted;
    stats_.last_start = Now();
    SequenceRequest sequence;
    sequence.id = stream->sequence;
    sequence.priority = std::atoi(std::string(request.Header("X-Priority")).c_str());
    sequence.prompt_tokens =
        static_cast<int64_t>(request.body.size()) / kCharactersPerToken + prompt.continued_tokens;
    if (prompt.user_text.size() >= kPrefixCharacters) {
      sequence.prefix_hash =
          Hash64(std::string_view(prompt.user_text).substr(0, kPrefixCharacters));
      sequence.prefix_tokens = kPrefixCharacters / kCharactersPerToken;
    }
    sequence.output_tokens = stream->length;
    model_.Submit(sequence, Now());
    ScheduleTick();
    return stream;
  }

  asio::awaitable<void> HandleStream(HttpExchange& exchange, std::string id) {
    const auto found = streams_.find(id);
    const bool held = found != streams_.end() && !found->second->cancelled;
    const bool resumes = exchange.Request().method != "DELETE";
    if (!held || (resumes && found->second->owner != exchange.Request().Header("X-Stream-Owner"))) {
      co_await SendJson(exchange, 404, ErrorObject("unknown_stream"));
      co_return;
    }
    const StreamPtr stream = found->second;
    if (!resumes) {
      CancelStream(id, stream);
      co_await SendJson(exchange, 200, json::object());
      co_return;
    }
    ++stats_.resumed;
    const std::string offset(exchange.Request().QueryParameter("offset"));
    co_await ServeStream(exchange, id, stream, std::atoll(offset.c_str()));
  }

  void CancelStream(const std::string& id, const StreamPtr& stream) {
    if (!stream->finished) {
      model_.Cancel(stream->sequence, Now());
      ++stats_.cancelled;
    }
    stats_.tokens_wasted += stream->generated - stream->delivered;
    stream->cancelled = true;
    Wake(*stream);
    active_.erase(stream->sequence);
    streams_.erase(id);
    CheckDrained();
  }

  static void Wake(StreamState& stream) { stream.changed->cancel(); }

  asio::awaitable<void> ServeStream(HttpExchange& exchange, std::string id, StreamPtr stream,
                                    int64_t offset) {
    const int connection = ++stream->connection;
    stream->connected = true;
    Wake(*stream);  // an earlier connection learns that it was superseded
    HttpHeaders headers = {{"Content-Type", "text/event-stream"}};
    absl::Status status = co_await exchange.BeginStream(200, std::move(headers));
    exchange.WatchPeer([this, stream, connection] {
      Disconnected(stream, connection);
      Wake(*stream);
    });
    while (status.ok()) {
      if (stream->connection != connection) {
        const std::string text = SupersededEvent();
        co_await exchange.Write(text);
        co_await exchange.EndStream();
        co_return;
      }
      if (stream->cancelled || !stream->connected) break;
      if (offset < stream->generated) {
        const std::string text = TakeEvents(*stream, &offset);
        status = co_await exchange.Write(text);
        if (drop_after_tokens_ > 0 && offset >= drop_after_tokens_) {
          drop_after_tokens_ = 0;
          break;
        }
        continue;
      }
      if (stream->finished) {
        co_await FinishStream(exchange, *stream);
        Disconnected(stream, connection);
        co_return;
      }
      stream->changed->expires_at(Timer::time_point::max());
      boost::system::error_code ignored;
      co_await stream->changed->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    Disconnected(stream, connection);
    exchange.Abort();
  }

  std::string TakeEvents(StreamState& stream, int64_t* offset) {
    std::string text;
    while (*offset < stream.generated) {
      const std::string token = ExpectedToken(stream.seed, stream.base + *offset);
      ++*offset;
      json::object choice{{"index", 0}, {"delta", json::object{{"content", token}}}};
      json::object data{{"object", "chat.completion.chunk"},
                        {"model", stream.model},
                        {"choices", json::array{std::move(choice)}}};
      text += FormatSse({std::to_string(*offset), "", json::serialize(data)});
    }
    stats_.tokens_delivered += std::max<int64_t>(0, *offset - stream.delivered);
    stream.delivered = std::max(stream.delivered, *offset);
    return text;
  }

  static asio::awaitable<void> FinishStream(HttpExchange& exchange, const StreamState& stream) {
    json::object choice{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}};
    json::object data{{"object", "chat.completion.chunk"},
                      {"model", stream.model},
                      {"choices", json::array{std::move(choice)}}};
    const std::string id = std::to_string(stream.length);
    std::string text = FormatSse({id, "", json::serialize(data)});
    text += FormatSse({id, "", "[DONE]"});
    co_await exchange.Write(text);
    co_await exchange.EndStream();
  }

  void Disconnected(const StreamPtr& stream, int connection) {
    if (stream->connection != connection) return;
    stream->connected = false;
    stream->idle_since = Now();
    ScheduleTick();
    CheckDrained();
  }

  // Moves the model on and wakes the streams that got tokens.
  void Tick() {
    tick_time_ = TimePoint::max();
    model_.Advance(Now());
    model_.TakeStarted();
    model_.ForEachRunning([this](uint64_t sequence, int64_t generated) {
      const auto found = active_.find(sequence);
      if (found == active_.end() || generated <= found->second->generated) return;
      found->second->generated = generated;
      Wake(*found->second);
    });
    for (const uint64_t sequence : model_.TakeFinished()) {
      const auto found = active_.find(sequence);
      if (found == active_.end()) continue;
      const StreamPtr stream = found->second;
      active_.erase(found);
      stream->generated = stream->length;
      stream->finished = true;
      stream->idle_since = Now();
      ++stats_.finished;
      Wake(*stream);
    }
    if (Now() >= next_sweep_) SweepAbandoned();
    if (!streams_.empty()) ScheduleTick();
    CheckDrained();
  }

  // Ends streams that nobody has come back for.
  void SweepAbandoned() {
    next_sweep_ = Now() + kSweepInterval;
    std::vector<std::string> abandoned;
    for (const auto& [id, stream] : streams_) {
      const Duration lifetime = stream->finished ? kFinishedLifetime : options_.resume_grace;
      if (!stream->connected && Now() - stream->idle_since > lifetime) abandoned.push_back(id);
    }
    for (const std::string& id : abandoned) CancelStream(id, streams_[id]);
  }

  // The next tick: after a decode step while sequences run, else soon enough for sweeping.
  void ScheduleTick() {
    const bool busy = model_.Running() > 0;
    const Duration step = busy ? model_.StepTime() : Duration(kSweepInterval);
    const TimePoint at = Now() + std::clamp<Duration>(step, kShortestTick, kSweepInterval);
    if (at >= tick_time_) return;
    tick_time_ = at;
    tick_timer_.expires_at(at);
    tick_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Tick();
    });
  }

  void CheckDrained() {
    if (!on_drained_) return;
    for (const auto& [id, stream] : streams_) {
      if (!stream->finished || stream->connected) return;
    }
    auto done = std::move(on_drained_);
    on_drained_ = nullptr;
    done();
  }

  void SetFaults(const std::string& body) {
    const absl::StatusOr<json::object> faults = ParseJsonObject(body);
    if (!faults.ok()) return;
    if (faults->contains("speed")) model_.SetSpeed(GetDouble(*faults, "speed"), Now());
    leaving_ = GetBool(*faults, "leaving", leaving_);
    refuse_ = GetBool(*faults, "refuse", refuse_);
    drop_before_reply_ = static_cast<int>(GetInt(*faults, "drop_before_reply", drop_before_reply_));
    drop_after_tokens_ = GetInt(*faults, "drop_after_tokens", drop_after_tokens_);
    // A crash loses all state, as a restarted process would.
    if (GetBool(*faults, "crash")) std::_Exit(3);
  }

  static json::object ErrorObject(std::string_view kind) {
    return {{"error", json::object{{"kind", kind}}}};
  }

  static std::string SupersededEvent() { return FormatSse({"", "superseded", "{}"}); }

  json::object StartsObject(const std::string& seed) const {
    const auto found = starts_by_seed_.find(seed);
    return {{"starts", found == starts_by_seed_.end() ? 0 : found->second}};
  }

  json::object StatsObject() const {
    const EngineModelCounters& counters = model_.Counters();
    int64_t twice = 0;
    for (const auto& [id, count] : starts_) {
      if (count > 1) ++twice;
    }
    return {
        {"id", options_.id},
        {"accepted", stats_.accepted},
        {"refused", stats_.refused},
        {"duplicates", stats_.duplicates},
        {"started_twice", twice},
        {"resumed", stats_.resumed},
        {"cancelled", stats_.cancelled},
        {"finished", stats_.finished},
        {"tokens_generated", counters.tokens_generated},
        {"tokens_delivered", stats_.tokens_delivered},
        {"tokens_wasted", stats_.tokens_wasted},
        {"prefill_tokens", counters.prefill_tokens},
        {"prefix_tokens_saved", counters.prefix_tokens_saved},
        {"running", model_.Running()},
        {"queued", model_.Queued()},
        {"ms_since_last_start", stats_.accepted == 0 ? -1.0 : ToMillis(Now() - stats_.last_start)}};
  }

  asio::awaitable<void> ReportLoad() {
    Timer timer(context_);
    while (true) {
      load_report_ = {{"running", model_.Running()}, {"queued", model_.Queued()}};
      timer.expires_after(options_.load_report_lag);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::io_context& context_;
  EngineServerOptions options_;
  EngineModel model_;
  std::unique_ptr<HttpServer> server_;
  Timer tick_timer_;
  TimePoint tick_time_ = TimePoint::max();  // of the tick that is scheduled
  TimePoint next_sweep_{};
  uint64_t next_sequence_ = 1;
  std::map<std::string, StreamPtr> streams_;
  std::unordered_map<uint64_t, StreamPtr> active_;  // by sequence: not finished
  std::map<std::string, int64_t> starts_;
  std::map<std::string, int64_t> starts_by_seed_;
  Stats stats_;
  json::object load_report_;
  bool leaving_ = false;
  bool refuse_ = false;
  int drop_before_reply_ = 0;
  int64_t drop_after_tokens_ = 0;
  std::function<void()> on_drained_;
};

}  // namespace

std::unique_ptr<EngineServer> MakeEngineServer(asio::io_context& context,
                                               EngineServerOptions options) {
  return std::make_unique<EngineServerImpl>(context, std::move(options));
}

uint64_t AnswerSeed(std::string_view user_text) { return Hash64(user_text, 17); }

std::string ExpectedToken(uint64_t seed, int64_t index) {
  const uint64_t hash = Hash64(std::to_string(index), seed);
  return fmt::format("{}.{:04x} ", index, hash & 0xffff);
}

}  // namespace cartsail::emulator
