// The engine stand-in as a process: OpenAI chat completions with server-sent events over
// EngineModel, with the engines' extensions.
//
//   POST   /v1/chat/completions  X-Request-Id (an id runs once), X-Priority, X-Stream-Owner
//   GET    /v1/streams/ID?offset=N   resume; the later connection wins
//   DELETE /v1/streams/ID            cancel
//   GET    /load                     load report, lagging
//   POST   /admin/faults  {"speed", "leaving": bool, "crash": bool, "hang_accept": bool,
//                          "drop_before_reply": N, "drop_after_tokens": N, "refuse": bool}
//   GET    /admin/stats              what truly ran
//   GET    /admin/starts?seed=SEED   how often a prompt with this answer seed was started
//
// Answers are a function of the prompt, so a caller can check every token: token i of a prompt is
// ExpectedToken(seed, i).
#pragma once

#include <absl/status/status.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "cartsail/net/http_types.h"
#include "engine_model.h"

namespace cartsail::emulator {

struct EngineServerOptions {
  std::string id;
  Endpoint listen;
  EngineModelOptions model;
  double mean_output_tokens = 40;
  Duration resume_grace = seconds(10);  // a stream without a connection runs on for so long
  Duration load_report_lag = seconds(1);
};

class EngineServer {
 public:
  virtual ~EngineServer() = default;
  virtual absl::Status Start() = 0;
  // A planned stop: refuses new work; calls `done` when the last stream has ended.
  virtual void Drain(std::function<void()> done) = 0;
};

std::unique_ptr<EngineServer> MakeEngineServer(boost::asio::io_context& context,
                                               EngineServerOptions options);

// The seed of a prompt's answer: a hash of its user messages.
uint64_t AnswerSeed(std::string_view user_text);

// The text of token `index` of the answer with `seed`, with a trailing space.
std::string ExpectedToken(uint64_t seed, int64_t index);

}  // namespace cartsail::emulator
