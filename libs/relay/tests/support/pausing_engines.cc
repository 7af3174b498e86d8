#include "pausing_engines.h"

#include <fmt/format.h>

#include <algorithm>

namespace cartsail::testing {
namespace {

constexpr char kEngineHeader[] = "Cartsail-Expected-Instance";
constexpr char kEngineIdPrefix[] = "i-";
constexpr char kLastChunk[] = "0\r\n\r\n";

std::string IdOf(const std::string& request) { return HeaderOf(request, "Cartsail-Request-Id"); }

bool IsStream(const std::string& request) {
  const size_t target = request.find(' ') + 1;
  return request.compare(target, 8, "/stream/") == 0 || request.compare(target, 8, "/resume/") == 0;
}

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string StreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
         "Cartsail-Signature: s1\r\nCartsail-Request-Id: " +
         id + "\r\n\r\n";
}

}  // namespace

std::vector<std::string> EventsOf(const std::string& id, const StreamShape& shape) {
  std::vector<std::string> events;
  for (int i = 1; i <= shape.events; ++i) {
    events.push_back(fmt::format("id: {}\ndata: {} of {}\n\n", i, i, id));
  }
  return events;
}

std::string BodyOf(const std::string& id) { return "answer to " + id; }

PausingEngines::PausingEngines(int engines, const StreamShape& shape)
    : engines_(engines), shape_(shape) {}

StubAnswer PausingEngines::Answer(const std::string& request) {
  const std::string id = IdOf(request);
  const int engine = EngineOf(request);
  if (SendsStaleAnswers(engine) && !IsStream(request)) return AnswerAfterStale(request, engine);
  StubAnswer refusal;
  refusal.pieces = {SignedAnswer(request, "", 503, "Cartsail-Not-Run: 1\r\n")};
  if (Refuses(request)) return refusal;
  Begin(id, engine);
  if (IsStream(request)) return AnswerStream(request, engine);
  StubAnswer answer;
  answer.pieces = {SignedAnswer(request, BodyOf(id))};
  return answer;
}

bool PausingEngines::Refuses(const std::string& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return refuses_continuations_ && !HeaderOf(request, "Last-Event-ID").empty();
}

bool PausingEngines::SendsStaleAnswers(int engine) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stale_.contains(engine);
}

StubAnswer PausingEngines::AnswerAfterStale(const std::string& request, int engine) {
  const std::string id = IdOf(request);
  StubAnswer answer;
  answer.pieces = {SignedAnswer("Cartsail-Request-Id: stale\r\n", "stale"),
                   SignedAnswer(request, BodyOf(id))};
  answer.before_next = [this, id, engine] { Begin(id, engine); };
  return answer;
}

StubAnswer PausingEngines::AnswerStream(const std::string& request, int engine) {
  const std::string id = IdOf(request);
  const std::vector<std::string> events = EventsOf(id, shape_);
  const std::string last_id = HeaderOf(request, "Last-Event-ID");
  const size_t first = last_id.empty() ? 0 : std::stoul(last_id);
  StubAnswer answer;
  answer.pieces = {StreamHead(id)};
  for (size_t i = first; i < events.size(); ++i) {
    if (i > first) answer.pieces.emplace_back();
    answer.pieces.back() += Chunk(events[i]);
  }
  answer.pieces.back() += kLastChunk;
  answer.pause_ms = static_cast<int>(shape_.interval.count());
  const bool is_continuation = first > 0;
  answer.before_next = [this, engine, is_continuation, sent = 0]() mutable {
    if (is_continuation) NoteContinued(engine, ++sent);
    std::unique_lock<std::mutex> lock(mutex_);
    WaitWhilePaused(engine, lock);
  };
  return answer;
}

void PausingEngines::Pause(const std::set<int>& engines) {
  const std::lock_guard<std::mutex> lock(mutex_);
  paused_.insert(engines.begin(), engines.end());
}

void PausingEngines::PauseAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (int i = 0; i < engines_; ++i) paused_.insert(i);
}

void PausingEngines::Resume(int engine) {
  const std::lock_guard<std::mutex> lock(mutex_);
  paused_.erase(engine);
  changed_.notify_all();
}

void PausingEngines::ResumeAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  paused_.clear();
  changed_.notify_all();
}

void PausingEngines::PauseNextContinuation(int events) {
  const std::lock_guard<std::mutex> lock(mutex_);
  continuation_events_ = events;
  has_paused_continuation_ = false;
}

bool PausingEngines::HasPausedContinuation() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return has_paused_continuation_;
}

void PausingEngines::NoteContinued(int engine, int events) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (continuation_events_ == 0 || events < continuation_events_) return;
  continuation_events_ = 0;
  has_paused_continuation_ = true;
  paused_.insert(engine);
}

void PausingEngines::RefuseContinuations() {
  const std::lock_guard<std::mutex> lock(mutex_);
  refuses_continuations_ = true;
}

void PausingEngines::SendStaleAnswers(int engine) {
  const std::lock_guard<std::mutex> lock(mutex_);
  stale_.insert(engine);
}

void PausingEngines::End() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ended_ = true;
  changed_.notify_all();
}

int PausingEngines::RunsOf(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto runs = runs_.find(id);
  return runs == runs_.end() ? 0 : runs->second;
}

int PausingEngines::HeldUp() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return held_up_;
}

int PausingEngines::BusiestEngine() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<int> requests(static_cast<size_t>(engines_));
  for (const auto& [id, engine] : last_engine_) ++requests[static_cast<size_t>(engine)];
  return static_cast<int>(std::max_element(requests.begin(), requests.end()) - requests.begin());
}

int PausingEngines::EngineOf(const std::string& request) const {
  const std::string id = HeaderOf(request, kEngineHeader);
  return std::stoi(id.substr(sizeof(kEngineIdPrefix) - 1)) - 1;
}

void PausingEngines::Begin(const std::string& id, int engine) {
  std::unique_lock<std::mutex> lock(mutex_);
  WaitWhilePaused(engine, lock);
  ++runs_[id];
  last_engine_[id] = engine;
}

void PausingEngines::WaitWhilePaused(int engine, std::unique_lock<std::mutex>& lock) {
  ++held_up_;
  changed_.wait(lock, [this, engine] { return ended_ || !paused_.contains(engine); });
  --held_up_;
}

}  // namespace cartsail::testing
