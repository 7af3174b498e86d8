// The back ends that are known to exist, as discovery tells them. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cartsail {

enum class BackendState {
  kReady,
  kLeaving,  // takes no new request
};

// One start of one back end. Another start has another id, also at the same address.
struct Backend {
  std::string id;
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  int64_t slots = 1;  // requests that it runs at once
  BackendState state = BackendState::kReady;
  int64_t created_revision = 0;  // of its entry in the store: orders two entries with one address
};

class BackendRegistry {
 public:
  // The whole list, as read at one moment: back ends that are not in it are gone.
  void ReplaceAll(std::vector<Backend> backends);

  // One entry was written. A back end that was marked as leaving stays so.
  void Put(Backend backend);

  // The entry is gone: so is the back end.
  void Remove(std::string_view id);

  // Told by the back end or by another node. Unknown ids are ignored.
  void MarkLeaving(std::string_view id);

  const Backend* Find(std::string_view id) const;

  // The ready ones of `service`, in the order of their ids. Of two with one address only the one
  // that was created last counts.
  std::vector<const Backend*> ReadyOf(std::string_view service) const;

  // Ids of all that are leaving, in order.
  std::vector<std::string> LeavingIds() const;

  size_t Size() const { return backends_.size(); }

 private:
  std::map<std::string, Backend, std::less<>> backends_;
};

}  // namespace cartsail
