#include "cartsail/dispatch/backend_registry.h"

#include <utility>

#include "cartsail/base/hash.h"

namespace cartsail {

BackendKey KeyOf(std::string_view backend_id) {
  return static_cast<BackendKey>(Hash64(backend_id));
}

void BackendRegistry::ReplaceAll(std::vector<Backend> backends) {
  std::map<std::string, Backend, std::less<>> before = std::move(backends_);
  backends_.clear();
  ids_.clear();
  ++changes_;
  for (Backend& backend : backends) {
    const auto known = before.find(backend.id);
    if (known != before.end() && known->second.state == BackendState::kLeaving) {
      backend.state = BackendState::kLeaving;
    }
    backend.key = KeyOf(backend.id);
    ids_[backend.key] = backend.id;
    const std::string id = backend.id;
    backends_[id] = std::move(backend);
  }
}

void BackendRegistry::Put(Backend backend) {
  Backend& entry = backends_[backend.id];
  if (entry.state == BackendState::kLeaving) backend.state = BackendState::kLeaving;
  backend.key = KeyOf(backend.id);
  ids_[backend.key] = backend.id;
  entry = std::move(backend);
  ++changes_;
}

void BackendRegistry::Remove(std::string_view id) {
  const auto entry = backends_.find(id);
  if (entry == backends_.end()) return;
  ids_.erase(entry->second.key);
  backends_.erase(entry);
  ++changes_;
}

void BackendRegistry::MarkLeaving(std::string_view id) {
  const auto entry = backends_.find(id);
  if (entry == backends_.end() || entry->second.state == BackendState::kLeaving) return;
  entry->second.state = BackendState::kLeaving;
  ++changes_;
}

const Backend* BackendRegistry::Find(std::string_view id) const {
  const auto entry = backends_.find(id);
  return entry == backends_.end() ? nullptr : &entry->second;
}

const Backend* BackendRegistry::FindByKey(BackendKey key) const {
  const auto id = ids_.find(key);
  return id == ids_.end() ? nullptr : Find(id->second);
}

std::vector<Backend> BackendRegistry::All() const {
  std::vector<Backend> all;
  all.reserve(backends_.size());
  for (const auto& [id, backend] : backends_) all.push_back(backend);
  return all;
}

std::vector<const Backend*> BackendRegistry::ReadyOf(std::string_view service) const {
  std::map<std::string_view, const Backend*> newest_at;
  for (const auto& [id, backend] : backends_) {
    const Backend*& newest = newest_at[backend.address];
    if (newest == nullptr || backend.created_revision > newest->created_revision) {
      newest = &backend;
    }
  }
  std::vector<const Backend*> ready;
  for (const auto& [id, backend] : backends_) {
    if (backend.service != service || backend.state != BackendState::kReady) continue;
    if (newest_at[backend.address] == &backend) ready.push_back(&backend);
  }
  return ready;
}

std::vector<BackendKey> BackendRegistry::Leaving() const {
  std::vector<BackendKey> leaving;
  for (const auto& [id, backend] : backends_) {
    if (backend.state == BackendState::kLeaving) leaving.push_back(backend.key);
  }
  return leaving;
}

}  // namespace cartsail
