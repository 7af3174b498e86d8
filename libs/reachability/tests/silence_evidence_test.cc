// Whether the silence of one back end is a fault of its own or that of most of its service.
#include "cartsail/reachability/silence_evidence.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kNow = TimePoint(seconds(100));
constexpr BackendKey kOwn = 1;

BackendActivity Silent(BackendKey key, Duration silence) {
  const TimePoint since = kNow - silence;
  return {key, true, since, since, since - seconds(5)};
}

BackendActivity Speaking(BackendKey key) {
  return {key, true, kNow - seconds(5), kNow - milliseconds(30), kNow - seconds(5)};
}

SilenceEvidence EvidenceWith(const std::vector<BackendActivity>& service) {
  return EvidenceOfSilence(kOwn, kNow - seconds(1), kNow, service);
}

Test(silence_evidence, one_silent_back_end_among_speaking_ones_is_no_silence_of_the_service) {
  const SilenceEvidence evidence =
      EvidenceWith({Silent(kOwn, seconds(1)), Speaking(2), Speaking(3)});
  cr_assert(evidence.silent_for == seconds(1));
  cr_assert_eq(evidence.others_silent, 0);
  cr_assert_eq(evidence.others_speaking, 2);
  cr_assert(!evidence.IsServiceWide());
}

Test(silence_evidence, most_back_ends_silent_at_once_is_a_silence_of_the_service) {
  const SilenceEvidence evidence =
      EvidenceWith({Silent(kOwn, seconds(1)), Speaking(2), Silent(3, milliseconds(900)),
                    Silent(4, milliseconds(600))});
  cr_assert_eq(evidence.others_silent, 2);
  cr_assert(evidence.IsServiceWide());
}

Test(silence_evidence, half_of_the_others_silent_is_no_silence_of_the_service) {
  cr_assert(!EvidenceWith({Silent(kOwn, seconds(1)), Speaking(2), Silent(3, seconds(1))})
                 .IsServiceWide());
}

Test(silence_evidence, a_back_end_without_pending_responses_is_not_silent) {
  BackendActivity idle = Silent(2, seconds(3));
  idle.is_waiting = false;
  const SilenceEvidence evidence = EvidenceWith({Silent(kOwn, seconds(1)), idle});
  cr_assert_eq(evidence.others_silent, 0);
  cr_assert_eq(evidence.others_speaking, 0);
}

Test(silence_evidence, a_response_requested_a_moment_ago_is_not_overdue) {
  BackendActivity fresh = Silent(2, milliseconds(50));
  fresh.heard = kNow - seconds(9);
  cr_assert_eq(EvidenceWith({Silent(kOwn, seconds(1)), fresh}).others_silent, 0);
}

// Open connections may fall silent for good while new ones to the same back ends work.
Test(silence_evidence, a_back_end_that_speaks_on_other_connections_is_judged_alone) {
  const SilenceEvidence evidence =
      EvidenceWith({Speaking(kOwn), Silent(2, seconds(1)), Silent(3, seconds(1))});
  cr_assert(evidence.backend_speaks);
  cr_assert(!evidence.IsServiceWide());
}

Test(silence_evidence, a_back_end_that_has_just_woken_up_may_yet_go_on_with_the_attempt) {
  BackendActivity awake = Speaking(kOwn);
  awake.speaking_since = kNow - milliseconds(100);
  cr_assert(!EvidenceWith({awake}).backend_speaks);
}

Test(silence_evidence, silent_backends_are_those_with_overdue_responses) {
  const std::vector<BackendKey> silent = SilentBackends(
      milliseconds(500), kNow,
      {Silent(1, seconds(1)), Speaking(2), Silent(3, milliseconds(400)), Silent(4, seconds(2))});
  cr_assert_eq(silent.size(), 2);
  cr_assert_eq(silent[0], 1);
  cr_assert_eq(silent[1], 4);
}

}  // namespace
}  // namespace cartsail
