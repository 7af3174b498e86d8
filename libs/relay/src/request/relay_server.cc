#include "request/relay_server.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/timer.h"
#include "request/exchange.h"
#include "request/memory_budget.h"
#include "request/message_head.h"
#include "request/retry_after.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kBacklog = 1024;
// Stalled answers are aborted after one second (MemoryBudget).
constexpr Duration kRetryAfterNoMemory = seconds(1);
// Pause after a failed accept, e.g. for lack of file descriptors.
constexpr Duration kAcceptRetryDelay = milliseconds(50);

}  // namespace

RelayServer::RelayServer(RelayContext& context) : context_(context), acceptor_(context.io) {}

absl::Status RelayServer::Start() {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(context_.options.listen.host, error);
  if (error) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        fmt::format("listen address '{}' is not an IP address", context_.options.listen.host));
  }
  const tcp::endpoint endpoint(ip, context_.options.listen.port);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (error) {
    return MakeError(ErrorKind::kInvalidArgument,
                     fmt::format("cannot listen on {}: {}", context_.options.listen.ToString(),
                                 error.message()));
  }
  port_ = acceptor_.local_endpoint().port();
  asio::co_spawn(context_.io, Accept(), asio::detached);
  return absl::OkStatus();
}

asio::awaitable<void> RelayServer::Accept() {
  while (acceptor_.is_open()) {
    boost::system::error_code error;
    tcp::socket socket(context_.io);
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (!acceptor_.is_open()) co_return;
    if (error) {
      Timer pause(context_.io, kAcceptRetryDelay);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    asio::co_spawn(context_.io, Serve(std::make_shared<CallerConnection>(std::move(socket))),
                   asio::detached);
  }
}

asio::awaitable<void> RelayServer::Serve(std::shared_ptr<CallerConnection> caller) {
  callers_.insert(caller);
  bool open = true;
  while (open) {
    const auto table = context_.routing.Table();
    const RequestLimits limits = table == nullptr ? RequestLimits() : table->Limits();
    const auto memory = std::make_shared<RequestMemory>(context_.request_memory);
    int64_t reserved = 0;
    const std::function<bool(int64_t)> has_room = [&memory, &reserved](int64_t body_bytes) {
      reserved = body_bytes;
      return memory->Reserve(body_bytes, Now());
    };
    ReadRequestResult result = co_await caller->ReadRequest(limits, has_room);
    if (!result.request.has_value()) {
      if (result.fault.has_value()) co_await AnswerFault(*caller, *result.fault);
      break;
    }
    // For a body in chunks the largest allowed size was reserved.
    memory->Free(reserved - static_cast<int64_t>(result.request->body->size()));
    const auto exchange =
        std::make_shared<Exchange>(context_, caller, memory, std::move(*result.request));
    open = co_await exchange->Run();
    // The answer may have begun before the drain, without a "Connection: close" header.
    if (context_.draining) open = false;
  }
  caller->Close();
  callers_.erase(caller);
}

asio::awaitable<void> RelayServer::AnswerFault(CallerConnection& caller, ErrorKind fault) {
  const int status = fault == ErrorKind::kTimeout ? 408 : HttpStatusFor(fault);
  GlobalCounters().requests_malformed_total.Add();
  Log(LogLevel::kWarning, "request_fault",
      {{"kind", std::string(ErrorKindName(fault))}, {"status", std::to_string(status)}});
  HttpHeaders headers{{"Content-Length", "0"}, {"Connection", "close"}};
  if (fault == ErrorKind::kOverloaded) {
    GlobalCounters().memory_refusals_total.Add();
    headers.push_back({"Retry-After", RetryAfterText(kRetryAfterNoMemory)});
  }
  if (co_await caller.Write(ResponseHeadText(status, "Refused", headers))) {
    co_await caller.CloseGracefully();
  }
}

void RelayServer::StopAccepting() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void RelayServer::CloseIdle() {
  for (const std::shared_ptr<CallerConnection>& caller : callers_) {
    if (caller->IsIdle()) caller->Close();
  }
}

}  // namespace cartsail
