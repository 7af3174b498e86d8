#include "cartsail/base/signals.h"

#include <csignal>

namespace cartsail {
namespace {

sigset_t HeldSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

void HoldSignals() {
  const sigset_t signals = HeldSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

void ReleaseSignals() {
  const sigset_t signals = HeldSignals();
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace cartsail
