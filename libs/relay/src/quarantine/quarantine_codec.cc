#include "quarantine/quarantine_codec.h"

#include "wire/host_number.h"
#include "wire/wire_number.h"

namespace cartsail {

void EncodeStrikes(const StrikeReport& report, TimePoint now, wire::Datagram::Builder root) {
  auto strikes = root.initStrikes(static_cast<unsigned>(report.strikes.size()));
  for (unsigned i = 0; i < strikes.size(); ++i) {
    strikes[i].setRequest(report.strikes[i].request);
    strikes[i].setBackend(report.strikes[i].backend);
    strikes[i].setAgeMs(BoundedTo<uint32_t>(ToMillis(now - report.strikes[i].when)));
  }
}

StrikeReport DecodeStrikes(capnp::List<wire::Strike>::Reader strikes, TimePoint now) {
  StrikeReport report;
  for (const auto strike : strikes) {
    const TimePoint when = now - milliseconds(strike.getAgeMs());
    report.strikes.push_back({strike.getRequest(), strike.getBackend(), when});
  }
  return report;
}

void EncodeQuarantine(const QuarantineNotice& notice, wire::QuarantineNotice::Builder message) {
  auto entry = message.initEntry();
  entry.setRequest(notice.request);
  entry.setLifted(notice.is_lifted);
  entry.setLeftMs(BoundedTo<uint32_t>(ToMillis(notice.left)));
  entry.setFirstStrikeAgeMs(BoundedTo<uint32_t>(ToMillis(notice.first_strike_age)));
  auto backends = entry.initBackends(static_cast<unsigned>(notice.backends.size()));
  for (unsigned i = 0; i < backends.size(); ++i) backends.set(i, notice.backends[i]);
  auto targets = message.initTargets(static_cast<unsigned>(notice.targets.size()));
  for (unsigned i = 0; i < targets.size(); ++i) targets.set(i, HostNumber(notice.targets[i]));
}

QuarantineNotice DecodeQuarantine(wire::QuarantineNotice::Reader message) {
  QuarantineNotice notice;
  const auto entry = message.getEntry();
  notice.request = entry.getRequest();
  notice.is_lifted = entry.getLifted();
  notice.left = milliseconds(entry.getLeftMs());
  notice.first_strike_age = milliseconds(entry.getFirstStrikeAgeMs());
  for (const uint32_t backend : entry.getBackends()) notice.backends.push_back(backend);
  for (const uint32_t host : message.getTargets()) notice.targets.push_back(HostText(host));
  return notice;
}

void EncodeQuarantinedList(const std::vector<QuarantinedRequest>& quarantined, TimePoint now,
                           capnp::List<wire::QuarantineEntry>::Builder list) {
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setRequest(quarantined[i].request);
    list[i].setLeftMs(BoundedTo<uint32_t>(ToMillis(quarantined[i].until - now)));
  }
}

std::vector<QuarantinedRequest> DecodeQuarantinedList(
    capnp::List<wire::QuarantineEntry>::Reader list, TimePoint now) {
  std::vector<QuarantinedRequest> quarantined;
  for (const auto entry : list) {
    quarantined.push_back({entry.getRequest(), now + milliseconds(entry.getLeftMs())});
  }
  return quarantined;
}

}  // namespace cartsail
