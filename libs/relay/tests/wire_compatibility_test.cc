// While nodes are upgraded one after the other, builds of both versions talk to each other and read
// each other's records in the store. The bytes in data/ were written by the build before the last
// upgrade: this build must read from them what was meant, and write the same, so that the earlier
// one reads that too.
#include <absl/strings/escaping.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "cartsail/duties/usage_record.h"
#include "support/wire_samples.h"
#include "testing/criterion.h"
#include "wire/capnp_bytes.h"
#include "wire/messages.capnp.h"
#include "wire/zstd_frame.h"

namespace cartsail {
namespace {

using testing::kSampleTime;

// Lines of a name and bytes in hexadecimal.
std::map<std::string, std::string> EarlierBytes() {
  std::ifstream file(CARTSAIL_WIRE_DATA "/wire-24426ac.txt");
  cr_assert(file.good(), "no recorded bytes");
  std::map<std::string, std::string> bytes;
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string name;
    std::string hex;
    fields >> name >> hex;
    const auto text = absl::HexStringToBytes(hex);
    bytes[name] = std::string(text.data(), text.size());
  }
  return bytes;
}

Test(wire_compatibility, datagrams_of_the_earlier_build_are_read_as_they_were_meant) {
  const std::map<std::string, std::string> earlier = EarlierBytes();
  for (const testing::DatagramSample& sample : testing::DatagramSamples()) {
    const auto bytes = earlier.find("datagram/" + sample.name);
    cr_assert(bytes != earlier.end(), "%s", sample.name.c_str());
    const std::optional<Datagram> read = DecodeDatagram(bytes->second, kSampleTime);
    cr_assert(read.has_value(), "%s", sample.name.c_str());
    cr_assert(EncodeDatagram(*read, kSampleTime) == EncodeDatagram(sample.datagram, kSampleTime),
              "%s", sample.name.c_str());
  }
}

// Without what a build reserves for fields that are not set. A reader passes over fields that it
// does not know, so two messages with one such form say the same to every build.
template <typename Root>
std::string WithoutUnsetFields(const std::string& bytes) {
  std::string form;
  const bool ok = ReadPacked(bytes, [&form](capnp::MessageReader& message) {
    const kj::Array<capnp::word> words = capnp::canonicalize(message.getRoot<Root>());
    const auto chars = words.asBytes().asChars();
    form.assign(chars.begin(), chars.end());
  });
  cr_assert(ok);
  return form;
}

Test(wire_compatibility, datagrams_are_written_as_the_earlier_build_reads_them) {
  const std::map<std::string, std::string> earlier = EarlierBytes();
  for (const testing::DatagramSample& sample : testing::DatagramSamples()) {
    const std::string bytes = EncodeDatagram(sample.datagram, kSampleTime);
    const std::string& before = earlier.at("datagram/" + sample.name);
    cr_assert(
        WithoutUnsetFields<wire::Datagram>(bytes) == WithoutUnsetFields<wire::Datagram>(before),
        "%s", sample.name.c_str());
  }
}

// Back ends from which a node backs off are named among those tried: no field of its own that the
// earlier build would not read.
Test(wire_compatibility, a_question_excludes_back_ends_where_the_earlier_build_looks) {
  const std::map<std::string, std::string> earlier = EarlierBytes();
  const auto read = DecodeDatagram(earlier.at("datagram/question"), kSampleTime);
  const auto& question = std::get<PlacementQuestion>(*read);
  cr_assert(question.tried == (std::vector<BackendKey>{11, 12}));
  cr_assert(question.profile.residency == (std::vector<std::string>{"east", "west"}));
}

Test(wire_compatibility, catalogs_are_read_and_written_alike) {
  const std::string earlier = EarlierBytes().at("catalog");
  const std::optional<CatalogMessage> read = DecodeCatalog(earlier, kSampleTime);
  cr_assert(read.has_value() && read->backends.size() == 2 && read->quarantined.size() == 1);
  cr_assert(read->backends[0].started_ms == 1800000000001);
  const auto meaning_of = [](const std::string& frame) {
    const absl::StatusOr<std::string> packed = DecompressFrame({}, frame);
    cr_assert(packed.ok());
    return WithoutUnsetFields<wire::Catalog>(*packed);
  };
  cr_assert(meaning_of(EncodeCatalog(*read, kSampleTime)) == meaning_of(earlier));
  cr_assert(meaning_of(EncodeCatalog(testing::CatalogSample(), kSampleTime)) ==
            meaning_of(earlier));
}

// Back ends' keys, fingerprints of requests, who counts strikes, who places: nodes that derived
// them in another way would take each other's words for those of others.
Test(wire_compatibility, what_nodes_derive_is_derived_alike) {
  const std::map<std::string, std::string> earlier = EarlierBytes();
  for (const testing::DerivedSample& sample : testing::DerivedSamples()) {
    cr_assert(sample.text == earlier.at("derived/" + sample.name), "%s is %s", sample.name.c_str(),
              sample.text.c_str());
  }
}

Test(wire_compatibility, records_of_usage_are_read_and_written_alike) {
  const TenantCounts counts = {{"a=b", 3}, {"one", 7}};
  cr_assert(UsageRecordKey(360000000) == "cartsail/usage/360000000");
  cr_assert(UsageRecordWindow("cartsail/usage/360000000", 0, 400000000) == 360000000);
  cr_assert(EncodeUsageRecord(counts) == "a=b=3\none=7\n");
  cr_assert(DecodeUsageRecord("a=b=3\none=7\n\n") == counts);
}

}  // namespace
}  // namespace cartsail
