#include "relay_context.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/counters.h"

namespace cartsail {

namespace asio = boost::asio;

void RelayContext::UpdateVerification(TimePoint now) {
  PeerVerification::OwnState own;
  own.view.catalog_revision = backend_list.revision;
  own.view.document_version = routing.Version();
  own.confirmed = std::min(backend_list.confirmed, routing.Confirmed());
  own.live_peers = peers.LiveCount();
  verification.Update(own, now);
}

bool RelayContext::MustWaitForNews(TimePoint now) {
  // Counting the live peers takes a while, and is rarely needed.
  if (!verification.IsTooOld(now)) return false;
  UpdateVerification(now);
  return verification.MustWait(now);
}

asio::awaitable<void> RelayContext::WaitForNews() {
  if (!MustWaitForNews(Now())) co_return;
  GlobalCounters().waits_for_news_total.Add();
  while (MustWaitForNews(Now())) {
    boost::system::error_code ignored;
    co_await news.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void RelayContext::WakeWaiting(TimePoint now) {
  if (!MustWaitForNews(now)) news.cancel();
}

}  // namespace cartsail
