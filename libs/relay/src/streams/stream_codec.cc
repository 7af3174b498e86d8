#include "streams/stream_codec.h"

#include "wire/capnp_bytes.h"
#include "wire/wire_number.h"

namespace cartsail {
namespace {

void EncodeRecord(const StreamRecord& record, TimePoint now, wire::StreamRecord::Builder entry) {
  entry.setKey(record.key);
  entry.setVersion(record.version);
  entry.setEngine(record.engine);
  entry.setStartedMs(record.started_ms);
  entry.setConfirmed(record.is_confirmed);
  entry.setLeftMs(BoundedTo<uint32_t>(ToMillis(record.until - now)));
  entry.setAgeMs(BoundedTo<uint32_t>(ToMillis(now - record.begun)));
}

StreamRecord DecodeRecord(wire::StreamRecord::Reader entry, TimePoint now) {
  StreamRecord record;
  record.key = entry.getKey();
  record.version = TextOf(entry.getVersion());
  record.engine = TextOf(entry.getEngine());
  record.started_ms = entry.getStartedMs();
  record.is_confirmed = entry.getConfirmed();
  record.until = now + milliseconds(entry.getLeftMs());
  record.begun = now - milliseconds(entry.getAgeMs());
  return record;
}

}  // namespace

void EncodeStreamQuestion(const StreamQuestion& question, TimePoint now,
                          wire::Datagram::Builder datagram) {
  auto root = datagram.initStreamQuestion();
  root.setId(question.id);
  root.setKind(static_cast<uint8_t>(question.kind));
  root.setService(question.service);
  root.setStream(question.stream);
  root.setVersion(question.version);
  auto records = root.initRecords(static_cast<unsigned>(question.records.size()));
  for (unsigned i = 0; i < records.size(); ++i) EncodeRecord(question.records[i], now, records[i]);
}

void EncodeStreamAnswer(const StreamAnswer& answer, TimePoint now,
                        wire::Datagram::Builder datagram) {
  auto root = datagram.initStreamAnswer();
  root.setId(answer.id);
  root.setYes(answer.is_yes);
  root.setSource(static_cast<uint8_t>(answer.source));
  root.setLedgerSize(answer.ledger_size);
  root.setHoldsMs(BoundedTo<uint32_t>(ToMillis(answer.holds)));
  if (answer.source != VersionSource::kNone) EncodeRecord(answer.record, now, root.initRecord());
}

std::optional<StreamQuestion> DecodeStreamQuestion(wire::StreamQuestion::Reader root,
                                                   TimePoint now) {
  if (root.getKind() >= kStreamQuestionKinds) return std::nullopt;
  StreamQuestion question;
  question.id = root.getId();
  question.kind = static_cast<StreamQuestionKind>(root.getKind());
  question.service = TextOf(root.getService());
  question.stream = root.getStream();
  question.version = TextOf(root.getVersion());
  for (const auto record : root.getRecords()) {
    question.records.push_back(DecodeRecord(record, now));
  }
  return question;
}

std::optional<StreamAnswer> DecodeStreamAnswer(wire::StreamAnswer::Reader root, TimePoint now) {
  if (root.getSource() >= kVersionSources) return std::nullopt;
  StreamAnswer answer;
  answer.id = root.getId();
  answer.is_yes = root.getYes();
  answer.source = static_cast<VersionSource>(root.getSource());
  answer.ledger_size = root.getLedgerSize();
  answer.holds = milliseconds(root.getHoldsMs());
  if (root.hasRecord()) answer.record = DecodeRecord(root.getRecord(), now);
  return answer;
}

}  // namespace cartsail
