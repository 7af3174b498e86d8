#include "cartsail/dispatch/warm_up_right.h"

namespace cartsail {

ColdRight ColdRightOf(const FleetView& view) {
  if (!view.is_first) return ColdRight::kNo;
  if (view.known == 0) return ColdRight::kYes;
  const bool sees_majority = 2 * (view.live + 1) > view.known + 1;
  return view.is_settled && sees_majority ? ColdRight::kYes : ColdRight::kNo;
}

}  // namespace cartsail
