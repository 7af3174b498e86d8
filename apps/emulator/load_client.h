// One caller: asks, reads the answer, checks every token, and resumes a cut stream elsewhere.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "cartsail/net/http_types.h"
#include "measures.h"

namespace cartsail::emulator {

struct CallerRequest {
  std::vector<Endpoint> targets;  // the first is asked; a cut stream is resumed at the next ones
  std::string api_key;
  std::string service;
  std::string class_name;
  std::string model;
  std::string prompt;
  int64_t output_tokens = 0;  // hidden length, for the engine stand-in
  std::string idempotency_key;
  bool stream = true;
  int max_resumes = 3;
  Duration timeout = seconds(120);   // of silence
  int64_t hang_up_after_tokens = 0;  // > 0: the caller disconnects after so many tokens
  Duration ttft_target = seconds(1);
};

struct CallerResult {
  RequestResult result;
  int http_status = 0;
  std::string body;    // of a response that is no stream
  std::string stream;  // the last stream id seen
};

boost::asio::awaitable<CallerResult> AskOnce(boost::asio::any_io_executor executor,
                                             CallerRequest request);

}  // namespace cartsail::emulator
