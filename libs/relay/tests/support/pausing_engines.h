// Stand-ins for engines that pause: a paused one sends nothing on any connection, while its host
// still accepts connections and requests.
#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "support/stub_backend.h"

namespace cartsail::testing {

struct StreamShape {
  int events = 20;
  std::chrono::milliseconds interval{80};  // between two events
};

// The events of the stream that answers request `id`, in order, without framing.
std::vector<std::string> EventsOf(const std::string& id, const StreamShape& shape);

// The body that answers request `id` on a route without streams.
std::string BodyOf(const std::string& id);

// The engines of one fleet, "i-1" to "i-N". Indices of engines begin with 0.
class PausingEngines {
 public:
  PausingEngines(int engines, const StreamShape& shape);

  // Handler of all engines. Streams of the routes "/stream/" and "/resume/" go on after the
  // request's Last-Event-ID.
  StubAnswer Answer(const std::string& request);

  void Pause(const std::set<int>& engines);
  void PauseAll();
  void Resume(int engine);
  void ResumeAll();

  // Pauses the engine at which the next request continues a stream, once that one has sent
  // `events` more events.
  void PauseNextContinuation(int events);
  bool HasPausedContinuation();

  // From now on engines refuse to continue streams, as full ones do.
  void RefuseContinuations();

  // From now on the engine answers a request that nobody sent before each answer, also while it is
  // paused.
  void SendStaleAnswers(int engine);

  // Ends all pauses for good, so that no thread of an engine waits.
  void End();

  // How often engines have run the request.
  int RunsOf(const std::string& id);

  // How often paused engines hold an answer up.
  int HeldUp();

  // The engine that was the last to start most of the requests.
  int BusiestEngine();

 private:
  int EngineOf(const std::string& request) const;
  // Runs the request once its engine is not paused.
  void Begin(const std::string& id, int engine);
  void WaitWhilePaused(int engine, std::unique_lock<std::mutex>& lock);
  bool Refuses(const std::string& request);
  bool SendsStaleAnswers(int engine);
  // A stale answer, then the one to this request.
  StubAnswer AnswerAfterStale(const std::string& request, int engine);
  StubAnswer AnswerStream(const std::string& request, int engine);
  void NoteContinued(int engine, int events);

  const int engines_;
  const StreamShape shape_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::set<int> paused_;
  bool refuses_continuations_ = false;
  std::set<int> stale_;  // engines that send stale answers
  int held_up_ = 0;
  bool ended_ = false;
  int continuation_events_ = 0;  // of PauseNextContinuation(); 0: no pause is due
  bool has_paused_continuation_ = false;
  std::map<std::string, int> runs_;         // by request id
  std::map<std::string, int> last_engine_;  // that started the request, by its id
};

}  // namespace cartsail::testing
