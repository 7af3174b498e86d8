// How the dispatcher keeps cold back ends from more requests than they bear.
#include <algorithm>

#include "cartsail/dispatch/dispatcher.h"

namespace cartsail {
namespace {

// A node without the right cannot tell when a window opens. By then the caller may reach a node
// that can, or a coordinator has taken over.
constexpr Duration kRetryWithoutRight = milliseconds(500);

}  // namespace

std::optional<ColdSpell> Dispatcher::SpellOf(const Backend& backend, TimePoint now) const {
  const ServiceWarmUp* warm_up = cold_.RuleOf(backend.service);
  if (warm_up == nullptr) return std::nullopt;
  return cold_.SpellOf(backend, *warm_up, registry_.Drains(), now);
}

// 0: it is warm, or may get a request now.
Duration Dispatcher::WaitForCold(const Backend& backend, const ServiceWarmUp& warm_up,
                                 TimePoint now, ColdRight right) const {
  const std::optional<ColdSpell> spell = cold_.SpellOf(backend, warm_up, registry_.Drains(), now);
  if (!spell.has_value()) return Duration(0);
  const Duration left = spell->until - now;
  if (right == ColdRight::kNo) return std::min<Duration>(left, kRetryWithoutRight);
  return std::min(left, cold_grants_.WaitFor(backend.key, warm_up.grants, now));
}

// Known by its entry or its zone. What nodes saw lost differs from node to node, and the
// coordinator hears most of it.
bool Dispatcher::IsToldCold(const Backend& backend, TimePoint now) const {
  const ServiceWarmUp* warm_up = cold_.RuleOf(backend.service);
  if (warm_up == nullptr) return false;
  return cold_.ToldSpellOf(backend, *warm_up, registry_.Drains(), now).has_value();
}

bool Dispatcher::MaySend(const Placement& placement, const RequestProfile& profile,
                         TimePoint now) const {
  if (!MayReceive(placement.backend.key, profile, now)) return false;
  if (placement.send_by.has_value()) return now <= *placement.send_by;
  const Backend* known = registry_.FindByKey(placement.backend.key);
  return !IsToldCold(*known, now);
}

// Each choice of a cold back end is a grant, which holds for a short time.
void Dispatcher::NoteCold(Placement* placement, TimePoint now) {
  if (!SpellOf(placement->backend, now).has_value()) return;
  cold_grants_.NoteGrant(placement->backend.key, now);
  placement->send_by = now + kColdGrantHolds;
}

std::optional<Duration> Dispatcher::ColdWait(const RequestProfile& profile,
                                             const std::vector<BackendKey>& tried, TimePoint now,
                                             ColdRight right) {
  const PlacementView view = View({"", zone_, {}}, profile, tried, now, right);
  return view.candidates.empty() ? view.cold_wait : std::nullopt;
}

std::vector<ColdBackEnd> Dispatcher::ColdOf(const std::string& service, TimePoint now) const {
  std::vector<ColdBackEnd> cold;
  for (const Backend* backend : registry_.ReadyOf(service)) {
    const std::optional<ColdSpell> spell = SpellOf(*backend, now);
    if (spell.has_value()) cold.push_back({*backend, *spell});
  }
  return cold;
}

}  // namespace cartsail
