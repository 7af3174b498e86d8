#include "load.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

#include "cartsail/base/status.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_client.h"
#include "load_client.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;

constexpr int kCharactersPerToken = 4;
constexpr Duration kStatsTimeout = seconds(2);
constexpr double kShortestGapSeconds = 1e-6;
constexpr Duration kReadinessTimeout = milliseconds(200);
constexpr Duration kReadinessInterval = milliseconds(20);

class LoadRun {
 public:
  LoadRun(const Workload& workload, const LoadOptions& options)
      : workload_(workload), options_(options) {}

  json::object Run() {
    asio::co_spawn(context_, Main(), asio::detached);
    context_.run();
    json::object report = measures_.Report(ToSeconds(options_.duration), computed_tokens_);
    report["workload"] = workload_.name;
    report["seed"] = options_.seed;
    report["unfinished"] = in_flight_;
    return report;
  }

 private:
  asio::awaitable<void> Main() {
    const int64_t before = co_await ComputedTokens();
    for (size_t i = 0; i < workload_.classes.size(); ++i) {
      ++generators_;
      asio::co_spawn(context_, Generate(workload_.classes[i], options_.seed * 1000 + i),
                     asio::detached);
    }
    for (size_t i = 0; i < options_.readiness.size(); ++i) {
      asio::co_spawn(context_, WatchReadiness(i), asio::detached);
    }
    const TimePoint limit = Now() + options_.duration + options_.settle;
    while ((generators_ > 0 || in_flight_ > 0) && Now() < limit) {
      co_await Sleep(milliseconds(20));
    }
    computed_tokens_ = co_await ComputedTokens() - before;
    context_.stop();
  }

  asio::awaitable<void> Sleep(Duration duration) {
    Timer timer(context_);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<void> WatchReadiness(size_t target) {
    while (true) {
      HttpRequest request;
      request.target = "/readyz";
      const absl::StatusOr<HttpResponse> response =
          co_await Fetch(context_.get_executor(), options_.readiness[target], std::move(request),
                         kReadinessTimeout);
      const bool ready = response.ok() && response->status == 200;
      unready_[target] = ready ? 0 : 1;
      co_await Sleep(kReadinessInterval);
    }
  }

  // All targets from a random one on, those that are not ready last.
  std::vector<Endpoint> OrderTargets(std::mt19937_64& random) {
    std::uniform_int_distribution<size_t> draw(0, options_.targets.size() - 1);
    const size_t first = draw(random);
    std::vector<Endpoint> ready;
    std::vector<Endpoint> others;
    for (size_t i = 0; i < options_.targets.size(); ++i) {
      const size_t target = (first + i) % options_.targets.size();
      (unready_[target] != 0 ? others : ready).push_back(options_.targets[target]);
    }
    ready.insert(ready.end(), others.begin(), others.end());
    return ready;
  }

  asio::awaitable<void> Generate(const TrafficClass& traffic, uint64_t seed) {
    std::mt19937_64 random(seed);
    const TimePoint start = Now();
    TimePoint next = start;
    int64_t number = 0;
    while (true) {
      const double rate = traffic.RateAt(ToSeconds(next - start)) * options_.rate_factor;
      std::exponential_distribution<double> gap(std::max(rate, 1e-3));
      next += FromSeconds(std::max(gap(random), kShortestGapSeconds));
      if (next - start >= options_.duration) break;
      if (next > Now()) {
        Timer timer(context_);
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
      }
      CallerRequest call = MakeCall(traffic, seed, number++, random);
      ++in_flight_;
      asio::co_spawn(context_, One(std::move(call)), asio::detached);
    }
    --generators_;
  }

  CallerRequest MakeCall(const TrafficClass& traffic, uint64_t seed, int64_t number,
                         std::mt19937_64& random) {
    CallerRequest call;
    call.targets = OrderTargets(random);
    std::uniform_int_distribution<size_t> key(0, options_.api_keys.size() - 1);
    call.api_key = options_.api_keys[key(random)];
    call.service = traffic.service;
    call.class_name = traffic.name;
    call.model = workload_.model;
    call.output_tokens = traffic.DrawOutputTokens(random);
    call.stream = traffic.stream;
    call.ttft_target = traffic.ttft_target;
    const uint64_t prefix = random() % static_cast<uint64_t>(traffic.prefixes);
    std::string shared = fmt::format("{} prefix {} ", traffic.name, prefix);
    shared.resize(static_cast<size_t>(traffic.shared_prefix_tokens) * kCharactersPerToken, 'p');
    call.prompt = shared + fmt::format("{}-{}-{} ", traffic.name, seed, number);
    const auto length = static_cast<size_t>(traffic.prompt_tokens) * kCharactersPerToken;
    if (call.prompt.size() < length) call.prompt.resize(length, 'x');
    if (!traffic.repeatable) {
      call.idempotency_key = fmt::format("{}-{}-{}", traffic.name, seed, number);
    }
    return call;
  }

  asio::awaitable<void> One(CallerRequest call) {
    const CallerResult result = co_await AskOnce(context_.get_executor(), std::move(call));
    measures_.Add(result.result);
    --in_flight_;
  }

  asio::awaitable<int64_t> ComputedTokens() {
    int64_t total = 0;
    for (const Endpoint& engine : options_.engines) {
      HttpRequest request;
      request.target = "/admin/stats";
      const absl::StatusOr<HttpResponse> response =
          co_await Fetch(context_.get_executor(), engine, std::move(request), kStatsTimeout);
      if (!response.ok()) continue;
      const absl::StatusOr<json::object> stats = ParseJsonObject(response->body);
      if (stats.ok()) total += GetInt(*stats, "tokens_generated");
    }
    co_return total;
  }

  const Workload& workload_;
  const LoadOptions& options_;
  asio::io_context context_{1};
  Measures measures_;
  std::vector<char> unready_ = std::vector<char>(options_.targets.size());
  int generators_ = 0;
  int64_t in_flight_ = 0;
  int64_t computed_tokens_ = 0;
};

}  // namespace

absl::StatusOr<json::object> RunLoad(const Workload& workload, const LoadOptions& options) {
  if (options.targets.empty()) {
    return MakeError(ErrorKind::kInvalidArgument, "load: no targets");
  }
  if (options.api_keys.empty()) {
    return MakeError(ErrorKind::kInvalidArgument, "load: no API keys");
  }
  LoadRun run(workload, options);
  return run.Run();
}

}  // namespace cartsail::emulator
