// Guards against reports of windows that never were: whoever left an odd key among the records of
// usage had the next holder of the duty report it to the platform.
#include "cartsail/duties/usage_record.h"

#include <string>

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr WindowNumber kFirst = 360000000;
constexpr WindowNumber kLast = 360000009;

std::optional<WindowNumber> WindowOf(const std::string& name) {
  return UsageRecordWindow(std::string(kUsageRecordPrefix) + name, kFirst, kLast);
}

Test(usage_record, a_key_that_names_no_window_to_report_is_skipped) {
  cr_expect(WindowOf("360000000") == kFirst && WindowOf("360000009") == kLast);
  for (const char* name : {"", "x", "-1", "359999999", "360000010", "360000000x", "360000000/a",
                           "1e300", "9223372036854775807", "99999999999999999999"}) {
    cr_expect(!WindowOf(name).has_value(), "%s", name);
  }
}

}  // namespace
}  // namespace cartsail
