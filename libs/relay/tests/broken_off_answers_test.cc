// An answer that its back end broke off never reaches the caller framed as whole, whatever its
// framing, the way its connection ended and the byte at which it did.
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "support/caller_view.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

enum class Framing { kConnection, kChunked, kLength };
enum class End { kClosed, kReset };

constexpr Framing kFramings[] = {Framing::kConnection, Framing::kChunked, Framing::kLength};
constexpr End kEnds[] = {End::kClosed, End::kReset};

const std::vector<std::string>& Events() {
  static const std::vector<std::string> events = {
      "id: 1\ndata: first\n\n", ": a comment\n\nid: 2\r\nevent: more\r\ndata: second\r\n\r\n",
      "id: 3\rdata: third\r\r", "id: 4\ndata: fourth\ndata: of two lines\n\n"};
  return events;
}

std::string EventsFrom(size_t first) {
  std::string text;
  for (size_t i = first; i < Events().size(); ++i) text += Events()[i];
  return text;
}

// The number of events that end within the first `bytes` of the stream.
size_t WholeEventsIn(size_t bytes) {
  size_t end = 0;
  size_t count = 0;
  while (count < Events().size() && end + Events()[count].size() <= bytes) {
    end += Events()[count++].size();
  }
  return count;
}

// A comment, and the line end after an event, belong to no event.
bool IsInsideEvent(size_t bytes) {
  static const size_t first = Events()[0].size();
  static const size_t comment = std::string(": a comment\n").size();
  size_t end = 0;
  for (const std::string& event : Events()) {
    if (end >= bytes) break;
    end += event.size();
  }
  if (end == bytes) return false;
  return bytes != first + comment && bytes != first + comment + 1 &&
         // The second line end of the blank line was a CR alone when the stream ended.
         bytes != first + Events()[1].size() - 1;
}

std::string HeadOf(const std::string& request, Framing framing, size_t length) {
  std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCartsail-Signature: s1\r\n"
      "Cartsail-Request-Id: " +
      HeaderOf(request, "Cartsail-Request-Id") + "\r\n";
  if (framing == Framing::kConnection) head += "Connection: close\r\n";
  if (framing == Framing::kChunked) head += "Transfer-Encoding: chunked\r\n";
  if (framing == Framing::kLength) head += "Content-Length: " + std::to_string(length) + "\r\n";
  return head + "\r\n";
}

std::string Framed(const std::string& body, Framing framing, bool with_last_chunk) {
  if (framing != Framing::kChunked) return body;
  char size[16];
  snprintf(size, sizeof(size), "%zx\r\n", body.size());
  const std::string chunk = body.empty() ? std::string() : size + body + "\r\n";
  return chunk + (with_last_chunk ? "0\r\n\r\n" : "");
}

// Breaks the first answer to each request off, and answers the next one from where it was asked.
class BreakingBackends {
 public:
  BreakingBackends(Framing framing, End end, size_t bytes)
      : framing_(framing), end_(end), bytes_(bytes) {}

  StubAnswer Answer(const std::string& request) {
    const std::string id = HeaderOf(request, "Cartsail-Request-Id");
    const std::lock_guard<std::mutex> lock(mutex_);
    StubAnswer answer;
    answer.close_after = true;
    if (++asked_ > 1) {
      last_event_id_ = HeaderOf(request, "Last-Event-ID");
      const size_t first = last_event_id_.empty() ? 0 : std::stoul(last_event_id_);
      const std::string rest = EventsFrom(first);
      answer.pieces = {HeadOf(request, framing_, rest.size()) + Framed(rest, framing_, true)};
      return answer;
    }
    const std::string body = EventsFrom(0).substr(0, bytes_);
    // Where the connection is reset a framing other than the connection's is left incomplete.
    const bool is_reset = end_ == End::kReset;
    const size_t length = body.size() + (is_reset ? 1 : 0);
    answer.pieces = {HeadOf(request, framing_, length) + Framed(body, framing_, !is_reset)};
    answer.reset_after = is_reset;
    return answer;
  }

  int Asked() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return asked_;
  }
  std::string LastEventId() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return last_event_id_;
  }

 private:
  const Framing framing_;
  const End end_;
  const size_t bytes_;
  std::mutex mutex_;
  int asked_ = 0;
  std::string last_event_id_;
};

struct Case {
  Framing framing;
  End end;
  size_t bytes;  // of the stream, before it ends

  std::string Text() const {
    static const std::map<Framing, std::string> framings = {{Framing::kConnection, "connection"},
                                                            {Framing::kChunked, "chunked"},
                                                            {Framing::kLength, "length"}};
    return framings.at(framing) + (end == End::kReset ? ", reset" : ", closed") + " after " +
           std::to_string(bytes) + " bytes";
  }

  // The framing is complete, and so is the last event.
  bool IsWhole() const {
    if (end == End::kReset || IsInsideEvent(bytes)) return false;
    // A stream that its connection ended before its first event has answered nothing.
    return bytes > 0 || framing != Framing::kConnection;
  }
};

std::vector<Case> AllCases() {
  std::vector<Case> cases;
  for (const Framing framing : kFramings) {
    for (const End end : kEnds) {
      for (size_t bytes = 0; bytes <= EventsFrom(0).size(); ++bytes) {
        cases.push_back({framing, end, bytes});
      }
    }
  }
  return cases;
}

struct Seen {
  CallerView caller;
  int asked = 0;
  std::string last_event_id;
};

Seen Play(const Case& played, const std::string& path) {
  BreakingBackends backends(played.framing, played.end, played.bytes);
  const auto handler = [&backends](const std::string& request) { return backends.Answer(request); };
  StubBackend first(handler);
  StubBackend second(handler);
  RelayFixture relay;
  relay.AddBackend("b1", "s", first.Address());
  relay.AddBackend("b2", "s", second.Address());
  relay.BePatient();
  relay.Start();
  Seen seen;
  seen.caller =
      AskAsCaller(relay.Port(), MakeRequest("POST", path, "r1", "x", "Connection: close\r\n"));
  seen.asked = backends.Asked();
  seen.last_event_id = backends.LastEventId();
  return seen;
}

Test(broken_off_answers, a_stream_that_cannot_be_resumed_is_whole_only_where_it_is,
     .timeout = 120) {
  int wrong = 0;
  for (const Case& played : AllCases()) {
    const Seen seen = Play(played, "/stream/a");
    bool right = seen.caller.whole == played.IsWhole() || seen.caller.status == 502;
    if (played.IsWhole())
      right = right && seen.caller.body == EventsFrom(0).substr(0, played.bytes);
    right = right && seen.asked == 1 && seen.caller.closed;
    if (right) continue;
    ++wrong;
    cr_log_warn("%s: status %d, framed as %s, %zu bytes, %d asked", played.Text().c_str(),
                seen.caller.status, seen.caller.whole ? "whole" : "broken off",
                seen.caller.body.size(), seen.asked);
  }
  cr_assert(wrong == 0, "%d of %zu", wrong, AllCases().size());
}

Test(broken_off_answers, a_stream_that_can_be_resumed_goes_on_from_its_last_whole_event,
     .timeout = 120) {
  int wrong = 0;
  for (const Case& played : AllCases()) {
    const Seen seen = Play(played, "/resume/a");
    const std::string expected =
        played.IsWhole() ? EventsFrom(0).substr(0, played.bytes) : EventsFrom(0);
    const size_t whole_events = WholeEventsIn(played.bytes);
    bool right = seen.caller.whole;
    if (played.IsWhole()) {
      right = right && seen.caller.body == expected && seen.asked == 1;
    } else {
      // Line ends and comments between events may come twice or not at all.
      const std::string id = whole_events == 0 ? "" : std::to_string(whole_events);
      const std::string id_of_cr = std::to_string(whole_events + 1);
      const bool from_last = seen.last_event_id == id || seen.last_event_id == id_of_cr;
      right = right && from_last && seen.asked == 2;
      // All events came before the first back end reset its connection. A connection that then
      // ends without a byte does not say that there was nothing more.
      if (played.bytes == EventsFrom(0).size() && played.framing == Framing::kConnection) {
        right = from_last && seen.asked == 2 && !seen.caller.whole;
      }
      for (const char* data : {"data: first", "data: second", "data: third", "data: fourth"}) {
        const size_t at = seen.caller.body.find(data);
        right = right && at != std::string::npos &&
                seen.caller.body.find(data, at + 1) == std::string::npos;
      }
    }
    if (right) continue;
    ++wrong;
    cr_log_warn("%s: status %d, framed as %s, %zu bytes, %d asked, the last from \"%s\"",
                played.Text().c_str(), seen.caller.status,
                seen.caller.whole ? "whole" : "broken off", seen.caller.body.size(), seen.asked,
                seen.last_event_id.c_str());
  }
  cr_assert(wrong == 0, "%d of %zu", wrong, AllCases().size());
}

// Sends one request and reads the answer of a back end that sends `answer` and closes.
CallerView AskOnce(const std::string& method, const std::string& path, const std::string& answer) {
  StubBackend backend([&answer](const std::string& request) {
    StubAnswer sent;
    sent.pieces = {"HTTP/1.1 " + answer};
    const std::string id = "Cartsail-Request-Id: " + HeaderOf(request, "Cartsail-Request-Id");
    sent.pieces.front().insert(sent.pieces.front().find("\r\n") + 2,
                               id + "\r\nCartsail-Signature: s1\r\n");
    sent.close_after = true;
    return sent;
  });
  RelayFixture relay;
  relay.AddBackend("b1", "s", backend.Address());
  relay.Start();
  return AskAsCaller(relay.Port(), MakeRequest(method, path, "r1", "", "Connection: close\r\n"));
}

Test(broken_off_answers, answers_without_a_body_are_whole_on_every_route) {
  for (const std::string path : {"/safe/a", "/once/a", "/stream/a", "/resume/a"}) {
    const CallerView no_content = AskOnce("POST", path, "204 No Content\r\n\r\n");
    cr_expect(no_content.status == 204 && no_content.body.empty(), "%s", path.c_str());
    const CallerView not_modified = AskOnce("GET", path, "304 Not Modified\r\n\r\n");
    cr_expect(not_modified.status == 304 && not_modified.body.empty(), "%s", path.c_str());
    const CallerView head = AskOnce(
        "HEAD", path, "200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\n");
    cr_expect(head.status == 200 && head.body.empty(), "%s", path.c_str());
  }
}

Test(broken_off_answers, a_length_counts_also_where_the_connection_is_to_close) {
  const std::string head = "200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\n";
  for (const std::string path : {"/safe/a", "/once/a", "/stream/a", "/resume/a"}) {
    const CallerView whole = AskOnce("POST", path, head + "hello");
    cr_expect(whole.status == 200 && whole.whole && whole.body == "hello", "%s", path.c_str());
    const CallerView cut = AskOnce("POST", path, head + "hell");
    cr_expect(cut.status == 502 || !cut.whole, "%s", path.c_str());
  }
}

Test(broken_off_answers, bytes_that_are_no_events_go_out_as_they_come_and_are_whole_at_their_end) {
  for (const std::string path : {"/safe/a", "/stream/a", "/resume/a"}) {
    const CallerView view = AskOnce("POST", path, "200 OK\r\nConnection: close\r\n\r\nid: 1\nda");
    cr_expect(view.whole && view.body == "id: 1\nda", "%s", path.c_str());
  }
}

// On a route whose answers are gathered before they are passed on.
Test(broken_off_answers, events_that_a_plain_route_answers_with_are_judged_as_a_stream_is) {
  const std::string head = "200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n";
  const CallerView cut = AskOnce("POST", "/once/a", head + "Connection: close\r\n\r\nid: 1\nda");
  cr_expect(cut.status == 502);
  const CallerView whole =
      AskOnce("POST", "/once/a", head + "Connection: close\r\n\r\nid: 1\ndata: a\n\n");
  cr_expect(whole.status == 200 && whole.whole);
}

// The second back end begins where an event was under way at the first one.
Test(broken_off_answers, an_event_too_large_to_be_held_is_not_continued_by_another_back_end) {
  const std::string large = "id: 2\ndata: " + std::string(200000, 'x');
  const auto handler = [&large](const std::string& request) {
    StubAnswer answer;
    answer.pieces = {HeadOf(request, Framing::kConnection, 0) + "id: 1\ndata: a\n\n" + large};
    answer.close_after = true;
    return answer;
  };
  StubBackend first(handler);
  StubBackend second(handler);
  RelayFixture relay;
  relay.AddBackend("b1", "s", first.Address());
  relay.AddBackend("b2", "s", second.Address());
  relay.Start();
  const CallerView view = AskAsCaller(
      relay.Port(), MakeRequest("POST", "/resume/a", "r1", "x", "Connection: close\r\n"));
  cr_assert(!view.whole && view.body == "id: 1\ndata: a\n\n" + large);
  cr_assert(first.Requests().size() + second.Requests().size() == 1);
}

}  // namespace
}  // namespace cartsail::testing
