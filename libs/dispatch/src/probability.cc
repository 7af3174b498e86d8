#include "probability.h"

#include <cmath>

namespace cartsail {
namespace {

// Beyond this many spreads the probability is below 0.0004 and taken as 0: most prompts are short,
// and evaluating the exponential takes most of the time of a placement.
constexpr double kTail = 8;

}  // namespace

double Logistic(double x) {
  if (x < -kTail) return 0;
  if (x > kTail) return 1;
  return 1 / (1 + std::exp(-x));
}

}  // namespace cartsail
