// A connection that its peer reset is never read as ended in order, whichever call was told of it.
#include "cartsail/net/timed_stream.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "testing/criterion.h"
#include "testing/loopback.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;
using boost::beast::error_code;

constexpr char kSent[] = "some bytes";

// One connection over loopback, of which the far end is a plain socket.
class Connection {
 public:
  Connection() : stream(io.get_executor()) {
    const testing::LoopbackListener listener = testing::ListenOnLoopback();
    const TimedStream::Endpoint endpoint(asio::ip::address_v4::loopback(), listener.port);
    stream.async_connect(endpoint, [this](const error_code& error) { connected = !error; });
    far = accept(listener.socket, nullptr, nullptr);
    close(listener.socket);
    Run();
    cr_assert(connected);
  }

  ~Connection() {
    if (far >= 0) close(far);
  }

  void Send() const { (void)send(far, kSent, sizeof(kSent) - 1, MSG_NOSIGNAL); }

  // Ends the connection and waits until the near end has been told.
  void Reset() {
    const linger now{1, 0};
    setsockopt(far, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    CloseFar();
    AwaitEvent(POLLHUP);
  }
  void CloseInOrder() {
    CloseFar();
    AwaitEvent(POLLRDHUP);
  }

  error_code Write(const std::string& bytes) {
    error_code result;
    asio::async_write(stream, asio::buffer(bytes),
                      [&result](const error_code& error, size_t) { result = error; });
    Run();
    return result;
  }

  // Reads until an error, and returns it.
  error_code ReadToEnd() {
    error_code result;
    while (!result) {
      stream.async_read_some(asio::buffer(buffer), [&](const error_code& error, size_t bytes) {
        result = error;
        received.append(buffer.data(), bytes);
      });
      Run();
    }
    return result;
  }

  void Run() {
    io.restart();
    io.run();
  }

  asio::io_context io;
  TimedStream stream;
  int far = -1;
  bool connected = false;
  std::array<char, 4> buffer{};
  std::string received;

 private:
  void CloseFar() {
    close(far);
    far = -1;
  }

  void AwaitEvent(short events) {
    pollfd near{stream.socket().native_handle(), events, 0};
    cr_assert(poll(&near, 1, 5000) == 1);
  }
};

Test(timed_stream, a_reset_that_a_write_was_told_of) {
  Connection connection;
  connection.Send();
  connection.Reset();
  cr_assert(connection.Write("x") == asio::error::connection_reset);
  cr_expect(connection.ReadToEnd() == asio::error::connection_reset);
  cr_expect(connection.received == kSent);
}

// A write that waits for room is told before the read that waits for data.
Test(timed_stream, a_reset_that_a_waiting_write_was_told_of) {
  Connection connection;
  const std::string upload(64 << 20, 'x');
  error_code written;
  error_code read;
  asio::async_write(connection.stream, asio::buffer(upload),
                    [&written](const error_code& error, size_t) { written = error; });
  connection.stream.async_read_some(asio::buffer(connection.buffer),
                                    [&read](const error_code& error, size_t) { read = error; });
  connection.io.restart();
  connection.io.run_for(std::chrono::milliseconds(100));
  cr_assert(!written && !read);
  connection.Reset();
  connection.Run();
  cr_assert(written == asio::error::connection_reset);
  cr_expect(read == asio::error::connection_reset);
}

Test(timed_stream, a_reset_that_a_read_was_told_of) {
  Connection connection;
  connection.Reset();
  cr_assert(connection.ReadToEnd() == asio::error::connection_reset);
  cr_expect(connection.ReadToEnd() == asio::error::connection_reset);
}

Test(timed_stream, a_reset_that_a_look_was_told_of) {
  Connection connection;
  char byte = 0;
  cr_assert(!connection.stream.Peek(asio::buffer(&byte, 1)).has_value());
  connection.Reset();
  cr_assert(connection.stream.Peek(asio::buffer(&byte, 1)) == 0);
  cr_expect(connection.ReadToEnd() == asio::error::connection_reset);
}

Test(timed_stream, a_reset_that_a_write_without_waiting_was_told_of) {
  Connection connection;
  cr_assert(connection.stream.WriteNow(asio::buffer("x", 1)) == 1);
  connection.Send();
  connection.Reset();
  cr_assert(connection.stream.WriteNow(asio::buffer("x", 1)) == 0);
  char byte = 0;
  cr_assert(connection.stream.Peek(asio::buffer(&byte, 1)) == 1 && byte == kSent[0]);
  cr_expect(connection.ReadToEnd() == asio::error::connection_reset);
  cr_expect(connection.received == kSent);
}

Test(timed_stream, an_end_in_order_is_no_reset) {
  Connection connection;
  connection.Send();
  connection.CloseInOrder();
  // The far end refuses what comes after its end.
  (void)connection.Write("x");
  (void)connection.Write("x");
  cr_expect(connection.ReadToEnd() == asio::error::eof);
  cr_expect(connection.received == kSent);
}

}  // namespace
}  // namespace cartsail
