#include "quarantine/quarantine_codec.h"

#include <algorithm>

#include "wire/host_number.h"
#include "wire/wire_number.h"

namespace cartsail {
namespace {

void FillNumbers(const std::vector<uint64_t>& numbers, capnp::List<uint64_t>::Builder list) {
  for (unsigned i = 0; i < list.size(); ++i) list.set(i, numbers[i]);
}

unsigned SizeOf(const std::vector<uint64_t>& numbers) {
  return static_cast<unsigned>(numbers.size());
}

// The parts of an entry that has none are left out, as earlier builds write it.
void FillParts(const std::vector<PartFingerprint>& parts, wire::QuarantineEntry::Builder entry) {
  if (!parts.empty()) FillNumbers(parts, entry.initParts(SizeOf(parts)));
}

// Only those of groups, which are compared with other groups.
void FillBackends(const QuarantinedRequest& quarantined, wire::QuarantineEntry::Builder entry) {
  if (quarantined.parts.empty() || quarantined.backends.empty()) return;
  auto list = entry.initBackends(static_cast<unsigned>(quarantined.backends.size()));
  for (unsigned i = 0; i < list.size(); ++i) list.set(i, quarantined.backends[i]);
}

std::vector<BackendKey> BackendsOf(capnp::List<uint32_t>::Reader list) {
  std::vector<BackendKey> backends;
  for (const BackendKey backend : list) backends.push_back(backend);
  return backends;
}

// Decodes a list from the network whose order the matching of parts relies on.
std::vector<PartFingerprint> SortedPartsOf(capnp::List<uint64_t>::Reader list) {
  std::vector<PartFingerprint> parts;
  for (const PartFingerprint part : list) parts.push_back(part);
  std::sort(parts.begin(), parts.end());
  return parts;
}

}  // namespace

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
    report.strikes.push_back({strike.getRequest(), strike.getBackend(), when, {}});
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
  FillParts(notice.parts, entry);
  entry.setExplained(notice.is_explained);
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
  notice.parts = SortedPartsOf(entry.getParts());
  notice.is_explained = entry.getExplained();
  return notice;
}

void EncodePartStrikes(const PartStrikes& strikes, TimePoint now,
                       wire::PartStrikes::Builder message) {
  const std::vector<PartFingerprint>& parts = strikes.in_flight.parts;
  message.setService(strikes.in_flight.service);
  message.setBackend(strikes.backend);
  message.setAgeMs(BoundedTo<uint32_t>(ToMillis(now - strikes.when)));
  FillNumbers(parts, message.initParts(SizeOf(parts)));
}

PartStrikes DecodePartStrikes(wire::PartStrikes::Reader message, TimePoint now) {
  PartStrikes strikes;
  strikes.backend = message.getBackend();
  strikes.when = now - milliseconds(message.getAgeMs());
  strikes.in_flight = {message.getService(), SortedPartsOf(message.getParts())};
  return strikes;
}

void EncodePartInquiry(const PartInquiry& inquiry, wire::PartInquiry::Builder message) {
  message.setService(inquiry.service);
  message.setFirstStrikeAgeMs(BoundedTo<uint32_t>(ToMillis(inquiry.first_strike_age)));
  FillNumbers(inquiry.parts, message.initParts(SizeOf(inquiry.parts)));
  auto targets = message.initTargets(static_cast<unsigned>(inquiry.targets.size()));
  for (unsigned i = 0; i < targets.size(); ++i) targets.set(i, HostNumber(inquiry.targets[i]));
}

PartInquiry DecodePartInquiry(wire::PartInquiry::Reader message) {
  PartInquiry inquiry;
  inquiry.service = message.getService();
  inquiry.first_strike_age = milliseconds(message.getFirstStrikeAgeMs());
  inquiry.parts = SortedPartsOf(message.getParts());
  for (const uint32_t host : message.getTargets()) inquiry.targets.push_back(HostText(host));
  return inquiry;
}

void EncodePartCompletions(const PartCompletions& completions,
                           wire::PartCompletions::Builder message) {
  message.setService(completions.service);
  const auto size = static_cast<unsigned>(completions.parts.size());
  auto parts = message.initParts(size);
  auto ages = message.initAgesMs(size);
  for (unsigned i = 0; i < size; ++i) {
    parts.set(i, completions.parts[i].part);
    ages.set(i, BoundedTo<uint32_t>(ToMillis(completions.parts[i].age)));
  }
}

PartCompletions DecodePartCompletions(wire::PartCompletions::Reader message) {
  PartCompletions completions;
  completions.service = message.getService();
  const auto parts = message.getParts();
  const auto ages = message.getAgesMs();
  const unsigned size = std::min(parts.size(), ages.size());
  for (unsigned i = 0; i < size; ++i) {
    completions.parts.push_back({parts[i], milliseconds(ages[i])});
  }
  return completions;
}

void EncodeQuarantinedList(const std::vector<QuarantinedRequest>& quarantined, TimePoint now,
                           capnp::List<wire::QuarantineEntry>::Builder list) {
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setRequest(quarantined[i].request);
    list[i].setLeftMs(BoundedTo<uint32_t>(ToMillis(quarantined[i].until - now)));
    FillParts(quarantined[i].parts, list[i]);
    FillBackends(quarantined[i], list[i]);
  }
}

std::vector<QuarantinedRequest> DecodeQuarantinedList(
    capnp::List<wire::QuarantineEntry>::Reader list, TimePoint now) {
  std::vector<QuarantinedRequest> quarantined;
  for (const auto entry : list) {
    quarantined.push_back({entry.getRequest(), now + milliseconds(entry.getLeftMs()),
                           SortedPartsOf(entry.getParts()), BackendsOf(entry.getBackends())});
  }
  return quarantined;
}

}  // namespace cartsail
