// Shared by the parts of placement that weigh chances. Pure.
#pragma once

namespace cartsail {

// The logistic function: the chance that a measure is over its bound, `x` being by how many spreads
// it is expected to be.
double Logistic(double x);

}  // namespace cartsail
