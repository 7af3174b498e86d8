#include "support/caller_view.h"

#include "support/relay_fixture.h"
#include "support/stub_backend.h"

namespace cartsail::testing {
namespace {

// Adds the chunks of `bytes` to the body; true when the last chunk came.
bool ReadChunks(const std::string& bytes, std::string* body) {
  size_t at = 0;
  while (true) {
    const size_t line_end = bytes.find("\r\n", at);
    if (line_end == std::string::npos) return false;
    const size_t size = std::stoul(bytes.substr(at, line_end - at), nullptr, 16);
    at = line_end + 2;
    if (size == 0) return bytes.compare(at, 2, "\r\n") == 0;
    body->append(bytes, at, size);
    if (bytes.size() < at + size + 2) return false;
    at += size + 2;
  }
}

}  // namespace

CallerView ReadAsCaller(const std::string& bytes) {
  CallerView view;
  const size_t head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) return view;
  view.status = std::stoi(bytes.substr(bytes.find(' ') + 1, 3));
  const std::string rest = bytes.substr(head_end + 4);
  const std::string length = HeaderOf(bytes, "Content-Length");
  if (HeaderOf(bytes, "Transfer-Encoding") == "chunked") {
    view.whole = ReadChunks(rest, &view.body);
    return view;
  }
  view.body = rest;
  view.whole = length.empty() || rest.size() == std::stoul(length);
  return view;
}

CallerView AskAsCaller(int port, const std::string& request) {
  Client client(port);
  client.Send(request);
  const std::string never = "\x01";
  CallerView view = ReadAsCaller(client.ReadUntil(never));
  view.closed = client.ClosesWithin(1000);
  return view;
}

}  // namespace cartsail::testing
