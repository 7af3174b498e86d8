#include "pausing_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "cartsail/routing/route_table.h"
#include "relay_context.h"

namespace cartsail::testing {
namespace {

constexpr Duration kPatience = seconds(10);
constexpr milliseconds kPoll(5);
// Longer than kTimeLeft.
constexpr Duration kRouteTimeout = seconds(20);
// After its deadline a caller gives up.
constexpr Duration kCallerMargin = seconds(4);

RetryBudgetOptions BudgetOf(const PausingFleetOptions& options) {
  RetryBudgetOptions budget;
  if (options.has_retries) return budget;
  budget.ratio = 0;
  budget.extra = 0;
  return budget;
}

bool IsStream(const std::string& route) { return route == "stream" || route == "resume"; }

bool MayRunAgain(const std::string& route) { return route == "safe" || route == "resume"; }

std::string RequestText(const AskedRequest& asked, const std::string& route) {
  return fmt::format(
      "POST /{}/{} HTTP/1.1\r\nHost: h\r\nCartsail-Request-Id: {}\r\nCartsail-Time-Left-Ms: {}\r\n"
      "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
      route, asked.id, asked.id, static_cast<int64_t>(ToMillis(asked.time_left)), asked.id.size(),
      asked.id);
}

}  // namespace

PausingFleet::PausingFleet(const PausingFleetOptions& options)
    : options_(options),
      engines_(options.engines, options.shape),
      fleet_(
          options.nodes, options.engines,
          [this](const std::string& request) { return engines_.Answer(request); },
          BudgetOf(options)),
      document_(PlainDocument()) {
  for (RouteRule& route : document_.routes) {
    route.timeout = kRouteTimeout;
    if (MayRunAgain(route.name)) route.max_attempts = options.max_attempts;
  }
  fleet_.AwaitPeers();
  ChangeConfiguration();
}

PausingFleet::~PausingFleet() {
  engines_.End();
  for (const auto& call : calls_) {
    if (call->thread.joinable()) call->thread.join();
  }
}

void PausingFleet::Ask(int node, const std::string& route, Duration time_left) {
  AskAt(fleet_.AddressOf(node), route, time_left);
}

void PausingFleet::AskAt(const Endpoint& address, const std::string& route, Duration time_left) {
  auto call = std::make_unique<Call>();
  call->route = route;
  call->asked.id = fmt::format("{}-{}", route, calls_.size() + 1);
  if (IsStream(route)) call->asked.events = EventsOf(call->asked.id, options_.shape);
  call->asked.body = BodyOf(call->asked.id);
  call->asked.time_left = time_left;
  if (MayRunAgain(route)) call->asked.most_runs = static_cast<int>(options_.max_attempts);
  Call& added = *calls_.emplace_back(std::move(call));
  added.thread = std::thread([this, &added, address] { Converse(added, address); });
}

void PausingFleet::AskAll(const std::string& route, int count, Duration time_left) {
  for (int node = 0; node < options_.nodes; ++node) {
    for (int i = 0; i < count; ++i) Ask(node, route, time_left);
  }
}

void PausingFleet::Converse(Call& call, const Endpoint& address) {
  const Duration patience = call.asked.time_left + kCallerMargin;
  ReceivedAnswer received;
  received.sent = Now();
  Client client(address.port, address.host);
  client.Send(RequestText(call.asked, call.route));
  TimePoint last_event{};
  for (const std::string& event : call.asked.events) {
    const std::string bytes = client.ReadUntil(event, patience);
    if (bytes.find(event) == std::string::npos) break;
    const TimePoint now = Now();
    if (last_event != TimePoint()) {
      received.longest_gap = std::max(received.longest_gap, now - last_event);
    }
    last_event = now;
    const std::lock_guard<std::mutex> lock(mutex_);
    ++call.events;
  }
  const std::string never = "\x01";
  received.view = ReadAsCaller(client.ReadUntil(never, patience));
  received.ended = Now();
  const std::lock_guard<std::mutex> lock(mutex_);
  call.received = received;
}

bool PausingFleet::Await(const std::function<bool()>& condition) {
  const TimePoint end = Now() + kPatience;
  while (!condition()) {
    if (Now() >= end) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

bool PausingFleet::AwaitEvents(int events) {
  return Await([this, events] {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::all_of(calls_.begin(), calls_.end(), [events](const auto& call) {
      return !IsStream(call->route) || call->events >= events;
    });
  });
}

void PausingFleet::PauseAllFor(milliseconds time) {
  engines_.PauseAll();
  std::this_thread::sleep_for(time);
  engines_.ResumeAll();
}

void PausingFleet::ChangeConfiguration() {
  ++document_.version;
  for (RouteRule& route : document_.routes) route.timeout += seconds(1);
  const auto table = RouteTable::Build(document_);
  for (int node = 0; node < options_.nodes; ++node) {
    fleet_.With(node, [&table](RelayContext& context) {
      if (!context.routing.Apply(*table, "")) std::abort();
      context.routing.Confirm(Now());
    });
  }
}

AnswerReport PausingFleet::Finish() {
  for (const auto& call : calls_) call->thread.join();
  // Paused engines run what they have accepted once they go on.
  engines_.ResumeAll();
  if (!Await([this] { return engines_.HeldUp() == 0; })) std::abort();
  AnswerReport report;
  for (const auto& call : calls_) {
    call->received.runs = engines_.RunsOf(call->asked.id);
    report.Add(call->asked, call->received);
  }
  return report;
}

}  // namespace cartsail::testing
