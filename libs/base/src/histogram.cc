#include "cartsail/base/histogram.h"

#include <fmt/format.h>

namespace cartsail {

void Histogram::Note(Duration duration) {
  const double millis = ToMillis(duration);
  int bucket = 0;
  double bound = 1;
  while (bucket < kBounds && millis > bound) {
    ++bucket;
    bound *= 2;
  }
  buckets_[static_cast<size_t>(bucket)].fetch_add(1, std::memory_order_relaxed);
  count_.fetch_add(1, std::memory_order_relaxed);
  sum_us_.fetch_add(static_cast<int64_t>(millis * 1e3), std::memory_order_relaxed);
}

std::string Histogram::Render(const std::string& name, const std::string& help) const {
  std::string text =
      fmt::format("# HELP cartsail_{0} {1}\n# TYPE cartsail_{0} histogram\n", name, help);
  int64_t cumulative = 0;
  int64_t bound = 1;
  for (int i = 0; i < kBounds; ++i, bound *= 2) {
    cumulative += buckets_[static_cast<size_t>(i)].load(std::memory_order_relaxed);
    text += fmt::format("cartsail_{}_bucket{{le=\"{}\"}} {}\n", name, bound, cumulative);
  }
  const int64_t count = count_.load(std::memory_order_relaxed);
  text += fmt::format("cartsail_{}_bucket{{le=\"+Inf\"}} {}\n", name, count);
  const double sum_ms = static_cast<double>(sum_us_.load(std::memory_order_relaxed)) / 1e3;
  text += fmt::format("cartsail_{0}_sum {1:.3f}\ncartsail_{0}_count {2}\n", name, sum_ms, count);
  return text;
}

Histograms& GlobalHistograms() {
  static Histograms histograms;
  return histograms;
}

std::string RenderHistograms(const Histograms& histograms) {
  std::string text;
#define CARTSAIL_RENDER_HISTOGRAM(name, help) text += histograms.name.Render(#name, help);
  CARTSAIL_HISTOGRAMS(CARTSAIL_RENDER_HISTOGRAM)
#undef CARTSAIL_RENDER_HISTOGRAM
  return text;
}

}  // namespace cartsail
