#include "fleet/traffic_log.h"

#include <string>

#include "cartsail/base/log.h"

namespace cartsail {
namespace {

TrafficSent TotalsOf(const Counters& counters) {
  TrafficSent totals;
  totals.gossip = counters.peer_gossip_bytes_sent_total.Get();
  totals.digest = counters.peer_digest_bytes_sent_total.Get();
  totals.placement = counters.peer_placement_bytes_sent_total.Get();
  totals.document = counters.peer_document_bytes_sent_total.Get();
  totals.update = counters.peer_update_bytes_sent_total.Get();
  totals.far = counters.peer_far_bytes_sent_total.Get();
  totals.catalog = counters.catalog_bytes_sent_total.Get();
  totals.fetches = counters.catalog_fetches_total.Get();
  return totals;
}

}  // namespace

TrafficSent operator-(const TrafficSent& total, const TrafficSent& before) {
  TrafficSent sent;
  sent.gossip = total.gossip - before.gossip;
  sent.digest = total.digest - before.digest;
  sent.placement = total.placement - before.placement;
  sent.document = total.document - before.document;
  sent.update = total.update - before.update;
  sent.far = total.far - before.far;
  sent.catalog = total.catalog - before.catalog;
  sent.fetches = total.fetches - before.fetches;
  return sent;
}

std::optional<TrafficSent> TrafficLog::Take(const Counters& counters, TimePoint now) {
  if (now - since_ < kInterval) return std::nullopt;
  const TrafficSent totals = TotalsOf(counters);
  const TrafficSent sent = totals - last_;
  since_ = now;
  last_ = totals;
  if (sent == TrafficSent()) return std::nullopt;
  return sent;
}

void LogTraffic(const TrafficSent& sent) {
  Log(LogLevel::kInfo, "traffic",
      {{"gossip", std::to_string(sent.gossip)},
       {"digest", std::to_string(sent.digest)},
       {"placement", std::to_string(sent.placement)},
       {"document", std::to_string(sent.document)},
       {"update", std::to_string(sent.update)},
       {"far", std::to_string(sent.far)},
       {"catalog", std::to_string(sent.catalog)},
       {"fetches", std::to_string(sent.fetches)}});
}

}  // namespace cartsail
