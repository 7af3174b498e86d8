// Probability functions shared by the placement code. Performs no I/O.
#pragma once

namespace cartsail {

// The logistic function: the probability that a measurement exceeds its bound, where `x` is the
// expected excess over the bound in units of the spread.
double Logistic(double x);

}  // namespace cartsail
