#include "probability.h"

#include <cmath>

namespace cartsail {
namespace {

// Beyond this many spreads a chance is below 0.0004 and taken for none: most prompts are short, and
// the exponential is what placement spends most time on.
constexpr double kTail = 8;

}  // namespace

double Logistic(double x) {
  if (x < -kTail) return 0;
  if (x > kTail) return 1;
  return 1 / (1 + std::exp(-x));
}

}  // namespace cartsail
