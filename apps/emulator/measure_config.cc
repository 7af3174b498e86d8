// cartsail-emulator measure-config: memory and time of the settings' snapshot by number of tenants.
#include <fmt/format.h>
#include <unistd.h>

#include <fstream>

#include "cartsail/base/hash.h"
#include "cartsail/base/status.h"
#include "cartsail/config/snapshot.h"
#include "flag_types.h"
#include "subcommands.h"

namespace cartsail::emulator {
namespace {

constexpr int kRepeats = 200;

size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

// A tenant with two services of two classes each and one key.
Branch MakeTenant(int64_t number, int64_t revision) {
  Branch branch;
  branch.tenant = fmt::format("tenant-{}", number);
  branch.revision = revision;
  branch.settings["rate_limit"] = "200";
  branch.keys.push_back({"k1", Sha256Hex(branch.tenant)});
  for (const char* service : {"assistant", "desk"}) {
    branch.services[service].settings["ttft_target"] = "930ms";
    branch.services[service].classes["urgent"]["tier"] = "0";
    branch.services[service].classes["bulk"]["tier"] = "4";
  }
  return branch;
}

BranchDocument DocumentOf(const Branch& branch) {
  return {branch.tenant, SerializeBranch(branch), branch.revision};
}

template <typename Work>
double MicrosPerCall(int count, Work work) {
  const TimePoint before = Now();
  for (int i = 0; i < count; ++i) work(i);
  return ToSeconds(Now() - before) * 1e6 / count;
}

void MeasureOne(int64_t tenants) {
  ConfigDelta delta;
  delta.revision = 1;
  for (int64_t i = 0; i < tenants; ++i) delta.branches.push_back(DocumentOf(MakeTenant(i, 1)));
  size_t document_bytes = 0;
  for (const BranchDocument& document : delta.branches) document_bytes += document.text.size();
  const size_t before = ResidentBytes();
  const TimePoint start = Now();
  ConfigSnapshotPtr snapshot = ConfigSnapshot::Empty()->Apply(delta).value();
  const double load_ms = ToMillis(Now() - start);
  const size_t resident = ResidentBytes() - before;
  const double apply = MicrosPerCall(kRepeats, [&](int i) {
    ConfigDelta change;
    change.since = snapshot->Revision();
    change.revision = change.since + 1;
    change.branches.push_back(DocumentOf(MakeTenant(i % tenants, change.revision)));
    snapshot = snapshot->Apply(change).value();
  });
  const double resolve = MicrosPerCall(kRepeats, [&](int i) {
    const auto policy =
        snapshot->Resolve(fmt::format("tenant-{}", i % tenants), "assistant", "urgent");
    if (!policy.ok()) fmt::print("resolve failed\n");
  });
  const double find_key = MicrosPerCall(kRepeats, [&](int i) {
    const std::string key = Sha256Hex(fmt::format("tenant-{}", i % tenants));
    if (snapshot->TenantOfKey(key).empty()) fmt::print("key not found\n");
  });
  const double since =
      MicrosPerCall(20, [&](int) { snapshot->DeltaSince(snapshot->Revision() - 1); });
  fmt::print(
      "{:>8} tenants: {:>9} document bytes, {:>9} bytes held, {:>9} resident; load {:.0f} ms, "
      "one change {:.0f} us, delta {:.0f} us, resolve {:.1f} us, find key {:.1f} us\n",
      tenants, document_bytes, snapshot->ApproximateBytes(), resident, load_ms, apply, since,
      resolve, find_key);
}

}  // namespace

absl::Status RunMeasureConfigCommand(const std::vector<std::string>& arguments) {
  int64_t tenants = 37000;
  FlagSet flags("cartsail-emulator measure-config",
                "Memory and time of the settings by number of tenants", "EMULATOR_");
  flags.Integer("tenants", "Number of tenants", &tenants, 1, 10000000);
  bool exit_now = false;
  const absl::Status status = flags.Parse(arguments, &exit_now);
  if (!status.ok() || exit_now) return status;
  MeasureOne(tenants);
  return absl::OkStatus();
}

}  // namespace cartsail::emulator
