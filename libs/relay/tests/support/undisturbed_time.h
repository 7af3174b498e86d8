// Time as a test on a busy machine is to count it.
#pragma once

#include <fstream>

#include "cartsail/base/clock.h"

namespace cartsail::testing {

// How long this thread was ready to run, and others had the processors, since it began. Source: the
// kernel's scheduler statistics; 0 where it keeps none.
inline Duration HeldUpTime() {
  std::ifstream statistics("/proc/thread-self/schedstat");
  int64_t ran_ns = 0;
  int64_t waited_ns = 0;
  statistics >> ran_ns >> waited_ns;
  return FromSeconds(static_cast<double>(waited_ns) * 1e-9);
}

// Goes on only while nobody else keeps this thread from running: a bound on it holds whatever else
// the machine does, and is as strict as one in real time where it does nothing else.
class UndisturbedTime {
 public:
  Duration Passed() const { return Now() - begun_ - (HeldUpTime() - held_up_); }

 private:
  TimePoint begun_ = Now();
  Duration held_up_ = HeldUpTime();
};

}  // namespace cartsail::testing
