// Records quarantines in the store, each under a lease of the same length, so that they survive a
// restart of the whole fleet. Not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <set>
#include <string>

#include "cartsail/store/key_value_store.h"
#include "quarantine/quarantine_service.h"

namespace cartsail {

class QuarantineRecorder {
 public:
  // `prefix`: of the records' keys, before FingerprintText().
  QuarantineRecorder(boost::asio::io_context& io, KeyValueStore& store, std::string prefix,
                     QuarantineService& service);

 private:
  boost::asio::awaitable<void> Record(QuarantinedRequest quarantined, size_t rank);
  boost::asio::awaitable<void> Erase(RequestFingerprint request);
  boost::asio::awaitable<bool> IsRecorded(const std::string& key);
  // `value`: the parts of a group, in the format of PartsText(); empty for a single request.
  boost::asio::awaitable<absl::Status> Write(const std::string& key, const std::string& value);
  boost::asio::awaitable<void> Pause(Duration duration);
  std::string KeyOf(RequestFingerprint request) const;
  bool IsStillQuarantined(RequestFingerprint request) const;

  boost::asio::io_context& io_;
  KeyValueStore& store_;
  std::string prefix_;
  QuarantineService& service_;
  std::set<RequestFingerprint> recording_;  // requests whose Record() runs
};

}  // namespace cartsail
