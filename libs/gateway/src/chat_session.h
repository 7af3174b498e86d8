// One chat completion from the caller's request to the end of its answer, over as many attempts as
// it takes: a cut or preempted repeatable answer is continued on another engine from the text that
// was already delivered.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "attempt_meter.h"
#include "backend_work.h"
#include "cartsail/base/json.h"
#include "cartsail/base/timer.h"
#include "cartsail/net/http_server.h"

namespace cartsail {

// A parsed chat completion request.
struct ChatRequest {
  json::object body;
  std::string model;
  bool stream = false;
  uint64_t prefix_hash = 0;
};

// kMalformedRequest when `body` is no chat completion.
absl::StatusOr<ChatRequest> ParseChatRequest(const std::string& body);

class ChatSession {
 public:
  ChatSession(boost::asio::any_io_executor executor, HttpConnectionPool& pool,
              ControlPlane& control, HttpExchange& exchange, const Caller& caller,
              ChatRequest request);
  ~ChatSession();

  boost::asio::awaitable<void> Run();

 private:
  // What reaches into a running attempt from outside; outlives the session.
  struct Signals {
    bool IsPreempted() const { return preempted.contains(slot); }

    bool caller_gone = false;
    int slot = 0;  // number of the slot held, so that a late preemption hits no later one
    std::set<int> preempted;  // numbers of the slots that were taken back
    EngineStream* stream = nullptr;
    ChatSession* session = nullptr;
  };

  boost::asio::awaitable<absl::Status> RunAttempts();
  // Takes the replacement that is held, or gets a slot.
  boost::asio::awaitable<absl::Status> TakeSlot(SlotPurpose purpose);
  boost::asio::awaitable<absl::Status> RunAttempt();
  boost::asio::awaitable<absl::Status> ReadAnswer(EngineStream& stream, AttemptMeter& meter);
  boost::asio::awaitable<absl::Status> Deliver(const EngineEvent& event);
  boost::asio::awaitable<absl::Status> DeliverFinish(const EngineEvent& event);
  boost::asio::awaitable<absl::Status> BeginAnswer();
  boost::asio::awaitable<absl::Status> EndAttempt(EngineStream& stream, absl::Status status,
                                                  const AttemptMeter& meter);
  boost::asio::awaitable<void> Fail(absl::Status status);
  std::optional<SlotPurpose> NextPurpose(const absl::Status& status);
  void OnCallerGone();
  std::function<void()> PreemptFunction(int slot);
  // From now on data of the engine is awaited, which counts as silent after `limit`. A silent
  // engine keeps the request until a slot at another one is held, as it may only be slow.
  void StartSilenceWatch(Duration limit);
  void EndSilenceWatch();
  void ArmSilenceTimer();
  void OnSilence();
  std::string AttemptBody() const;
  Duration ResumeGrace() const;

  boost::asio::any_io_executor executor_;
  HttpConnectionPool& pool_;
  HttpExchange& exchange_;
  const Caller& caller_;
  ChatRequest request_;
  BackendWork work_;
  std::shared_ptr<Signals> signals_ = std::make_shared<Signals>();
  Timer grace_timer_;
  Timer silence_timer_;
  Duration silence_limit_{};
  int slots_asked_ = 0;
  int replacement_slot_ = 0;  // number of the replacement that was asked for last
  bool began_ = false;
  int64_t delivered_tokens_ = 0;
  std::string delivered_text_;
  std::string finish_reason_;
  int fruitless_attempts_ = 0;  // refused or not connected
};

}  // namespace cartsail
