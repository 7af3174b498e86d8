#include "catalog/backend_news.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr TimePoint kNow = TimePoint(seconds(100));

Backend ColdFor(Duration left) {
  Backend backend;
  backend.id = "b";
  backend.service = "s";
  backend.address = "10.0.0.1:1";
  if (left > Duration(0)) backend.cold_until = kNow + left;
  return backend;
}

Test(backend_news, the_time_left_of_a_slow_start_is_none) {
  const Backend known = ColdFor(milliseconds(1800));
  cr_assert(IsRedundantUpdate(known, ColdFor(milliseconds(1800)), kNow));
  cr_assert(IsRedundantUpdate(known, ColdFor(milliseconds(2400)), kNow), "it was long on its way");
  cr_assert(IsRedundantUpdate(known, ColdFor(milliseconds(1600)), kNow));
  cr_assert(!IsRedundantUpdate(known, ColdFor(milliseconds(1000)), kNow), "it is warm earlier");
  cr_assert(!IsRedundantUpdate(known, ColdFor(Duration(0)), kNow));
  cr_assert(IsRedundantUpdate(known, ColdFor(Duration(0)), kNow + milliseconds(1700)));
  cr_assert(IsRedundantUpdate(known, ColdFor(Duration(0)), kNow + seconds(60)));
}

Test(backend_news, a_start_under_the_same_id_is_one) {
  cr_assert(!IsRedundantUpdate(ColdFor(Duration(0)), ColdFor(seconds(3)), kNow));
  Backend again = ColdFor(milliseconds(1800));
  again.started_ms = 7;
  cr_assert(!IsRedundantUpdate(ColdFor(milliseconds(1800)), again, kNow));
}

Test(backend_news, whatever_else_changes_is_one) {
  const Backend known = ColdFor(Duration(0));
  Backend told = known;
  told.state = BackendState::kLeaving;
  cr_assert(!IsRedundantUpdate(known, told, kNow));
  told = known;
  told.version = "another";
  cr_assert(!IsRedundantUpdate(known, told, kNow));
  told = known;
  told.zone = "elsewhere";
  cr_assert(!IsRedundantUpdate(known, told, kNow));
  told = known;
  told.created_revision = 5;
  cr_assert(!IsRedundantUpdate(known, told, kNow));
  Backend missing = known;
  missing.missing_until = kNow + seconds(1);
  cr_assert(!IsRedundantUpdate(missing, known, kNow), "its entry is back");
}

}  // namespace
}  // namespace cartsail
