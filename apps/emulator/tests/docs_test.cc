// The operators' page names every counter and every setting, with the text that the code gives.
#include <fstream>
#include <sstream>

#include "cartsail/base/counters.h"
#include "cartsail/base/histogram.h"
#include "cartsail/config/schema.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

std::string ReadPage() {
  std::ifstream file(std::string(CARTSAIL_SOURCE_DIR) + "/docs/OPERATIONS.md");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Test(docs, every_counter_is_described) {
  const std::string page = ReadPage();
#define CARTSAIL_CHECK_COUNTER(name, kind, help)                                               \
  cr_expect(page.find("| `cartsail_" #name "` | " #kind " | " help " |") != std::string::npos, \
            #name);
  CARTSAIL_COUNTERS(CARTSAIL_CHECK_COUNTER)
#undef CARTSAIL_CHECK_COUNTER
}

Test(docs, every_histogram_is_described) {
  const std::string page = ReadPage();
#define CARTSAIL_CHECK_HISTOGRAM(name, help) \
  cr_expect(page.find("| `cartsail_" #name "` | " help " |") != std::string::npos, #name);
  CARTSAIL_HISTOGRAMS(CARTSAIL_CHECK_HISTOGRAM)
#undef CARTSAIL_CHECK_HISTOGRAM
}

Test(docs, every_setting_is_described) {
  const std::string page = ReadPage();
  for (const SettingSpec& spec : SettingSchema()) {
    const std::string row = "| `" + std::string(spec.name) + "` | ";
    const size_t position = page.find(row);
    cr_assert(position != std::string::npos, "%s", row.c_str());
    const std::string line = page.substr(position, page.find('\n', position) - position);
    cr_expect(line.find("`" + std::string(spec.default_value) + "`") != std::string::npos, "%s",
              line.c_str());
    cr_expect(line.find(std::string(spec.help)) != std::string::npos, "%s", line.c_str());
  }
}

}  // namespace
}  // namespace cartsail
