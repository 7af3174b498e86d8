// Streams over another node while engines, or that node, send nothing for a while and then go on:
// each caller gets its whole answer.
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "relay_context.h"
#include "support/path_fleet.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

constexpr int kEngines = 3;
constexpr int kStreams = 9;
constexpr int kEvents = 30;
constexpr std::chrono::milliseconds kEventInterval(20);
// Longer than a stream waits before it looks for another back end (0.9 s).
constexpr std::chrono::milliseconds kPause(1800);

void Sleep(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

std::string EventText(int number) { return fmt::format("id: {0}\ndata: e{0}\n\n", number); }

std::string Chunk(const std::string& text) {
  return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

// The events after the last one that the caller has; they stop while `paused`.
StubAnswer Stream(const std::string& request, const std::atomic<bool>* paused) {
  StubAnswer answer;
  answer.pieces.push_back(
      "HTTP/1.1 200 OK\r\nCartsail-Signature: s\r\nCartsail-Request-Id: " +
      HeaderOf(request, "Cartsail-Request-Id") +
      "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string last = HeaderOf(request, "Last-Event-ID");
  for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= kEvents; ++i) {
    answer.pieces.push_back(Chunk(EventText(i)));
  }
  answer.pieces.emplace_back("0\r\n\r\n");
  answer.pause_ms = static_cast<int>(kEventInterval.count());
  answer.before_next = [paused] {
    while (*paused) Sleep(std::chrono::milliseconds(5));
  };
  return answer;
}

StubAnswer StreamOrDone(const std::string& request, const std::atomic<bool>* paused) {
  const bool is_stream = request.find("/resume/") != std::string::npos;
  return is_stream ? Stream(request, paused) : StubAnswer{{SignedAnswer(request, "done")}};
}

std::string WholeStream() {
  std::string whole;
  for (int i = 1; i <= kEvents; ++i) whole += EventText(i);
  return whole;
}

// The bytes of a chunked body; of one that was cut, what came.
std::string BodyOf(const std::string& answer) {
  std::string body;
  size_t at = answer.find("\r\n\r\n");
  while (at != std::string::npos && at + 4 < answer.size()) {
    const size_t begin = body.empty() ? at + 4 : at + 2;
    const size_t line_end = answer.find("\r\n", begin);
    if (line_end == std::string::npos) break;
    const size_t size = std::stoul(answer.substr(begin, line_end - begin), nullptr, 16);
    if (size == 0) break;
    body += answer.substr(line_end + 2, size);
    at = line_end + 2 + size;
  }
  return body;
}

// How often streams were sent to engines.
int Attempts(PathFleet& fleet) {
  int attempts = 0;
  for (int i = 0; i < kEngines; ++i) {
    for (const std::string& request : fleet.Engine(i).Requests()) {
      attempts += request.find("/resume/") != std::string::npos ? 1 : 0;
    }
  }
  return attempts;
}

// Streams of node 0, which reaches engines over node 1 only.
std::vector<std::unique_ptr<Client>> BeginStreams(PathFleet& fleet) {
  fleet.SetLinks(1, PathState::kRefused);
  std::vector<std::unique_ptr<Client>> callers;
  for (int i = 0; i < kStreams; ++i) callers.push_back(fleet.Begin(0, "POST", "/resume/a"));
  for (const auto& caller : callers) (void)caller->ReadUntil("data: e3\n");
  return callers;
}

void CheckWhole(std::vector<std::unique_ptr<Client>>& callers) {
  const std::string whole = WholeStream();
  int cut = 0;
  for (const auto& caller : callers) cut += BodyOf(caller->ReadAnswer()) == whole ? 0 : 1;
  cr_assert(cut == 0, "%d of %d are not whole", cut, kStreams);
}

Test(silent_bridge, engines_that_pause_together_keep_their_streams, .timeout = 60) {
  std::atomic<bool> paused{false};
  PathFleet fleet(2, kEngines,
                  [&paused](const std::string& request) { return StreamOrDone(request, &paused); });
  fleet.Start();
  auto callers = BeginStreams(fleet);
  paused = true;
  Sleep(kPause);
  paused = false;
  CheckWhole(callers);
  // One request a second may be tried at an idle back end, and one at a silent back end.
  const int trials = 2 * static_cast<int>(std::chrono::duration_cast<seconds>(kPause).count());
  cr_assert(Attempts(fleet) <= kStreams + trials, "%d attempts", Attempts(fleet));
}

Test(silent_bridge, a_node_between_that_stands_still_cuts_no_stream, .timeout = 60) {
  const std::atomic<bool> paused{false};
  PathFleet fleet(2, kEngines,
                  [&paused](const std::string& request) { return StreamOrDone(request, &paused); });
  fleet.Start();
  auto callers = BeginStreams(fleet);
  fleet.With(1, [](RelayContext&) { Sleep(kPause); });
  CheckWhole(callers);
}

// The control of the tests above: nothing is left that could go on.
Test(silent_bridge, a_node_between_that_ends_cuts_its_streams, .timeout = 60) {
  const std::atomic<bool> paused{false};
  PathFleet fleet(2, kEngines,
                  [&paused](const std::string& request) { return StreamOrDone(request, &paused); });
  fleet.Start();
  auto callers = BeginStreams(fleet);
  fleet.Kill(1);
  const std::string whole = WholeStream();
  int cut = 0;
  for (const auto& caller : callers) cut += BodyOf(caller->ReadAnswer()) == whole ? 0 : 1;
  cr_assert(cut == kStreams, "%d of %d", cut, kStreams);
}

}  // namespace
}  // namespace cartsail::testing
