// What several nodes' connections say of a back end that refuses one of them. Where the paths of
// five of eight nodes refused connections, 57 requests were held responsible for ends of engines,
// none of which had ended.
#include <vector>

#include "cartsail/reachability/reachability_evidence.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr ConnectResult kConnected = ConnectResult::kConnected;
constexpr ConnectResult kRefused = ConnectResult::kRefused;
constexpr ConnectResult kFailed = ConnectResult::kFailed;

PathVerdict VerdictOf(ConnectResult own, const std::vector<ConnectResult>& others,
                      bool may_ask = true) {
  ReachabilityEvidence evidence(own, may_ask);
  for (const ConnectResult other : others) evidence.Note(other);
  return evidence.Verdict();
}

Test(end_evidence, one_node_that_connects_settles_it) {
  cr_assert(VerdictOf(kRefused, {kConnected}) == PathVerdict::kCut);
  cr_assert(VerdictOf(kRefused, {kRefused, kRefused, kConnected}) == PathVerdict::kCut);
  cr_assert(VerdictOf(kFailed, {kFailed, kConnected}) == PathVerdict::kCut);
}

Test(end_evidence, a_refusal_is_proof_where_all_that_tried_were_refused) {
  cr_assert(VerdictOf(kRefused, {kRefused, kRefused}) == PathVerdict::kEnded);
  cr_assert(VerdictOf(kRefused, {kRefused, kFailed}) == PathVerdict::kUnreachable);
  cr_assert(VerdictOf(kFailed, {kRefused}) == PathVerdict::kUnreachable);
  cr_assert(VerdictOf(kFailed, {kFailed}) == PathVerdict::kUnreachable);
}

Test(end_evidence, nobody_else_that_tried_is_no_agreement) {
  cr_assert(VerdictOf(kRefused, {}) == PathVerdict::kUnknown);
  cr_assert(VerdictOf(kFailed, {}) == PathVerdict::kUnknown);
}

Test(end_evidence, a_node_that_knows_no_other_one_has_its_own_word) {
  cr_assert(VerdictOf(kRefused, {}, false) == PathVerdict::kEnded);
  cr_assert(VerdictOf(kFailed, {}, false) == PathVerdict::kUnknown);
}

}  // namespace
}  // namespace cartsail
