#include "request/upstream_pool.h"

#include <utility>

namespace cartsail {
std::shared_ptr<UpstreamConnection> UpstreamPool::TakeIdle(BackendKey backend, TimePoint now) {
  const auto idle = idle_.find(backend);
  if (idle == idle_.end()) return nullptr;
  while (!idle->second.empty()) {
    std::shared_ptr<UpstreamConnection> connection = std::move(idle->second.back());
    idle->second.pop_back();
    if (now < connection->UsableUntil() && connection->IsQuiet()) return connection;
    connection->Close();
  }
  return nullptr;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::MakeNew() {
  return std::make_shared<UpstreamConnection>(executor_);
}

void UpstreamPool::Return(BackendKey backend, std::shared_ptr<UpstreamConnection> connection) {
  std::vector<std::shared_ptr<UpstreamConnection>>& idle = idle_[backend];
  if (!connection->IsReusable() || idle.size() >= most_idle_(backend)) {
    connection->Close();
    return;
  }
  idle.push_back(std::move(connection));
}

void UpstreamPool::Keep(BackendKey backend, std::shared_ptr<UpstreamConnection> connection,
                        TimePoint now) {
  connection->NoteIdle(now);
  idle_[backend].push_back(std::move(connection));
}

void UpstreamPool::CloseIdle(BackendKey backend) {
  const auto idle = idle_.find(backend);
  if (idle == idle_.end()) return;
  for (const std::shared_ptr<UpstreamConnection>& connection : idle->second) connection->Close();
  idle_.erase(idle);
}

std::vector<BackendKey> UpstreamPool::Connected(size_t most) const {
  std::vector<BackendKey> keys;
  for (const auto& [backend, connections] : idle_) {
    if (keys.size() >= most) break;
    if (!connections.empty()) keys.push_back(backend);
  }
  return keys;
}

void UpstreamPool::Sweep(TimePoint now) {
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [now](const std::shared_ptr<UpstreamConnection>& connection) {
      if (now < connection->UsableUntil() && connection->IsQuiet()) return false;
      connection->Close();
      return true;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace cartsail
