#include "upstream/upstream_pool.h"

#include <utility>

namespace cartsail {
std::shared_ptr<UpstreamConnection> UpstreamPool::TakeIdle(BackendKey backend, TimePoint now,
                                                           const MayUse& may_use) {
  const auto idle = idle_.find(backend);
  if (idle == idle_.end()) return nullptr;
  auto& connections = idle->second;
  for (size_t i = connections.size(); i-- > 0;) {
    if (!may_use(*connections[i])) continue;
    std::shared_ptr<UpstreamConnection> connection = std::move(connections[i]);
    connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
    connection->EndIdleWatch();
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
  connection->WatchIdle();
  idle.push_back(std::move(connection));
}

void UpstreamPool::Keep(BackendKey backend, std::shared_ptr<UpstreamConnection> connection,
                        TimePoint now) {
  connection->NoteIdle(now);
  connection->WatchIdle();
  idle_[backend].push_back(std::move(connection));
}

void UpstreamPool::CloseIdle(BackendKey backend) {
  const auto idle = idle_.find(backend);
  if (idle == idle_.end()) return;
  for (const std::shared_ptr<UpstreamConnection>& connection : idle->second) connection->Close();
  idle_.erase(idle);
}

void UpstreamPool::CloseOwn() {
  for (auto& [backend, connections] : idle_) {
    std::erase_if(connections, [](const std::shared_ptr<UpstreamConnection>& connection) {
      if (!connection->Over().empty()) return false;
      connection->Close();
      return true;
    });
  }
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
