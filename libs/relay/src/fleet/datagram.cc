#include "fleet/datagram.h"

#include <cmath>

#include "catalog/catalog_wire.h"
#include "fleet/digest_codec.h"
#include "fleet/gossip_codec.h"
#include "quarantine/quarantine_codec.h"
#include "streams/stream_codec.h"
#include "wire/capnp_bytes.h"
#include "wire/host_number.h"
#include "wire/wire_number.h"

namespace cartsail {
namespace {

constexpr double kPauseUnitMs = 0.01;
constexpr uint32_t kListAgeUnknown = 0xffffffff;

void Encode(const NodeDigest& digest, wire::Datagram::Builder root) {
  EncodeDigest(digest, root.initDigest());
}

void FillKeys(const std::vector<BackendKey>& keys, capnp::List<uint32_t>::Builder list) {
  for (unsigned i = 0; i < list.size(); ++i) list.set(i, keys[i]);
}

std::vector<BackendKey> KeysOf(capnp::List<uint32_t>::Reader list) {
  std::vector<BackendKey> keys;
  keys.reserve(list.size());
  for (const BackendKey key : list) keys.push_back(key);
  return keys;
}

void EncodeRateNotices(const std::vector<BackendRateNotice>& notices, TimePoint now,
                       capnp::List<wire::RateWord>::Builder entries) {
  for (unsigned i = 0; i < entries.size(); ++i) {
    const RateNotice& notice = notices[i].notice;
    entries[i].setBackend(notices[i].backend);
    entries[i].setNamed(notice.per_s.has_value());
    entries[i].setPerSecond(notice.per_s.value_or(0));
    entries[i].setReadAgeMs(BoundedTo<uint32_t>(ToMillis(now - notice.read.at)));
    entries[i].setAskedAgeMs(BoundedTo<uint32_t>(ToMillis(now - notice.asked)));
  }
}

void EncodeQuestion(const PlacementQuestion& question, TimePoint now,
                    wire::Datagram::Builder root) {
  const RequestProfile& profile = question.profile;
  auto message = root.initQuestion();
  message.setId(question.id);
  message.setService(profile.service);
  if (!profile.version.empty()) message.setVersion(profile.version);
  message.setGeneration(profile.is_generation);
  message.setGoalMs(BoundedTo<uint32_t>(ToMillis(profile.first_output_goal)));
  message.setPromptTokens(BoundedTo<uint32_t>(static_cast<double>(profile.prompt_tokens)));
  message.setOutputTokens(BoundedTo<uint32_t>(static_cast<double>(profile.output_tokens)));
  message.setBytesPerToken(BoundedTo<uint32_t>(static_cast<double>(profile.bytes_per_token)));
  const Duration longest_pause = profile.longest_pause.value_or(Duration(0));
  message.setLongestPauseMs(BoundedTo<uint32_t>(ToMillis(longest_pause)));
  auto parts = message.initParts(static_cast<unsigned>(profile.prompt_parts.size()));
  for (unsigned i = 0; i < parts.size(); ++i) {
    parts[i].setId(profile.prompt_parts[i].id);
    parts[i].setTokens(BoundedTo<uint32_t>(static_cast<double>(profile.prompt_parts[i].tokens)));
  }
  if (profile.residency.has_value()) {
    message.setRestricted(true);
    auto regions = message.initResidency(static_cast<unsigned>(profile.residency->size()));
    for (unsigned i = 0; i < regions.size(); ++i) regions.set(i, (*profile.residency)[i]);
  }
  FillKeys(question.tried, message.initTried(static_cast<unsigned>(question.tried.size())));
  FillKeys(question.connected,
           message.initConnected(static_cast<unsigned>(question.connected.size())));
  if (!question.rate_words.empty()) {
    EncodeRateNotices(question.rate_words, now,
                      message.initRateWords(static_cast<unsigned>(question.rate_words.size())));
  }
  if (question.brittle_words.empty()) return;
  EncodeRateNotices(question.brittle_words, now,
                    message.initBrittleWords(static_cast<unsigned>(question.brittle_words.size())));
}

void Encode(const PlacementAnswer& answer, wire::Datagram::Builder root) {
  auto message = root.initAnswer();
  message.setId(answer.id);
  message.setPlaced(answer.grant.has_value());
  message.setHeardRateWords(answer.heard_rate_words);
  message.setMeteredOnly(answer.metered_wait.has_value());
  // Rounded up: a wait of 0 would be answered without a retry time.
  message.setMeteredWaitMs(
      BoundedTo<uint32_t>(std::ceil(ToMillis(answer.metered_wait.value_or(Duration(0))))));
  if (!answer.grant.has_value()) return;
  const PlacementGrant& grant = *answer.grant;
  message.setBackend(grant.backend);
  message.setFetchFrom(grant.fetch_prefix_from);
  message.setExpectedLoss(static_cast<float>(grant.expected_loss));
  message.setReadingMs(static_cast<float>(grant.prefill_ms));
  message.setFirstOutputMs(static_cast<float>(grant.first_output_ms));
  message.setHeldTokens(BoundedTo<uint32_t>(static_cast<double>(grant.held_tokens)));
  message.setCandidates(BoundedTo<uint16_t>(static_cast<double>(grant.candidates)));
  message.setLoadRequests(BoundedTo<uint16_t>(static_cast<double>(grant.load_requests)));
  message.setMetered(grant.is_metered);
}

void Encode(const ProgressReport& report, wire::Datagram::Builder root) {
  auto entries = root.initProgress(static_cast<unsigned>(report.entries.size()));
  for (unsigned i = 0; i < entries.size(); ++i) {
    const RequestProgress& progress = report.entries[i];
    entries[i].setId(progress.id);
    entries[i].setEnded(progress.ended);
    entries[i].setOutcomeKnown(progress.outcome.has_value());
    if (progress.outcome.has_value()) {
      entries[i].setOutcome(static_cast<uint8_t>(*progress.outcome));
    }
    entries[i].setMeanPause(BoundedTo<uint16_t>(progress.pauses.mean_ms / kPauseUnitMs));
    entries[i].setLongestPauseMs(BoundedTo<uint16_t>(progress.pauses.longest_ms));
  }
}

void Encode(const DocumentNotice& notice, wire::Datagram::Builder root) {
  auto message = root.initNotice();
  message.setVersion(notice.version);
  message.setAgeMs(BoundedTo<uint32_t>(ToMillis(notice.age)));
  message.setBase(notice.patch.base_version);
  SetBytes(message.initPatch(static_cast<unsigned>(notice.patch.bytes.size())), notice.patch.bytes);
  message.setIsAnswer(notice.is_answer);
}

void Encode(const GossipMessage& gossip, wire::Datagram::Builder root) {
  EncodeGossip(gossip, root.initGossip());
}

void Encode(const UsageShares& usage, wire::Datagram::Builder root) {
  auto message = root.initUsage();
  message.setProcess(usage.process);
  auto shares = message.initShares(static_cast<unsigned>(usage.shares.size()));
  for (unsigned i = 0; i < shares.size(); ++i) {
    const UsageShare& share = usage.shares[i];
    shares[i].setWindow(share.window);
    shares[i].setClosed(share.closed);
    shares[i].setRequests(share.requests);
    auto counts = shares[i].initCounts(static_cast<unsigned>(share.counts.size()));
    unsigned next = 0;
    for (const auto& [tenant, count] : share.counts) {
      counts[next].setTenant(tenant);
      counts[next].setRequests(count);
      ++next;
    }
  }
}

void Encode(const UsageReceipt& receipt, wire::Datagram::Builder root) {
  auto message = root.initUsageReceipt();
  message.setProcess(receipt.process);
  auto windows = message.initWindows(static_cast<unsigned>(receipt.windows.size()));
  for (unsigned i = 0; i < windows.size(); ++i) windows.set(i, receipt.windows[i]);
}

void Encode(const RepeatQuestion& question, wire::Datagram::Builder root) {
  auto message = root.initRepeatQuestion();
  message.setId(question.id);
  message.setService(question.service);
}

void Encode(const RepeatAnswer& answer, wire::Datagram::Builder root) {
  auto message = root.initRepeatAnswer();
  message.setId(answer.id);
  message.setLent(answer.lent);
}

void Encode(const QuarantineNotice& notice, wire::Datagram::Builder root) {
  EncodeQuarantine(notice, root.initQuarantine());
}

void EncodeExit(const PartStrikes& strikes, TimePoint now, wire::Datagram::Builder root) {
  EncodePartStrikes(strikes, now, root.initPartStrikes());
}

void Encode(const PartInquiry& inquiry, wire::Datagram::Builder root) {
  EncodePartInquiry(inquiry, root.initPartInquiry());
}

void Encode(const PartCompletions& completions, wire::Datagram::Builder root) {
  EncodePartCompletions(completions, root.initPartCompletions());
}

UsageShares DecodeUsage(wire::UsageShares::Reader message) {
  UsageShares usage;
  usage.process = message.getProcess();
  for (const auto entry : message.getShares()) {
    UsageShare share;
    share.window = entry.getWindow();
    share.closed = entry.getClosed();
    share.requests = entry.getRequests();
    for (const auto count : entry.getCounts()) {
      share.counts[TextOf(count.getTenant())] = count.getRequests();
    }
    usage.shares.push_back(std::move(share));
  }
  return usage;
}

UsageReceipt DecodeReceipt(wire::UsageReceipt::Reader message) {
  UsageReceipt receipt;
  receipt.process = message.getProcess();
  for (const int64_t window : message.getWindows()) receipt.windows.push_back(window);
  return receipt;
}

void EncodeUpdate(const StoreUpdate& update, TimePoint now, wire::Datagram::Builder root) {
  auto message = root.initStoreUpdate();
  FillCatalog(update.changes, now, message.initChanges());
  message.setDocumentVersion(update.document_version);
  message.setConfirmedAgeMs(BoundedTo<uint32_t>(ToMillis(update.confirmed_age)));
  if (update.list_age.has_value()) {
    message.setListAgeMs(BoundedTo<uint32_t>(ToMillis(*update.list_age)));
  }
  message.setListRevision(update.list_revision);
  auto targets = message.initTargets(static_cast<unsigned>(update.targets.size()));
  for (unsigned i = 0; i < targets.size(); ++i) targets.set(i, HostNumber(update.targets[i]));
}

StoreUpdate DecodeUpdate(wire::StoreUpdate::Reader message, TimePoint now) {
  StoreUpdate update;
  update.changes = CatalogFrom(message.getChanges(), now);
  update.document_version = message.getDocumentVersion();
  update.confirmed_age = milliseconds(message.getConfirmedAgeMs());
  if (message.getListAgeMs() != kListAgeUnknown) {
    update.list_age = milliseconds(message.getListAgeMs());
  }
  update.list_revision = message.getListRevision();
  for (const uint32_t host : message.getTargets()) update.targets.push_back(HostText(host));
  return update;
}

DocumentNotice DecodeNotice(wire::DocumentNotice::Reader message) {
  DocumentNotice notice;
  notice.version = message.getVersion();
  notice.age = milliseconds(message.getAgeMs());
  notice.patch = {message.getBase(), BytesOf(message.getPatch())};
  notice.is_answer = message.getIsAnswer();
  return notice;
}

// Converts ages to this node's clocks; transit time is neglected.
std::vector<BackendRateNotice> DecodeRateNotices(capnp::List<wire::RateWord>::Reader entries,
                                                 TimePoint now) {
  const milliseconds wall = WallNow();
  std::vector<BackendRateNotice> notices;
  for (const auto entry : entries) {
    const milliseconds read_age(entry.getReadAgeMs());
    BackendRateNotice& rate = notices.emplace_back();
    rate.backend = entry.getBackend();
    if (entry.getNamed()) rate.notice.per_s = std::max(0.0, entry.getPerSecond());
    rate.notice.read = {now - read_age, wall - read_age};
    rate.notice.asked = now - milliseconds(entry.getAskedAgeMs());
  }
  return notices;
}

PlacementQuestion DecodeQuestion(wire::PlacementQuestion::Reader message, TimePoint now) {
  PlacementQuestion question;
  question.id = message.getId();
  RequestProfile& profile = question.profile;
  profile.service = TextOf(message.getService());
  profile.version = TextOf(message.getVersion());
  profile.is_generation = message.getGeneration();
  profile.first_output_goal = milliseconds(message.getGoalMs());
  profile.prompt_tokens = message.getPromptTokens();
  profile.output_tokens = message.getOutputTokens();
  profile.bytes_per_token = message.getBytesPerToken();
  if (message.getLongestPauseMs() > 0) {
    profile.longest_pause = milliseconds(message.getLongestPauseMs());
  }
  for (const auto part : message.getParts()) {
    profile.prompt_parts.push_back({part.getId(), part.getTokens()});
  }
  if (message.getRestricted()) {
    profile.residency.emplace();
    for (const auto region : message.getResidency()) {
      profile.residency->push_back(TextOf(region));
    }
  }
  question.tried = KeysOf(message.getTried());
  question.connected = KeysOf(message.getConnected());
  question.rate_words = DecodeRateNotices(message.getRateWords(), now);
  question.brittle_words = DecodeRateNotices(message.getBrittleWords(), now);
  return question;
}

PlacementAnswer DecodeAnswer(wire::PlacementAnswer::Reader message) {
  PlacementAnswer answer;
  answer.id = message.getId();
  answer.heard_rate_words = message.getHeardRateWords();
  if (message.getMeteredOnly()) answer.metered_wait = milliseconds(message.getMeteredWaitMs());
  if (!message.getPlaced()) return answer;
  PlacementGrant& grant = answer.grant.emplace();
  grant.backend = message.getBackend();
  grant.fetch_prefix_from = message.getFetchFrom();
  grant.expected_loss = message.getExpectedLoss();
  grant.prefill_ms = message.getReadingMs();
  grant.first_output_ms = message.getFirstOutputMs();
  grant.held_tokens = message.getHeldTokens();
  grant.candidates = message.getCandidates();
  grant.load_requests = message.getLoadRequests();
  grant.is_metered = message.getMetered();
  return answer;
}

ProgressReport DecodeProgress(capnp::List<wire::RequestProgress>::Reader entries) {
  ProgressReport report;
  for (const auto entry : entries) {
    RequestProgress progress;
    progress.id = entry.getId();
    progress.ended = entry.getEnded();
    if (entry.getOutcomeKnown() && entry.getOutcome() < kAttemptOutcomes) {
      progress.outcome = static_cast<AttemptOutcome>(entry.getOutcome());
    }
    progress.pauses.mean_ms = entry.getMeanPause() * kPauseUnitMs;
    progress.pauses.longest_ms = entry.getLongestPauseMs();
    report.entries.push_back(progress);
  }
  return report;
}

std::optional<Datagram> DecodeRoot(wire::Datagram::Reader root, TimePoint now) {
  switch (root.which()) {
    case wire::Datagram::DIGEST:
      return DecodeDigest(root.getDigest());
    case wire::Datagram::QUESTION:
      return DecodeQuestion(root.getQuestion(), now);
    case wire::Datagram::ANSWER:
      return DecodeAnswer(root.getAnswer());
    case wire::Datagram::PROGRESS:
      return DecodeProgress(root.getProgress());
    case wire::Datagram::NOTICE:
      return DecodeNotice(root.getNotice());
    case wire::Datagram::GOSSIP:
      return DecodeGossip(root.getGossip());
    case wire::Datagram::STORE_UPDATE:
      return DecodeUpdate(root.getStoreUpdate(), now);
    case wire::Datagram::USAGE:
      return DecodeUsage(root.getUsage());
    case wire::Datagram::USAGE_RECEIPT:
      return DecodeReceipt(root.getUsageReceipt());
    case wire::Datagram::STRIKES:
      return DecodeStrikes(root.getStrikes(), now);
    case wire::Datagram::QUARANTINE:
      return DecodeQuarantine(root.getQuarantine());
    case wire::Datagram::REPEAT_QUESTION:
      return RepeatQuestion{root.getRepeatQuestion().getId(),
                            TextOf(root.getRepeatQuestion().getService())};
    case wire::Datagram::REPEAT_ANSWER:
      return RepeatAnswer{root.getRepeatAnswer().getId(), root.getRepeatAnswer().getLent()};
    case wire::Datagram::STREAM_QUESTION:
      return DecodeStreamQuestion(root.getStreamQuestion(), now);
    case wire::Datagram::STREAM_ANSWER:
      return DecodeStreamAnswer(root.getStreamAnswer(), now);
    case wire::Datagram::PART_STRIKES:
      return DecodePartStrikes(root.getPartStrikes(), now);
    case wire::Datagram::PART_INQUIRY:
      return DecodePartInquiry(root.getPartInquiry());
    case wire::Datagram::PART_COMPLETIONS:
      return DecodePartCompletions(root.getPartCompletions());
  }
  return std::nullopt;  // sent by a later version
}

}  // namespace

std::string EncodeDatagram(const Datagram& datagram, TimePoint now) {
  capnp::MallocMessageBuilder message;
  const auto root = message.initRoot<wire::Datagram>();
  const auto encode = [&root, now](const auto& content) {
    using Content = std::decay_t<decltype(content)>;
    if constexpr (std::is_same_v<Content, StoreUpdate>) {
      EncodeUpdate(content, now, root);
    } else if constexpr (std::is_same_v<Content, PlacementQuestion>) {
      EncodeQuestion(content, now, root);
    } else if constexpr (std::is_same_v<Content, StrikeReport>) {
      EncodeStrikes(content, now, root);
    } else if constexpr (std::is_same_v<Content, PartStrikes>) {
      EncodeExit(content, now, root);
    } else if constexpr (std::is_same_v<Content, StreamQuestion>) {
      EncodeStreamQuestion(content, now, root);
    } else if constexpr (std::is_same_v<Content, StreamAnswer>) {
      EncodeStreamAnswer(content, now, root);
    } else {
      Encode(content, root);
    }
  };
  std::visit(encode, datagram);
  return PackedBytes(message);
}

std::optional<Datagram> DecodeDatagram(std::string_view bytes, TimePoint now) {
  std::optional<Datagram> datagram;
  const bool ok = ReadPacked(bytes, [&datagram, now](capnp::MessageReader& message) {
    datagram = DecodeRoot(message.getRoot<wire::Datagram>(), now);
  });
  return ok ? datagram : std::nullopt;
}

}  // namespace cartsail
