// Byte stream of an exchange with a back end: raw on a direct connection, unframed on a bridge.
// Meets the Asio requirements of asynchronous streams, so that code that reads responses is the
// same for both.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/buffers_prefix.hpp>
#include <boost/beast/core/error.hpp>
#include <utility>

#include "cartsail/net/timed_stream.h"
#include "upstream/bridge_message.h"

namespace cartsail {

class UpstreamStream {
 public:
  using executor_type = TimedStream::executor_type;

  explicit UpstreamStream(const executor_type& executor) : transport_(executor) {}

  executor_type get_executor() { return transport_.get_executor(); }

  // The underlying connection, to the back end or to the bridging node.
  TimedStream& Transport() { return transport_; }

  // Switches reading to bridge frames.
  void ReadFrames() { is_framed_ = true; }
  bool IsFramed() const { return is_framed_; }

  // The kind of the frame that ended the response; kData if none has.
  FrameKind EndedBy() const { return ended_by_; }

  template <typename Buffers, typename Token>
  auto async_read_some(const Buffers& buffers, Token&& token) {
    return boost::asio::async_compose<Token, void(boost::beast::error_code, size_t)>(
        Read<Buffers>{this, buffers}, token, transport_.socket());
  }

  template <typename Buffers, typename Token>
  auto async_write_some(const Buffers& buffers, Token&& token) {
    return transport_.async_write_some(buffers, std::forward<Token>(token));
  }

 private:
  // Reads a frame head if no frame is in progress, then part of its payload.
  template <typename Buffers>
  struct Read {
    UpstreamStream* stream;
    Buffers buffers;
    enum class Step { kStart, kHead, kData } step = Step::kStart;

    template <typename Self>
    void operator()(Self& self, boost::beast::error_code error = {}, size_t bytes = 0) {
      if (step == Step::kStart) return Start(self);
      if (error) return self.complete(stream->ErrorOfReading(error), 0);
      if (step == Step::kData) {
        if (stream->is_framed_) stream->left_ -= bytes;
        return self.complete(error, bytes);
      }
      stream->head_read_ += bytes;
      if (stream->head_read_ < kFrameHeadBytes) return ReadHead(self);
      error = stream->TakeHead();
      if (error) return self.complete(error, 0);
      Start(self);
    }

    template <typename Self>
    void Start(Self& self) {
      if (!stream->is_framed_) {
        step = Step::kData;
        return stream->transport_.async_read_some(buffers, std::move(self));
      }
      if (stream->left_ == 0) return ReadHead(self);
      step = Step::kData;
      const auto some = boost::beast::buffers_prefix(stream->left_, buffers);
      stream->transport_.async_read_some(some, std::move(self));
    }

    template <typename Self>
    void ReadHead(Self& self) {
      step = Step::kHead;
      const auto rest = boost::asio::buffer(stream->head_) + stream->head_read_;
      stream->transport_.async_read_some(boost::asio::buffer(rest), std::move(self));
    }
  };

  // Only a frame reports that the back end closed its connection. End-of-file on the bridge comes
  // from the bridging node, and the reader would mistake it for the end of the response.
  boost::beast::error_code ErrorOfReading(const boost::beast::error_code& error) const {
    if (is_framed_ && error == boost::asio::error::eof)
      return boost::asio::error::connection_aborted;
    return error;
  }

  boost::beast::error_code TakeHead() {
    head_read_ = 0;
    const std::optional<FrameHead> head = DecodeFrameHead(head_);
    if (!head.has_value()) return boost::asio::error::connection_aborted;
    left_ = head->bytes;
    ended_by_ = head->kind;
    if (head->kind == FrameKind::kData) return {};
    if (head->kind == FrameKind::kEnd) return boost::asio::error::eof;
    return boost::asio::error::connection_reset;
  }

  TimedStream transport_;
  bool is_framed_ = false;
  std::array<char, kFrameHeadBytes> head_{};
  size_t head_read_ = 0;
  size_t left_ = 0;  // unread payload bytes of the current frame
  FrameKind ended_by_ = FrameKind::kData;
};

}  // namespace cartsail
