// Asks back ends that were lost how long they stay cold, at the node that grants requests to cold
// ones. While one is held for cold most requests go elsewhere, so that none of them may tell for
// seconds that it never started again. One thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

#include "cartsail/net/http_types.h"
#include "relay_context.h"

namespace cartsail {

// How long the back end `id` says that it stays cold, in its answer at its health path. Nothing
// when another one answers, when it turns the question away like a request, or when the time can't
// be read.
std::optional<Duration> ColdLeftIn(const HttpResponse& response, std::string_view id,
                                   const WireNames& names);

class WarmthInquiry {
 public:
  explicit WarmthInquiry(RelayContext& context) : context_(context) {}

  // Runs until the process ends.
  void Start();

 private:
  boost::asio::awaitable<void> Watch();
  boost::asio::awaitable<void> Ask(Backend backend, std::string path);
  void AskDue(TimePoint now);

  RelayContext& context_;
  size_t asking_ = 0;
};

}  // namespace cartsail
