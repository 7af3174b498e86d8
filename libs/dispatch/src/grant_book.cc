#include "cartsail/dispatch/grant_book.h"

#include <algorithm>
#include <iterator>

namespace cartsail {

PlacementGrant GrantOf(const Placement& placement) {
  PlacementGrant grant;
  grant.backend = placement.backend.key;
  grant.fetch_prefix_from = placement.fetch_prefix_key;
  grant.expected_loss = placement.expected_loss;
  grant.prefill_ms = placement.prefill_ms;
  grant.first_output_ms = placement.first_output_ms;
  grant.held_tokens = placement.held_tokens;
  grant.candidates = placement.candidates;
  grant.load_requests = placement.load.requests;
  grant.is_metered = placement.send_by.has_value();
  return grant;
}

const OutstandingGrant* GrantBook::Find(const std::string& node, PlacementQueryId query) const {
  const auto grants = nodes_.find(node);
  if (grants == nodes_.end()) return nullptr;
  const auto grant = grants->second.grants.find(query);
  return grant == grants->second.grants.end() ? nullptr : &grant->second;
}

void GrantBook::Add(const std::string& node, PlacementQueryId query,
                    const OutstandingGrant& grant) {
  nodes_[node].grants[query] = grant;
}

std::optional<PlacementTicket> GrantBook::Take(const std::string& node, PlacementQueryId query) {
  const auto grants = nodes_.find(node);
  if (grants == nodes_.end()) return std::nullopt;
  const auto grant = grants->second.grants.find(query);
  if (grant == grants->second.grants.end()) return std::nullopt;
  const PlacementTicket ticket = grant->second.ticket;
  grants->second.grants.erase(grant);
  return ticket;
}

std::vector<PlacementTicket> GrantBook::Reconcile(const std::string& node,
                                                  const std::vector<PlacementQueryId>& live,
                                                  TimePoint now) {
  std::vector<PlacementTicket> ended;
  const auto entry = nodes_.find(node);
  if (entry == nodes_.end()) return ended;
  auto& grants = entry->second.grants;
  for (auto grant = grants.begin(); grant != grants.end();) {
    const bool is_new = now - grant->second.granted < kGraceForNew;
    const bool is_live = std::find(live.begin(), live.end(), grant->first) != live.end();
    if (is_new || is_live) {
      ++grant;
      continue;
    }
    ended.push_back(grant->second.ticket);
    grant = grants.erase(grant);
  }
  return ended;
}

void GrantBook::Heard(const std::string& node, TimePoint now) { nodes_[node].heard = now; }

std::vector<PlacementTicket> GrantBook::TakeFromSilentNodes(TimePoint now) {
  std::vector<PlacementTicket> ended;
  for (auto entry = nodes_.begin(); entry != nodes_.end();) {
    if (now - entry->second.heard < kSilence) {
      ++entry;
      continue;
    }
    for (const auto& [query, grant] : entry->second.grants) ended.push_back(grant.ticket);
    entry = nodes_.erase(entry);
  }
  return ended;
}

size_t GrantBook::Size() const {
  size_t size = 0;
  for (const auto& [node, grants] : nodes_) size += grants.grants.size();
  return size;
}

}  // namespace cartsail
