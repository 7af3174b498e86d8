#include "cartsail/operations/trace.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

const std::vector<LogLine> kLines = {
    ParseLogLine("n1",
                 "  1.5 n1 ts=2026-01-01T00:00:02.500Z level=warning event=request request=r1 "
                 "config=10 config_age_ms=20 backend=b1 result=cut status=200 ms=900 bytes=77"),
    ParseLogLine("n1",
                 "ts=2026-01-01T00:00:02.400Z level=warning event=attempt request=r1 "
                 "backend=b1 address=1.2.3.4:5 outcome=cut"),
    ParseLogLine("n2",
                 "ts=2026-01-01T00:00:03.000Z event=request request=r2 config=0 "
                 "result=not_ready status=503 note=\"a \\\"b\\\" c\" ms=1"),
    ParseLogLine("n2",
                 "ts=2026-01-01T00:00:04.000Z event=attempt request=r3 backend=b2 outcome=cut"),
    ParseLogLine("n2", "level=warning event=log_dropped lines=12"),
};

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Test(trace, lines_are_read_with_quotes_and_prefixes) {
  cr_assert(kLines[0].event == "request" && kLines[0].Field("bytes") == "77");
  cr_assert(kLines[2].Field("note") == "a \"b\" c" && kLines[2].Field("ms") == "1");
  cr_assert(ParseLogLine("n", "").event.empty());
  cr_assert(ParseLogLine("n", "a=\"open").Field("a") == "open");
}

Test(trace, a_cut_stream_names_the_back_end) {
  const RequestTrace trace = TraceRequest("r1", kLines);
  cr_assert(trace.steps.size() == 2 && trace.steps[0].event == "attempt");
  cr_assert(Has(trace.cause, "cut after 77 bytes") && Has(trace.cause, "b1 (1.2.3.4:5)"));
  cr_assert(trace.missing.size() == 1 && Has(trace.missing[0], "dropped"));
}

Test(trace, a_refusal_names_what_was_not_known) {
  const RequestTrace trace = TraceRequest("r2", kLines);
  cr_assert(Has(trace.cause, "refused without having run") && Has(trace.cause, "no configuration"));
}

Test(trace, what_is_missing_is_said) {
  cr_assert(Has(TraceRequest("r3", kLines).cause, "unknown"));
  cr_assert(TraceRequest("r3", kLines).missing.size() == 2);
  cr_assert(Has(TraceRequest("none", kLines).missing[1], "the log of the node"));
}

}  // namespace
}  // namespace cartsail
