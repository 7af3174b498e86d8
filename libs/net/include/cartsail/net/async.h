// Awaiting a callback: bridges callback-style calls on another thread into a coroutine.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace cartsail {

namespace asio = boost::asio;

// Starts the operation when the awaiting coroutine has been suspended.
template <typename T>
struct CallbackInitiation {
  std::function<void(std::function<void(T)>)> start;

  template <typename Handler>
  void operator()(Handler handler) {
    auto shared = std::make_shared<Handler>(std::move(handler));
    start([shared](T value) {
      auto executor = asio::get_associated_executor(*shared);
      asio::post(executor, [shared, value = std::move(value)]() mutable {
        Handler completed = std::move(*shared);
        std::move(completed)(std::move(value));
      });
    });
  }
};

// Calls `start` with a completion function; resumes with the value that the function is called
// with, on the awaiting coroutine's executor. The function may be called from any thread, once.
//
// Not a coroutine itself: GCC 12 destroys closures and aggregates twice that are temporaries of a
// co_await expression (GCC PR 99576), so none may stand there.
template <typename T>
asio::awaitable<T> AwaitCallback(std::function<void(std::function<void(T)>)> start) {
  CallbackInitiation<T> initiation{std::move(start)};
  return asio::async_initiate<const asio::use_awaitable_t<>, void(T)>(std::move(initiation),
                                                                      asio::use_awaitable);
}

}  // namespace cartsail
