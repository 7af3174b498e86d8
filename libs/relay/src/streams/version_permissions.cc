// Permissions to start streams at a version: granted by the ledger in the store, and passed on by
// nodes that hold them.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "cartsail/base/log.h"
#include "streams/stream_service.h"

namespace cartsail {
namespace {

namespace asio = boost::asio;

constexpr Duration kPermissionTimeout = milliseconds(60);
constexpr Duration kRegistrationTimeout = milliseconds(300);
constexpr Duration kPermissionRetryInterval = milliseconds(200);
constexpr Duration kPermissionRenewalInterval = seconds(10);

}  // namespace

bool StreamService::IsPermitted(const ServiceVersion& version, TimePoint now) const {
  const auto permitted = permitted_.find(version);
  return permitted != permitted_.end() && now < permitted->second;
}

void StreamService::Permit(const ServiceVersion& version, uint32_t ledger_size, TimePoint until) {
  TimePoint& known = permitted_[version];
  if (known < Now()) {
    Log(LogLevel::kInfo, "version_permitted",
        {{"service", version.first},
         {"version", version.second},
         {"versions", std::to_string(ledger_size)}});
  }
  known = std::max(known, until);
  if (ledger_size > 0) ledger_sizes_[version.first] = ledger_size;
}

// Obtains permissions before requests need them.
void StreamService::PrefetchPermissions(TimePoint now) {
  if (store_ == nullptr || routing_.Table() == nullptr) return;
  std::set<std::string> services;
  for (const RouteRule& route : routing_.Table()->Document().routes) {
    if (route.kind != RequestKind::kStream || !route.resumable) continue;
    for (const ServiceShare& share : route.shares) services.insert(share.service);
  }
  for (const std::string& service : services) {
    for (const std::string& version : history_.VersionsOf(service, now)) {
      const ServiceVersion wanted{service, version};
      if (IsPermitted(wanted, now + kPermissionValidity / 2)) continue;
      Registration& registration = registrations_[wanted];
      if (now < registration.not_before) continue;
      registration.not_before =
          now + (IsPermitted(wanted, now) ? kPermissionRenewalInterval : kPermissionRetryInterval);
      asio::co_spawn(io_, PrefetchPermission(service, version), asio::detached);
    }
  }
}

asio::awaitable<void> StreamService::PrefetchPermission(std::string service, std::string version) {
  (void)co_await RequestPermission(std::move(service), std::move(version));
}

asio::awaitable<bool> StreamService::MayBegin(std::string service, std::string version) {
  // Streams that start on an engine of unknown version cannot be resumed and need no permission.
  if (store_ == nullptr || version.empty()) co_return true;
  if (IsPermitted({service, version}, Now())) co_return true;
  co_return co_await RequestPermission(service, version);
}

asio::awaitable<bool> StreamService::RequestPermission(std::string service, std::string version) {
  const ServiceVersion wanted{service, version};
  const TimePoint asked = Now();
  const std::vector<std::string> keepers = Keepers(service, asked);
  const std::optional<size_t> rank = OwnRank(keepers);
  if (rank != 0U) {
    StreamQuestion question;
    question.kind = StreamQuestionKind::kMayBegin;
    question.service = service;
    question.version = version;
    const std::optional<StreamAnswer> answer =
        co_await Ask(keepers, std::move(question), kPermissionTimeout);
    if (answer.has_value() && answer->is_yes) {
      // Counted from the question, so that passing a permission on does not extend it.
      Permit(wanted, answer->ledger_size, asked + answer->holds);
      co_return true;
    }
    // Once a keeper has refused, only keepers turn to the store: under the load of all nodes, a
    // store that does not answer the keepers would not recover.
    if (answer.has_value() && !rank.has_value()) co_return false;
  }
  co_return co_await AwaitRegistration(service, version, Now() + kRegistrationTimeout);
}

asio::awaitable<bool> StreamService::AwaitRegistration(std::string service, std::string version,
                                                       TimePoint deadline) {
  const ServiceVersion wanted{service, version};
  if (store_ == nullptr) co_return false;
  if (!registrations_[wanted].is_running) {
    registrations_[wanted].is_running = true;
    asio::co_spawn(io_, Register(service, version), asio::detached);
  }
  while (registrations_[wanted].is_running && Now() < deadline) co_await Pause(kReadPollInterval);
  co_return IsPermitted(wanted, Now());
}

asio::awaitable<void> StreamService::Register(std::string service, std::string version) {
  const TimePoint asked = Now();
  const absl::StatusOr<VersionLedger> ledger = co_await store_->Register(service, version);
  registrations_[{service, version}].is_running = false;
  if (ledger.ok()) {
    Permit({service, version}, static_cast<uint32_t>(ledger->Versions().size()),
           asked + kPermissionValidity);
    co_return;
  }
  Log(LogLevel::kWarning, "version_not_registered",
      {{"service", service},
       {"version", version},
       {"why", std::string(ledger.status().message())}});
}

asio::awaitable<void> StreamService::AnswerMayBegin(std::string host, StreamQuestion question) {
  const ServiceVersion wanted{question.service, question.version};
  StreamAnswer answer;
  answer.id = question.id;
  answer.is_yes = IsPermitted(wanted, Now() + kPermissionValidity / 2);
  if (!answer.is_yes) {
    answer.is_yes = co_await AwaitRegistration(question.service, question.version,
                                               Now() + kRegistrationTimeout);
  }
  if (answer.is_yes) {
    answer.ledger_size = ledger_sizes_[question.service];
    answer.holds = permitted_[wanted] - Now();
  }
  send_(host, answer);
}

}  // namespace cartsail
