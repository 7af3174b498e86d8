// The relay's pure parts: admission, event splitting, heads, digests, document versions.
#include "cartsail/relay/admission.h"
#include "cartsail/relay/document_limits.h"
#include "catalog/catalog_message.h"
#include "catalog/document_announcer.h"
#include "catalog/lapse_grace.h"
#include "fleet/datagram.h"
#include "request/message_head.h"
#include "support/relay_fixture.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kNow = TimePoint(seconds(1000));
constexpr Duration kTrustedFor = DocumentLimitsFor(seconds(3)).max_age_to_refuse_unknown;

RoutingState MakeState(RoutingDocument document, TimePoint confirmed = kNow) {
  RoutingState state;
  state.Apply(*RouteTable::Build(std::move(document)), "text");
  state.Confirm(confirmed);
  return state;
}

RequestHead MakeHead(const std::string& path) {
  RequestHead head;
  head.method = "GET";
  head.target = path;
  head.host = "h";
  head.request_id = "r1";
  head.time_left = "900";
  return head;
}

RoutingDocument TenantDocument() {
  RoutingDocument document = testing::PlainDocument();
  document.tenants = {{"one", {"key1"}, 0}, {"two", {"key2"}, 1}};
  document.routes[0].tier = 2;
  return document;
}

Test(admission, without_a_document_the_caller_is_told_to_come_back) {
  const AdmissionResult result =
      Admit(MakeHead("/safe/a"), RoutingState(), WireFormat(), kTrustedFor, kNow);
  cr_assert(result.refusal->kind == ErrorKind::kNotReady);
  cr_assert(result.refusal->retry_after > Duration(0));
}

Test(admission, what_is_unknown_is_refused_only_on_a_fresh_view) {
  const RoutingState fresh = MakeState(TenantDocument());
  const RoutingState stale = MakeState(TenantDocument(), kNow - kTrustedFor - milliseconds(1));
  RequestHead head = MakeHead("/none/a");
  cr_assert(Admit(head, fresh, WireFormat(), kTrustedFor, kNow).refusal->kind ==
            ErrorKind::kUnknownPath);
  cr_assert(Admit(head, stale, WireFormat(), kTrustedFor, kNow).refusal->kind ==
            ErrorKind::kNotReady);
  head = MakeHead("/safe/a");
  head.authorization = "Bearer nobody";
  cr_assert(Admit(head, fresh, WireFormat(), kTrustedFor, kNow).refusal->kind ==
            ErrorKind::kUnknownKey);
  cr_assert(Admit(head, stale, WireFormat(), kTrustedFor, kNow).refusal->kind ==
            ErrorKind::kNotReady);
}

Test(admission, the_key_names_the_tenant_and_time_is_the_lesser_of_both) {
  const RoutingState state = MakeState(TenantDocument());
  RequestHead head = MakeHead("/safe/a?q=1");
  head.authorization = "bearer key2 ";
  const AdmissionResult result = Admit(head, state, WireFormat(), kTrustedFor, kNow);
  cr_assert(!result.refusal.has_value());
  cr_assert(result.admitted.tenant == "two");
  cr_assert(result.admitted.time_left == milliseconds(900));
  head.time_left = "999999";
  cr_assert(Admit(head, state, WireFormat(), kTrustedFor, kNow).admitted.time_left == seconds(4));
  for (const char* more_than_a_duration_holds : {"9223372036855", "9223372036854775807"}) {
    head.time_left = more_than_a_duration_holds;
    cr_assert(Admit(head, state, WireFormat(), kTrustedFor, kNow).admitted.time_left == seconds(4));
  }
  head.time_left = "soon";
  cr_assert(Admit(head, state, WireFormat(), kTrustedFor, kNow).admitted.time_left == seconds(4));
}

Test(admission, the_route_orders_tiers_and_the_tenant_orders_within) {
  RoutingDocument document = TenantDocument();
  document.routes[1].tier = 1;
  const RoutingState state = MakeState(document);
  const auto tier_of = [&state](const std::string& path, const std::string& key) {
    RequestHead head = MakeHead(path);
    head.authorization = "Bearer " + key;
    return Admit(head, state, WireFormat(), kTrustedFor, kNow).admitted.tier;
  };
  cr_assert(tier_of("/once/a", "key1") < tier_of("/once/a", "key2"));
  cr_assert(tier_of("/once/a", "key2") < tier_of("/safe/a", "key1"));
}

Test(documents, versions_only_rise) {
  RoutingDocument document = testing::PlainDocument();
  document.version = 7;
  RoutingState state = MakeState(document);
  cr_assert(!state.Apply(*RouteTable::Build(document), "same"));
  document.version = 6;
  cr_assert(!state.Apply(*RouteTable::Build(document), "older"));
  cr_assert(state.Version() == 7 && state.Encoded() == "text");
  document.version = 9;
  cr_assert(state.Apply(*RouteTable::Build(document), "newer"));
  cr_assert(state.Version() == 9);
}

Test(documents, steps_of_a_change_fit_its_deadline) {
  for (const Duration deadline : {seconds(1), seconds(2), seconds(3), seconds(4)}) {
    const DocumentLimits limits = DocumentLimitsFor(deadline);
    const Duration telling = DocumentAnnouncer::kRounds * DocumentAnnouncer::kRoundInterval / 2;
    cr_assert(limits.direct_read_when_unconfirmed + telling < deadline);
    cr_assert(limits.direct_read_when_behind + telling < deadline);
    cr_assert(limits.max_age_to_refuse_unknown < deadline);
  }
}

Test(wire_format, prompt_parts_and_counts) {
  const WireFormat format;
  const std::vector<PromptPart> parts = format.ParsePromptParts("5c1e07a2:800, 91bd3f06:410");
  cr_assert(parts.size() == 2 && parts[0].id == 0x5c1e07a2 && parts[1].tokens == 410);
  cr_assert(format.ParsePromptParts("xyz:1").empty());
  cr_assert(format.ParsePromptParts("5c:-1").empty());
  cr_assert(format.ParseTokenCounts("1460,80")->output == 80);
  cr_assert(!format.ParseTokenCounts("1460").has_value());
  cr_assert(format.FormatUrgency(40) == "9" && format.FormatUrgency(-1) == "0");
}

Test(heads, headers_of_one_connection_stay_behind) {
  const HttpHeaders headers = {{"Connection", "close, X-One"},
                               {"X-One", "1"},
                               {"X-Two", "2"},
                               {"Keep-Alive", "5"},
                               {"Secret", "3"},
                               {"TE", "x"},
                               {"Content-Length", "9"}};
  const HttpHeaders kept = EndToEndHeaders(headers, {"secret"});
  cr_assert(kept.size() == 1 && kept[0].name == "X-Two");
}

Test(lapse_grace, entries_are_kept_only_after_an_absence_of_the_store) {
  LapseGrace grace;
  grace.NoteAnswer(TimePoint(), kNow, kNow);
  cr_assert(!grace.MissingUntil(kNow).has_value(), "the first answer tells of no absence");
  grace.NoteAnswer(kNow, kNow + seconds(2), kNow + seconds(2));
  cr_assert(!grace.MissingUntil(kNow + seconds(2)).has_value());
  const TimePoint back = kNow + seconds(8);
  grace.NoteAnswer(kNow + seconds(2), back, back);
  cr_assert(grace.MissingUntil(back) == back + LapseGrace::kGrace);
  // Told once more by a peer that heard it at the same time.
  grace.NoteAnswer(back, back + milliseconds(300), back + milliseconds(400));
  cr_assert(grace.MissingUntil(back + seconds(1)) == back + LapseGrace::kGrace);
  cr_assert(!grace.MissingUntil(back + LapseGrace::kGrace).has_value());
}

Test(catalogs, what_is_missing_travels_with_the_time_it_has_left) {
  CatalogMessage catalog;
  catalog.revision = 5;
  catalog.backends.resize(2);
  catalog.backends[0].id = "lapsed";
  catalog.backends[0].missing_until = kNow + milliseconds(700);
  const std::string bytes = EncodeCatalog(catalog, kNow);
  const TimePoint there = kNow + seconds(3);
  const std::optional<CatalogMessage> read = DecodeCatalog(bytes, there);
  cr_assert(read->backends[0].missing_until == there + milliseconds(700));
  cr_assert(!read->backends[1].missing_until.has_value());
}

Backend EngineNumber(int number) {
  Backend engine;
  engine.id = "i-" + std::to_string(std::hash<int>{}(number * 7919) * 2654435761U % 4294967296U);
  engine.service = "mise43a";
  engine.address = "10.3." + std::to_string(64 + number / 250) + "." +
                   std::to_string(number % 250) + ":" + std::to_string(8000 + number % 300);
  engine.zone = "hall-" + std::to_string(number % 6);
  engine.slots = 24;
  engine.created_revision = 5 + number;
  return engine;
}

// All nodes fetch it when a fleet starts as a whole: with each text of each entry written out,
// 3,000 took 240 KB.
Test(catalogs, three_thousand_back_ends_fit_a_tenth_of_a_second_of_a_slow_link) {
  constexpr int kEngines = 3000;
  constexpr size_t kMostBytes = 10'000'000 / 8 / 10;
  CatalogMessage catalog;
  catalog.revision = kEngines + 100;
  for (int i = 0; i < kEngines; ++i) catalog.backends.push_back(EngineNumber(i));
  catalog.backends[7].address = "engine.example:80";
  catalog.backends[8].state = BackendState::kLeaving;
  const std::string bytes = EncodeCatalog(catalog, kNow);
  cr_assert(bytes.size() < kMostBytes, "%zu bytes", bytes.size());
  printf("%zu bytes\n", bytes.size());
  const std::optional<CatalogMessage> read = DecodeCatalog(bytes, kNow);
  cr_assert(read->backends.size() == kEngines);
  for (int i = 0; i < kEngines; ++i) {
    const Backend& sent = catalog.backends[static_cast<size_t>(i)];
    const Backend& got = read->backends[static_cast<size_t>(i)];
    cr_assert(got.id == sent.id && got.service == sent.service && got.zone == sent.zone);
    cr_assert(got.address == sent.address && got.slots == sent.slots && got.state == sent.state);
    cr_assert(got.created_revision == sent.created_revision);
  }
}

Test(catalogs, the_age_of_the_document_travels_on) {
  CatalogMessage catalog;
  catalog.document = {4, std::string("t\0xt", 4)};
  catalog.document_age = milliseconds(1200);
  const std::optional<CatalogMessage> read = DecodeCatalog(EncodeCatalog(catalog, kNow), kNow);
  cr_assert(read->document_age == milliseconds(1200));
  cr_assert(read->document.base_version == 4 && read->document.bytes == catalog.document.bytes);
}

Test(digests, survive_their_encoding) {
  NodeDigest digest;
  digest.node = "n1";
  digest.interval = milliseconds(250);
  digest.dispatch.loads = {{11, {12, 3, 2, 4.5, 1.5}, 18.5}};
  digest.dispatch.prefixes = {{77, 11}};
  digest.dispatch.leaving = {9};
  digest.dispatch.work = {{"llm", 120, 340}};
  digest.live_questions = {3, 5};
  const std::optional<Datagram> datagram = DecodeDatagram(EncodeDatagram(digest));
  const auto* read = std::get_if<NodeDigest>(&*datagram);
  cr_assert(read->node == "n1" && read->interval == milliseconds(250));
  cr_assert(read->dispatch.loads[0].load.requests == 3);
  cr_assert(read->dispatch.loads[0].least_pause_ms == 18.5);
  cr_assert(std::abs(read->dispatch.loads[0].load.failures - 1.5) < 1e-9);
  cr_assert(read->dispatch.prefixes[0].part == 77);
  cr_assert(read->dispatch.leaving == digest.dispatch.leaving);
  cr_assert(read->dispatch.work[0].heavy_ms_per_s == 340);
  cr_assert(read->live_questions == digest.live_questions);
}

Test(datagrams, questions_answers_and_progress_survive_their_encoding) {
  PlacementQuestion question;
  question.id = 7;
  question.profile.service = "llm";
  question.profile.is_generation = true;
  question.profile.first_output_goal = milliseconds(250);
  question.profile.longest_pause = milliseconds(150);
  question.profile.prompt_tokens = 900;
  question.profile.prompt_parts = {{0x5c1e07a2, 800}, {0x91bd3f06, 100}};
  question.tried = {11};
  question.connected = {21, 22};
  const std::optional<Datagram> asked = DecodeDatagram(EncodeDatagram(question));
  const auto* read = std::get_if<PlacementQuestion>(&*asked);
  cr_assert(read->id == 7 && read->profile.service == "llm" && read->profile.is_generation);
  cr_assert(read->profile.first_output_goal == milliseconds(250));
  cr_assert(read->profile.longest_pause == milliseconds(150));
  cr_assert(read->profile.prompt_parts[1].id == 0x91bd3f06);
  cr_assert(read->tried == question.tried && read->connected == question.connected);

  PlacementAnswer answer;
  answer.id = 7;
  answer.grant = PlacementGrant{11, 12, 40, 30, 50, 800, 9, 3};
  const std::optional<Datagram> answered = DecodeDatagram(EncodeDatagram(answer));
  const auto* grant = std::get_if<PlacementAnswer>(&*answered);
  cr_assert(grant->grant->backend == 11 && grant->grant->fetch_prefix_from == 12);
  cr_assert(grant->grant->prefill_ms == 30 && grant->grant->candidates == 9);
  answer.grant.reset();
  const std::optional<Datagram> refused = DecodeDatagram(EncodeDatagram(answer));
  cr_assert(!std::get_if<PlacementAnswer>(&*refused)->grant.has_value());
  cr_assert(!std::get_if<PlacementAnswer>(&*refused)->metered_wait.has_value());
  // A short wait is one all the same: the caller is told when to come back.
  answer.metered_wait = std::chrono::microseconds(400);
  const std::optional<Datagram> waiting = DecodeDatagram(EncodeDatagram(answer));
  cr_assert(std::get_if<PlacementAnswer>(&*waiting)->metered_wait == milliseconds(1));

  ProgressReport report;
  report.entries = {{7, false, std::nullopt, {}}, {8, true, AttemptOutcome::kCut, {12.5, 180}}};
  const std::optional<Datagram> told = DecodeDatagram(EncodeDatagram(report));
  const auto* progress = std::get_if<ProgressReport>(&*told);
  cr_assert(!progress->entries[0].ended && !progress->entries[0].outcome.has_value());
  cr_assert(progress->entries[1].outcome == AttemptOutcome::kCut);
  cr_assert(progress->entries[1].pauses.mean_ms == 12.5);
  cr_assert(progress->entries[1].pauses.longest_ms == 180);
}

Test(datagrams, notices_survive_their_encoding) {
  DocumentNotice notice;
  notice.version = 12;
  notice.age = milliseconds(40);
  notice.patch = {11, std::string("a\0b", 3)};
  const std::optional<Datagram> datagram = DecodeDatagram(EncodeDatagram(notice));
  const auto* read = std::get_if<DocumentNotice>(&*datagram);
  cr_assert(read->version == 12 && read->age == milliseconds(40) && !read->is_answer);
  cr_assert(read->patch.base_version == 11 && read->patch.bytes == notice.patch.bytes);
}

MemberEntry EntryOf(const std::string& host, PeerStatus status) {
  return {host, {"node-" + host, "z1", true, 0.25, seconds(70)}, 12, status};
}

Test(datagrams, gossip_survives_its_encoding) {
  GossipMessage gossip;
  gossip.kind = GossipKind::kPingRequest;
  gossip.sequence = 77;
  gossip.subject = "10.2.3.4";
  gossip.sender = EntryOf("10.0.0.1", PeerStatus::kAlive);
  gossip.view = {9, 42, milliseconds(250)};
  gossip.members = {EntryOf("10.0.0.2", PeerStatus::kSuspect),
                    EntryOf("10.0.0.3", PeerStatus::kGone)};
  gossip.known = {1, 65535};
  const std::optional<Datagram> datagram = DecodeDatagram(EncodeDatagram(gossip));
  const auto* read = std::get_if<GossipMessage>(&*datagram);
  cr_assert(read->kind == GossipKind::kPingRequest && read->sequence == 77);
  cr_assert(read->subject == "10.2.3.4" && read->known == gossip.known);
  cr_assert(read->sender.host == "10.0.0.1" && read->sender.state.node == "node-10.0.0.1");
  cr_assert(read->sender.state.stopping && read->sender.state.capacity == 0.25);
  cr_assert(read->sender.state.uptime == seconds(70) && read->sender.incarnation == 12);
  cr_assert(read->view.catalog_revision == 9 && read->view.document_version == 42);
  cr_assert(*read->view.confirmed_age == milliseconds(250));
  cr_assert(read->members[0].status == PeerStatus::kSuspect);
  cr_assert(read->members[1].status == PeerStatus::kGone);
  gossip.view.confirmed_age.reset();
  const std::optional<Datagram> never = DecodeDatagram(EncodeDatagram(gossip));
  cr_assert(!std::get_if<GossipMessage>(&*never)->view.confirmed_age.has_value());
}

Test(datagrams, store_updates_survive_their_encoding) {
  StoreUpdate update;
  update.changes.revision = 12;
  update.changes.since = 10;
  update.changes.backends.resize(1);
  update.changes.backends[0].id = "b1";
  update.changes.backends[0].missing_until = kNow + milliseconds(700);
  update.changes.gone = {"b2"};
  update.document_version = 4;
  update.confirmed_age = milliseconds(30);
  update.targets = {"10.0.0.1", "10.0.0.2"};
  const TimePoint there = kNow + seconds(3);
  const std::optional<Datagram> datagram = DecodeDatagram(EncodeDatagram(update, kNow), there);
  const auto* read = std::get_if<StoreUpdate>(&*datagram);
  cr_assert(read->changes.revision == 12 && read->changes.since == 10);
  cr_assert(read->changes.backends[0].id == "b1" && read->changes.gone == update.changes.gone);
  cr_assert(read->changes.backends[0].missing_until == there + milliseconds(700));
  cr_assert(read->document_version == 4 && read->confirmed_age == milliseconds(30));
  cr_assert(read->targets == update.targets);
}

// What travels to every node about twice a second, and once for each zone with the names of its
// nodes, fits one packet with ten changes as well.
Test(datagrams, store_updates_are_small) {
  StoreUpdate update;
  update.changes.revision = 1200;
  update.changes.since = 1200;
  update.document_version = 40;
  const size_t confirming = EncodeDatagram(update, kNow).size();
  for (int i = 0; i < 60; ++i) update.targets.push_back("10.4.0." + std::to_string(i + 20));
  const size_t for_zone = EncodeDatagram(update, kNow).size();
  for (int i = 0; i < 10; ++i) {
    update.changes.backends.push_back(EngineNumber(i));
  }
  const size_t with_changes = EncodeDatagram(update, kNow).size();
  printf("confirming %zu, for a zone of 60 %zu, with ten changes %zu bytes\n", confirming, for_zone,
         with_changes);
  cr_assert(confirming < 64 && for_zone < 400 && with_changes < 1200);
}

Test(datagrams, a_kind_of_gossip_that_is_not_known_is_refused) {
  GossipMessage gossip;
  gossip.sender = EntryOf("10.0.0.1", PeerStatus::kAlive);
  gossip.kind = static_cast<GossipKind>(kGossipKinds);
  cr_assert(!DecodeDatagram(EncodeDatagram(gossip)).has_value());
}

Test(digests, bytes_that_are_none_are_refused) {
  cr_assert(!DecodeDatagram("").has_value());
  const std::string good = EncodeDatagram(NodeDigest{});
  for (size_t size = 0; size + 1 < good.size(); ++size) {
    (void)DecodeDatagram(good.substr(0, size));
  }
  cr_assert(!DecodeDatagram(std::string(300, '\xff')).has_value());
  GossipMessage gossip;
  gossip.sender = EntryOf("10.0.0.1", PeerStatus::kAlive);
  gossip.members = {EntryOf("10.0.0.2", PeerStatus::kSuspect)};
  const std::string whole = EncodeDatagram(gossip);
  for (size_t size = 0; size < whole.size(); ++size) (void)DecodeDatagram(whole.substr(0, size));
}

}  // namespace
}  // namespace cartsail
