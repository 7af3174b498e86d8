// What the connections of several nodes show about a backend that refuses one of them. Guards
// against taking refusals by a network path for an exit: when the paths of five of eight nodes
// refused connections, 57 requests were held responsible for exits of engines, none of which had
// exited.
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

Test(end_evidence, one_node_that_connects_settles_the_verdict) {
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

Test(end_evidence, without_other_attempts_the_verdict_is_unknown) {
  cr_assert(VerdictOf(kRefused, {}) == PathVerdict::kUnknown);
  cr_assert(VerdictOf(kFailed, {}) == PathVerdict::kUnknown);
}

Test(end_evidence, a_node_without_peers_relies_on_its_own_result) {
  cr_assert(VerdictOf(kRefused, {}, false) == PathVerdict::kEnded);
  cr_assert(VerdictOf(kFailed, {}, false) == PathVerdict::kUnknown);
}

}  // namespace
}  // namespace cartsail
