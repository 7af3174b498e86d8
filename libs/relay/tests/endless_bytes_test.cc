// Guards against back ends that send bytes without end, in a head or behind it: the attempt is
// closed soon, with bounded memory, and the request goes to another back end where it may.
#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "support/endless_backend.h"
#include "support/relay_fixture.h"
#include "support/stub_backend.h"
#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

using Clock = std::chrono::steady_clock;
using Answer = EndlessBackend::Answer;

// Within this time nothing may be read from the back end any more. Requests have 3 s.
constexpr std::chrono::milliseconds kMostTime(1000);
// What a node may hold for one request: its buffers and what is kept of an answer.
constexpr int64_t kMaxHeldBytes = 1 << 20;

const std::string& Filler() {
  static const std::string filler(1 << 14, 'a');
  return filler;
}

std::string IdLine(const std::string& request) {
  return "Cartsail-Request-Id: " + HeaderOf(request, "Cartsail-Request-Id") + "\r\n";
}

std::string SignedHead(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nCartsail-Signature: s1\r\n" + IdLine(request);
}

bool WaitFor(const std::function<bool()>& condition, std::chrono::milliseconds time) {
  const auto end = Clock::now() + time;
  while (Clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return condition();
}

// Two back ends, of which the first to be asked answers without end and the other one well.
class Play {
 public:
  explicit Play(const std::function<Answer(const std::string& request)>& endless)
      : first_([this, endless](const std::string& request) { return Handle(request, endless); }),
        second_([this, endless](const std::string& request) { return Handle(request, endless); }) {
    relay_.AddBackend("b1", "s", first_.Address());
    relay_.AddBackend("b2", "s", second_.Address());
    relay_.Start();
  }

  std::string Ask(const std::string& path) {
    Client client(relay_.Port());
    client.Send(MakeRequest("POST", path, "r1", "x", "Connection: close\r\n"));
    return client.ReadAnswer();
  }

  void CheckEnds() {
    const bool ends =
        WaitFor([this] { return first_.Endless() + second_.Endless() == 0; }, kMostTime);
    cr_expect(ends, "the connection is still read from");
    int64_t held = 0;
    relay_.OnRelayThread([this, &held] { held = relay_.Context().request_memory->Total(); });
    cr_expect(held <= kMaxHeldBytes, "%ld bytes held", held);
  }

  int Asked() const { return asked_; }

 private:
  Answer Handle(const std::string& request,
                const std::function<Answer(const std::string&)>& first) {
    if (++asked_ == 1) return first(request);
    return {SignedAnswer(request, "well"), ""};
  }

  std::atomic<int> asked_{0};
  EndlessBackend first_;
  EndlessBackend second_;
  RelayFixture relay_;
};

// The caller of a request that may be repeated gets the other back end's answer in time.
void CheckServedByTheOther(const std::function<Answer(const std::string& request)>& endless) {
  Play play(endless);
  const auto begun = Clock::now();
  const std::string answer = play.Ask("/safe/a");
  cr_expect(answer.find("\r\n\r\nwell") != std::string::npos, "%s", answer.substr(0, 200).c_str());
  cr_expect(Clock::now() - begun < kMostTime);
  cr_expect(play.Asked() == 2, "%d asked", play.Asked());
  play.CheckEnds();
}

Test(endless_bytes, in_a_header) {
  CheckServedByTheOther([](const std::string& request) {
    return Answer{SignedHead(request) + "X-Filler: ", Filler()};
  });
}

Test(endless_bytes, in_headers) {
  CheckServedByTheOther([](const std::string& request) {
    return Answer{SignedHead(request), "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"};
  });
}

Test(endless_bytes, instead_of_a_head) {
  CheckServedByTheOther([](const std::string& /*request*/) { return Answer{"", Filler()}; });
}

Test(endless_bytes, in_interim_answers) {
  CheckServedByTheOther([](const std::string& /*request*/) {
    return Answer{"", "HTTP/1.1 102 Processing\r\n\r\n"};
  });
}

Test(endless_bytes, in_a_chunk_header) {
  CheckServedByTheOther([](const std::string& request) {
    return Answer{SignedHead(request) + "Transfer-Encoding: chunked\r\n\r\n1;extension=", Filler()};
  });
}

Test(endless_bytes, in_a_trailer) {
  CheckServedByTheOther([](const std::string& request) {
    return Answer{SignedHead(request) + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ",
                  Filler()};
  });
}

Test(endless_bytes, in_a_success_without_a_signature) {
  CheckServedByTheOther([](const std::string& request) {
    return Answer{"HTTP/1.1 200 OK\r\n" + IdLine(request) + "\r\n", Filler()};
  });
}

Test(endless_bytes, in_the_answer_to_another_request) {
  CheckServedByTheOther([](const std::string& /*request*/) {
    return Answer{"HTTP/1.1 200 OK\r\nCartsail-Request-Id: other\r\nCartsail-Signature: s\r\n\r\n",
                  Filler()};
  });
}

Test(endless_bytes, in_a_refusal) {
  CheckServedByTheOther([](const std::string& request) {
    return Answer{"HTTP/1.1 503 Full\r\nCartsail-Not-Run: 1\r\n" + IdLine(request) + "\r\n",
                  Filler()};
  });
}

Test(endless_bytes, in_the_answer_of_a_wrong_instance) {
  CheckServedByTheOther([](const std::string& request) {
    return Answer{"HTTP/1.1 421 Misdirected\r\n" + IdLine(request) + "\r\n", Filler()};
  });
}

Test(endless_bytes, in_a_failure) {
  CheckServedByTheOther([](const std::string& request) {
    return Answer{"HTTP/1.1 500 Failed\r\n" + IdLine(request) + "\r\n", Filler()};
  });
}

Test(endless_bytes, after_a_whole_answer) {
  Play play([](const std::string& request) {
    return Answer{SignedAnswer(request, "first"), Filler()};
  });
  const std::string answer = play.Ask("/safe/a");
  cr_expect(answer.find("\r\n\r\nfirst") != std::string::npos);
  cr_expect(answer.size() == answer.find("\r\n\r\n") + 9, "nothing else reaches the caller");
  play.CheckEnds();
  cr_expect(play.Ask("/safe/a").find("\r\n\r\nwell") != std::string::npos);
}

// It may be an answer of any length: it is passed on with bounded memory until the deadline, and
// never looks whole.
Test(endless_bytes, in_a_body_that_only_its_connection_ends) {
  Play play([](const std::string& request) {
    return Answer{SignedHead(request) + "\r\n", Filler()};
  });
  const std::string answer = play.Ask("/safe/a");
  cr_expect(answer.find("\r\n0\r\n\r\n") == std::string::npos, "it does not look whole");
  cr_expect(play.Asked() == 1);
  play.CheckEnds();
}

}  // namespace
}  // namespace cartsail::testing
