#include "machine_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "cartsail/base/counters.h"
#include "cartsail/base/log.h"
#include "cartsail/base/timer.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

// Nodes that are no relays read the list themselves so much less often.
constexpr int kBackstopFactor = 30;
constexpr Duration kCallTimeout = seconds(2);

}  // namespace

MachineService::MachineService(asio::io_context& context, const NodeOptions& options,
                               std::function<bool()> is_relay,
                               std::function<void(const std::vector<Machine>&)> on_changed)
    : context_(context),
      options_(options),
      is_relay_(std::move(is_relay)),
      on_changed_(std::move(on_changed)) {}

void MachineService::Start() { asio::co_spawn(context_, Run(), asio::detached); }

Duration MachineService::NextPoll() {
  std::uniform_real_distribution<double> factor(0.75, 1.25);
  const int slower = is_relay_() || list_.version == 0 ? 1 : kBackstopFactor;
  return FromSeconds(ToSeconds(options_.machine_poll) * slower * factor(random_));
}

asio::awaitable<void> MachineService::Run() {
  Timer timer(context_);
  while (true) {
    absl::StatusOr<MachineList> list = co_await FetchMachineList(
        context_.get_executor(), options_.platform, list_.version, kCallTimeout);
    if (list.ok()) {
      last_contact_ = Now();
      GlobalCounters().platform_reachable.Set(1);
      // Versions only grow; a lower one is a stale read.
      if (list->version > list_.version) Apply(std::move(*list));
    } else {
      GlobalCounters().platform_errors_total.Add();
      GlobalCounters().platform_reachable.Set(0);
    }
    timer.expires_after(NextPoll());
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void MachineService::Apply(MachineList list) {
  list_ = std::move(list);
  Log(LogLevel::kInfo, "machine_list",
      {{"version", std::to_string(list_.version)},
       {"machines", std::to_string(list_.machines.size())}});
  on_changed_(list_.machines);
}

void MachineService::OnPeerVersion(const std::string& address, int64_t version) {
  if (version <= list_.version || fetching_) return;
  fetching_ = true;
  network_->FetchMachines(address, [this](const absl::StatusOr<MachineListText>& text) {
    fetching_ = false;
    if (!text.ok() || text->version <= list_.version) return;
    const absl::StatusOr<json::value> value = ParseJson(text->machines);
    if (!value.ok() || !value->is_array()) return;
    MachineList list;
    list.version = text->version;
    list.machines = DecodeMachines(value->as_array());
    Apply(std::move(list));
  });
}

MachineListText MachineService::Text() const {
  return {list_.version, json::serialize(EncodeMachines(list_.machines))};
}

}  // namespace cartsail
