#include <set>

#include "cartsail/base/counters.h"
#include "cartsail/base/flags.h"
#include "cartsail/base/hash.h"
#include "cartsail/base/json.h"
#include "cartsail/base/status.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

Test(status, every_kind_survives_the_trip_through_a_status) {
  std::set<std::string_view> names;
  for (int i = 0; i <= static_cast<int>(ErrorKind::kCancelled); ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    cr_assert(KindOf(MakeError(kind, "x")) == kind, "%d", i);
    cr_assert(names.insert(ErrorKindName(kind)).second, "names differ");
    cr_assert(HttpStatusFor(kind) >= 400);
  }
  cr_assert(KindOf(absl::InternalError("x")) == ErrorKind::kInternal);
}

Test(hash, secrets) {
  cr_assert(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  cr_assert(ConstantTimeEqual("abc", "abc"));
  cr_assert(!ConstantTimeEqual("abc", "abd") && !ConstantTimeEqual("abc", "ab"));
  cr_assert(RandomHex(8).size() == 16 && RandomHex(8) != RandomHex(8));
}

Test(json, members_of_other_types_are_absent) {
  const json::object object = ParseJsonObject(R"({"a":"x","n":3,"s":"12","b":true})").value();
  cr_assert(GetString(object, "a") == "x" && GetString(object, "n", "d") == "d");
  cr_assert(GetInt(object, "n") == 3 && GetInt(object, "s") == 12 && GetInt(object, "a", 7) == 7);
  cr_assert(GetBool(object, "b") && !GetBool(object, "n"));
  cr_assert(KindOf(ParseJsonObject("[]").status()) == ErrorKind::kMalformedRequest);
  cr_assert(KindOf(ParseJsonObject("{").status()) == ErrorKind::kMalformedRequest);
  cr_assert(Base64Decode(Base64Encode(std::string("\0\xff k", 4))) == std::string("\0\xff k", 4));
}

Test(counters, rendered_with_help_and_type) {
  Counters counters;
  counters.requests_total.Add(3);
  const std::string text = RenderCounters(counters);
  cr_assert(text.find("cartsail_requests_total 3\n") != std::string::npos);
  cr_assert(text.find("# TYPE cartsail_members_live gauge\n") != std::string::npos);
}

Test(flags, flag_before_variable_before_default) {
  int64_t value = 5;
  bool exit_now = false;
  const auto parse = [&](const std::vector<std::string>& arguments) {
    FlagSet flags("test", "Test", "TESTPREFIX_");
    flags.Integer("some-number", "A number", &value, 1, 10);
    return flags.Parse(arguments, &exit_now);
  };
  cr_assert(parse({}).ok() && value == 5);
  setenv("TESTPREFIX_SOME_NUMBER", "7", 1);
  cr_assert(parse({}).ok() && value == 7);
  cr_assert(parse({"--some-number", "9"}).ok() && value == 9);
  const absl::Status bad = parse({"--some-number", "11"});
  cr_assert(KindOf(bad) == ErrorKind::kInvalidArgument);
  cr_assert(std::string(bad.message()).find("--some-number") != std::string::npos);
  setenv("TESTPREFIX_SOME_NUMBER", "x", 1);
  cr_assert(std::string(parse({}).message()).find("TESTPREFIX_SOME_NUMBER") != std::string::npos);
  cr_assert(KindOf(parse({"--other", "1"})) == ErrorKind::kInvalidArgument);
}

}  // namespace
}  // namespace cartsail
