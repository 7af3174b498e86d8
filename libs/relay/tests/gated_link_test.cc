// The links of the tests of paths behave as a network does.
#include "support/gated_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "testing/criterion.h"

namespace cartsail::testing {
namespace {

sockaddr_in AddressOf(const GatedLink& link) {
  const std::string text = link.Address();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(std::stoi(text.substr(text.find(':') + 1))));
  return address;
}

// Whether another process, were it to ask for it, would get the link's port.
bool IsPortFree(const GatedLink& link) {
  const sockaddr_in address = AddressOf(link);
  const int other = socket(AF_INET, SOCK_STREAM, 0);
  const int bound = bind(other, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  close(other);
  return bound == 0;
}

bool IsRefused(const GatedLink& link) {
  const sockaddr_in address = AddressOf(link);
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  const int connected =
      connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const bool refused = connected < 0 && errno == ECONNREFUSED;
  close(client);
  return refused;
}

Test(gated_link, a_link_that_refuses_keeps_its_port_from_others) {
  LinkThread thread;
  GatedLink link(thread, "127.0.0.1:9");
  for (const PathState state : {PathState::kRefused, PathState::kOldOnly, PathState::kRefused}) {
    link.Set(state);
    cr_assert(IsRefused(link));
    cr_assert(!IsPortFree(link));
    link.Set(PathState::kWell);
    cr_assert(!IsRefused(link));
  }
}

}  // namespace
}  // namespace cartsail::testing
