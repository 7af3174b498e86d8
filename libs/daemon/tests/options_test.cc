#include "cartsail/daemon/options.h"

#include "cartsail/base/status.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

absl::StatusOr<NodeOptions> Parse(std::vector<std::string> extra) {
  std::vector<std::string> arguments = {"--node-id", "n1", "--zone", "z1"};
  arguments.insert(arguments.end(), extra.begin(), extra.end());
  bool exit_now = false;
  return ParseNodeOptions(arguments, &exit_now);
}

Test(options, defaults_are_valid_and_the_peer_address_is_advertised) {
  const auto options = Parse({"--peer", "127.0.0.1:9999"});
  cr_assert(options.ok());
  cr_assert(options->advertise == options->peer);
  cr_assert(options->admin.host == "127.0.0.1", "the admin port is on loopback by default");
}

Test(options, a_bad_value_names_its_flag_and_what_is_allowed) {
  struct Case {
    const char* flag;
    const char* value;
  };
  const Case cases[] = {
      {"--node-id", ""},
      {"--node-id", "a b"},
      {"--zone", "z/1"},
      {"--listen", "8080"},
      {"--listen", "host:80"},
      {"--admin", "127.0.0.1"},
      {"--peer", "127.0.0.1:x"},
      {"--advertise", "nowhere"},
      {"--platform", ""},
      {"--peers",
       "127.0.0.1:1,"
       "x"},
      {"--traffic-threads", "0"},
      {"--traffic-threads", "many"},
      {"--heartbeat-interval", "5"},
      {"--heartbeat-interval", "-1s"},
      {"--suspect-after", "soon"},
      {"--machine-poll", "25h"},
      {"--drain-delay", "1 s"},
      {"--drain-timeout", "ms"},
      {"--initial-window", "0"},
      {"--max-window", "1e9"},
      {"--max-body-bytes", "1"},
      {"--request-log", "-1"},
      {"--log-level", "loud"},
      {"--no-such-flag", "1"},
  };
  for (const Case& bad : cases) {
    const auto options = Parse({bad.flag, bad.value});
    cr_expect(KindOf(options.status()) == ErrorKind::kInvalidArgument, "%s %s", bad.flag,
              bad.value);
    const std::string message(options.status().message());
    cr_expect(message.find(std::string(bad.flag).substr(2)) != std::string::npos, "%s: %s",
              bad.flag, message.c_str());
  }
}

Test(options, values_that_do_not_fit_together_are_refused) {
  cr_assert(KindOf(Parse({"--initial-window", "20", "--max-window", "10"}).status()) ==
            ErrorKind::kInvalidArgument);
  cr_assert(KindOf(Parse({"--heartbeat-interval", "1s", "--suspect-after", "1s"}).status()) ==
            ErrorKind::kInvalidArgument);
}

Test(options, a_variable_stands_behind_every_flag) {
  setenv("CARTSAIL_DRAIN_DELAY", "7s", 1);
  cr_assert(Parse({})->drain_delay == seconds(7));
  cr_assert(Parse({"--drain-delay", "2s"})->drain_delay == seconds(2));
  setenv("CARTSAIL_DRAIN_DELAY", "never", 1);
  const auto options = Parse({});
  cr_assert(std::string(options.status().message()).find("CARTSAIL_DRAIN_DELAY") !=
            std::string::npos);
}

}  // namespace
}  // namespace cartsail
