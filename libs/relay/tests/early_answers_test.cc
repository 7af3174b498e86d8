// An answer without a length that its engine resets while the request is still being sent never
// reaches the caller as a whole answer.
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <memory>
#include <string>

#include "support/caller_view.h"
#include "support/early_backend.h"
#include "support/head_play.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

// More than fits into the buffers of a connection, so that its sender waits for room.
constexpr size_t kUploadBytes = 16 << 20;
constexpr char kPart[] = "id: 1\ndata: a part\n\n";
constexpr char kWell[] = "id: 2\ndata: the rest\n\n";

struct Played {
  CallerView view;
  int asked = 0;
};

// Two back ends, of which the first to be asked answers early with `head` and kPart.
Played Play(const std::string& path, const std::string& head, EarlyEnd end) {
  std::atomic<int> asked{0};
  const auto handler = [&](const std::string& request) {
    const std::string more = "Content-Type: text/event-stream\r\n";
    if (asked++ > 0) return EarlyAnswer{SignedAnswer(request, kWell, 200, more)};
    return EarlyAnswer{WithIdOf(request, head) + kPart, true, end};
  };
  EarlyBackend first(handler);
  EarlyBackend second(handler);
  RelayFixture relay;
  relay.AddBackend("b1", "s", first.Address());
  relay.AddBackend("b2", "s", second.Address());
  relay.Document().limits.max_body_bytes = kUploadBytes;
  relay.Context().request_memory = std::make_shared<MemoryBudget>(4 * kUploadBytes);
  relay.BePatient();
  relay.Start();
  const std::string body(kUploadBytes, 'x');
  Played played;
  played.view =
      AskAsCaller(relay.Port(), MakeRequest("POST", path, "r1", body, "Connection: close\r\n"));
  played.asked = asked;
  return played;
}

std::string HeadOf(const std::string& type) {
  return std::string("HTTP/1.1 200 OK\r\n") + kIdHeader + "Cartsail-Signature: s1\r\n" +
         "Content-Type: " + type + "\r\nConnection: close\r\n\r\n";
}

// The part is no whole answer; what may run again, did.
void CheckIsBrokenOff(const std::string& path, bool may_repeat, EarlyEnd end) {
  for (const std::string type : {"text/event-stream", "application/octet-stream"}) {
    const Played played = Play(path, HeadOf(type), end);
    const CallerView& view = played.view;
    const bool is_part = view.status == 200 && view.whole && view.body == kPart;
    cr_expect(!is_part, "%s, %s: the part passes for an answer", path.c_str(), type.c_str());
    const bool is_bound = path == "/resume/a" && type != "text/event-stream";
    const int expected = may_repeat && !is_bound ? 2 : 1;
    cr_expect(played.asked == expected, "%s, %s: %d asked", path.c_str(), type.c_str(),
              played.asked);
    const bool is_served = view.status == 200 && view.whole && view.body.ends_with(kWell);
    cr_expect(is_served == (expected == 2), "%s, %s: status %d", path.c_str(), type.c_str(),
              view.status);
  }
}

Test(early_answers, a_reset_while_a_request_that_runs_once_is_sent, .timeout = 60) {
  CheckIsBrokenOff("/once/a", false, EarlyEnd::kReset);
}

Test(early_answers, a_reset_while_a_request_that_may_run_again_is_sent, .timeout = 60) {
  CheckIsBrokenOff("/safe/a", true, EarlyEnd::kReset);
}

Test(early_answers, a_reset_while_a_request_for_a_stream_is_sent, .timeout = 60) {
  CheckIsBrokenOff("/stream/a", false, EarlyEnd::kReset);
}

Test(early_answers, a_reset_while_a_request_for_a_stream_that_can_be_resumed_is_sent,
     .timeout = 60) {
  CheckIsBrokenOff("/resume/a", true, EarlyEnd::kReset);
}

// Its side of the connection ended in order, but before it had taken the request.
Test(early_answers, an_end_in_order_while_the_request_is_sent, .timeout = 120) {
  for (const EarlyEnd end : {EarlyEnd::kHalfClosed, EarlyEnd::kClosedAndRead}) {
    CheckIsBrokenOff("/once/a", false, end);
    CheckIsBrokenOff("/safe/a", true, end);
    CheckIsBrokenOff("/stream/a", false, end);
    CheckIsBrokenOff("/resume/a", true, end);
  }
}

// Its length says that nothing is missing: a server may answer before it has read a request.
Test(early_answers, an_early_answer_with_a_length_is_whole, .timeout = 60) {
  const std::string head = std::string("HTTP/1.1 200 OK\r\n") + kIdHeader +
                           "Cartsail-Signature: s1\r\nContent-Type: text/event-stream\r\n" +
                           "Content-Length: " + std::to_string(sizeof(kPart) - 1) + "\r\n\r\n";
  for (const std::string path : {"/once/a", "/safe/a", "/stream/a", "/resume/a"}) {
    const Played played = Play(path, head, EarlyEnd::kReset);
    const CallerView& view = played.view;
    cr_expect(view.status == 200 && view.whole && view.body == kPart, "%s: %d", path.c_str(),
              view.status);
    cr_expect(played.asked == 1);
  }
}

}  // namespace
}  // namespace cartsail::testing
