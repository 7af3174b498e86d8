#include "cartsail/dispatch/grant_book.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kNow = TimePoint(seconds(1000));

OutstandingGrant Grant(PlacementTicket ticket, TimePoint granted) {
  return {ticket, PlacementGrant{}, granted};
}

Test(grant_book, a_grant_is_found_until_it_is_taken) {
  GrantBook book;
  book.Add("n1", 7, Grant(1, kNow));
  cr_assert(book.Find("n1", 7)->ticket == 1);
  cr_assert(book.Find("n2", 7) == nullptr && book.Find("n1", 8) == nullptr);
  cr_assert(book.Take("n1", 7) == PlacementTicket{1});
  cr_assert(!book.Take("n1", 7).has_value(), "an end that is reported twice counts once");
}

Test(grant_book, reconciling_ends_unlisted_grants_except_new_ones) {
  GrantBook book;
  book.Add("n1", 1, Grant(11, kNow - seconds(2)));
  book.Add("n1", 2, Grant(12, kNow - seconds(2)));
  book.Add("n1", 3, Grant(13, kNow - milliseconds(100)));
  book.Add("n2", 1, Grant(21, kNow - seconds(2)));
  const std::vector<PlacementTicket> ended = book.Reconcile("n1", {2}, kNow);
  cr_assert(ended == std::vector<PlacementTicket>{11});
  cr_assert(book.Size() == 3);
}

Test(grant_book, only_silent_nodes_lose_their_grants) {
  GrantBook book;
  book.Heard("n1", kNow);
  book.Heard("n2", kNow);
  book.Add("n1", 1, Grant(11, kNow));
  book.Add("n2", 1, Grant(21, kNow));
  book.Heard("n2", kNow + seconds(5));
  const std::vector<PlacementTicket> ended = book.TakeFromSilentNodes(kNow + GrantBook::kSilence);
  cr_assert(ended == std::vector<PlacementTicket>{11});
  cr_assert(book.Find("n2", 1) != nullptr);
}

}  // namespace
}  // namespace cartsail
