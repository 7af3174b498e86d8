#include "cartsail/base/signals.h"

#include <csignal>

namespace cartsail {
namespace {

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

void BlockSignals() {
  const sigset_t signals = HandledSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

void UnblockSignals() {
  const sigset_t signals = HandledSignals();
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace cartsail
