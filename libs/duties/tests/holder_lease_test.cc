// Tests when the holder of a duty may act.
#include "cartsail/duties/holder_lease.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr LeaseTiming kTiming{seconds(3), milliseconds(300)};

TimePoint At(double seconds_in) { return TimePoint() + FromSeconds(100 + seconds_in); }

Test(holder_lease, a_holder_acts_from_its_lease_on_until_it_may_have_run_out) {
  HolderLease lease(kTiming, TimePoint());
  cr_assert(!lease.MayAct(At(0)).has_value());
  lease.OnAcquired(7, At(0));
  cr_assert(lease.MayAct(At(0.1)) == 7);
  cr_assert(lease.MayAct(At(2.69)) == 7);
  cr_assert(!lease.MayAct(At(2.7)).has_value());
}

Test(holder_lease, a_renewal_counts_from_when_it_was_asked_for) {
  HolderLease lease(kTiming, TimePoint());
  lease.OnAcquired(7, At(0));
  lease.OnRenewed(At(1));
  cr_assert(lease.MayAct(At(3.69)) == 7);
  cr_assert(!lease.MayAct(At(3.7)).has_value());
}

// A process that was paused beyond its lease renews it afterwards.
Test(holder_lease, a_renewal_asked_for_after_the_end_revives_nothing) {
  HolderLease lease(kTiming, TimePoint());
  lease.OnAcquired(7, At(0));
  lease.OnRenewed(At(5));
  cr_assert(!lease.IsHeld(At(5.1)));
}

Test(holder_lease, a_process_that_started_lately_waits_a_lease_before_it_acts) {
  HolderLease lease(kTiming, At(0));
  lease.OnAcquired(7, At(1));
  cr_assert(lease.IsHeld(At(2)));
  cr_assert(!lease.MayAct(At(2)).has_value());
  lease.OnRenewed(At(3));
  cr_assert(lease.MayAct(At(3.4)) == 7);
}

// This node acted, lost the duty to another node, and regained it (A, B, A).
Test(holder_lease, a_node_that_has_the_duty_again_waits_a_lease_after_its_last_act) {
  HolderLease lease(kTiming, TimePoint());
  lease.OnAcquired(7, At(0));
  lease.NoteAct(At(1));
  lease.OnLost();
  lease.OnAcquired(9, At(2));
  cr_assert(!lease.MayAct(At(4.2)).has_value());
  cr_assert(lease.MayAct(At(4.4)) == 9);
}

}  // namespace
}  // namespace cartsail
