#include "support/wire_samples.h"

#include <absl/strings/str_join.h>

#include "cartsail/quarantine/request_fingerprint.h"
#include "cartsail/quarantine/strike_ledger.h"
#include "fleet/peer_table.h"

namespace cartsail::testing {
namespace {

constexpr RequestFingerprint kRequest = 0x0123456789abcdef;

NodeDigest DigestSample() {
  NodeDigest digest;
  digest.node = "front-a-1";
  digest.interval = milliseconds(700);
  digest.dispatch.loads = {{11, {120, 3, 2, 4.5, 1.5}, 3.25}, {12, {}, 0}};
  digest.dispatch.prefixes = {{0xfedcba9876543210, 11}};
  digest.dispatch.leaving = {13, 14};
  digest.dispatch.work = {{"llm", 12.5, 30}};
  digest.live_questions = {7, 8};
  return digest;
}

PlacementQuestion QuestionSample() {
  PlacementQuestion question;
  question.id = 7;
  question.profile.service = "llm";
  question.profile.residency = {{"east", "west"}};
  question.profile.first_output_goal = milliseconds(250);
  question.profile.is_generation = true;
  question.profile.prompt_parts = {{0xa1, 500}, {0xb2, 40}};
  question.profile.prompt_tokens = 540;
  question.profile.output_tokens = 80;
  question.profile.longest_pause = milliseconds(150);
  question.profile.bytes_per_token = 1000;
  question.tried = {11, 12};
  question.connected = {13};
  return question;
}

PlacementAnswer AnswerSample() {
  PlacementAnswer answer;
  answer.id = 7;
  answer.grant = PlacementGrant{11, 12, 0.25, 4.5, 90, 500, 9, 3, true};
  return answer;
}

PlacementAnswer ColdAnswerSample() {
  PlacementAnswer answer;
  answer.id = 8;
  answer.metered_wait = milliseconds(120);
  return answer;
}

ProgressReport ProgressSample() {
  ProgressReport report;
  report.entries.push_back({7, false, std::nullopt, {}});
  report.entries.push_back({8, true, AttemptOutcome::kRefused, {12.5, 80}});
  report.entries.push_back({9, true, std::nullopt, {}});
  return report;
}

DocumentNotice NoticeSample() {
  DocumentNotice notice;
  notice.version = 42;
  notice.age = milliseconds(15);
  notice.patch = {41, "patch"};
  notice.is_answer = true;
  return notice;
}

MemberEntry MemberSample(int number) {
  MemberEntry member;
  member.host = "10.1.0." + std::to_string(number);
  member.state = {"front-a-" + std::to_string(number), "hall-a", number == 2, 0.25, seconds(9)};
  member.incarnation = 3;
  member.status = PeerStatus::kSuspect;
  return member;
}

GossipMessage GossipSample() {
  GossipMessage gossip;
  gossip.kind = GossipKind::kSync;
  gossip.sequence = 99;
  gossip.subject = "10.1.0.9";
  gossip.sender = MemberSample(1);
  gossip.view = {1234, 42, milliseconds(30)};
  gossip.wall = milliseconds(1800000000000);
  gossip.members = {MemberSample(2), MemberSample(3)};
  gossip.known = {1, 65535};
  return gossip;
}

Backend BackendSample(int number) {
  Backend backend;
  backend.id = "i-" + std::to_string(number);
  backend.started_ms = 1800000000000 + number;
  backend.key = KeyOf(backend.id, backend.started_ms);
  backend.service = number == 1 ? "llm" : "desk";
  backend.address = "10.2.0." + std::to_string(number) + ":8545";
  backend.zone = "hall-a";
  backend.slots = 48;
  backend.state = number == 1 ? BackendState::kReady : BackendState::kLeaving;
  backend.reclaimable = number == 1;
  backend.created_revision = 1000 + number;
  if (number == 2) backend.missing_until = kSampleTime + milliseconds(900);
  if (number == 1) backend.cold_until = kSampleTime + milliseconds(1500);
  return backend;
}

StoreUpdate UpdateSample() {
  StoreUpdate update;
  update.changes = CatalogSample();
  update.changes.document = {};
  update.changes.since = 1200;
  update.changes.gone = {"i-8", "i-9"};
  update.document_version = 42;
  update.confirmed_age = milliseconds(25);
  update.targets = {"10.1.0.2", "10.1.0.3"};
  return update;
}

QuarantineNotice QuarantineSample(bool lifted) {
  QuarantineNotice notice;
  notice.request = kRequest;
  notice.is_lifted = lifted;
  notice.targets = {"10.1.0.2"};
  if (lifted) return notice;
  notice.left = seconds(599);
  notice.first_strike_age = milliseconds(800);
  notice.backends = {11, 12, 13};
  return notice;
}

}  // namespace

CatalogMessage CatalogSample() {
  CatalogMessage catalog;
  catalog.revision = 1234;
  catalog.document = {41, "patch"};
  catalog.backends = {BackendSample(1), BackendSample(2)};
  catalog.drained_zones = {"hall-b"};
  catalog.quarantined = {{kRequest, kSampleTime + seconds(300)}};
  catalog.document_age = milliseconds(12);
  return catalog;
}

std::vector<DatagramSample> DatagramSamples() {
  return {{"digest", DigestSample()},
          {"question", QuestionSample()},
          {"answer", AnswerSample()},
          {"cold_answer", ColdAnswerSample()},
          {"progress", ProgressSample()},
          {"document_notice", NoticeSample()},
          {"gossip", GossipSample()},
          {"store_update", UpdateSample()},
          {"usage", UsageShares{5, {{360000000, true, 12, {{"one", 7}, {"two", 5}}}}}},
          {"usage_receipt", UsageReceipt{5, {360000000, 360000001}}},
          {"strikes", StrikeReport{{{kRequest, 11, kSampleTime}, {kRequest + 1, 12, kSampleTime}}}},
          {"quarantined", QuarantineSample(false)},
          {"quarantine_lifted", QuarantineSample(true)}};
}

std::vector<DerivedSample> DerivedSamples() {
  const RequestFingerprint fingerprint =
      FingerprintOf({"POST", "desk.example", "/a/b?c=1", "one", "body"});
  const std::vector<std::string> hosts = {"10.1.0.1", "10.1.0.2", "10.1.0.3",
                                          "10.1.0.4", "10.1.0.5", "10.1.0.6"};
  PeerTable peers({"front-a-1", "hall-a", false, 0.25, seconds(60)}, kSampleTime - seconds(60));
  for (int i = 2; i <= 6; ++i) {
    const std::string number = std::to_string(i);
    peers.Heard("10.1.0." + number, {"front-a-" + number, "hall-a", false, 0.25, seconds(60)},
                kSampleTime);
  }
  return {{"fingerprint", FingerprintText(fingerprint)},
          {"backend_key", std::to_string(KeyOf("i-1", 1800000000000))},
          {"backend_key_without_start", std::to_string(KeyOf("i-1"))},
          {"strike_counters", absl::StrJoin(StrikeLedgerNodesOf(kRequest, hosts), ",")},
          {"coordinators", absl::StrJoin(peers.RankCoordinators("llm", 6, kSampleTime), ",")}};
}

}  // namespace cartsail::testing
