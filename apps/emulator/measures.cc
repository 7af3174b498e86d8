#include "measures.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace cartsail::emulator {

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto index =
      static_cast<size_t>(std::lround(quantile * static_cast<double>(values.size() - 1)));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

double ClassMeasures::Attainment() const {
  return requests == 0 ? 1.0 : static_cast<double>(within_target) / static_cast<double>(requests);
}

void Measures::Add(const RequestResult& result) {
  ClassMeasures& measures = classes_[result.class_name];
  ++measures.requests;
  measures.resumes += result.resumes;
  if (!result.correct) ++measures.wrong_answers;
  if (!result.completed) {
    ++measures.errors[result.error_kind + "/" + result.outcome];
    return;
  }
  ++measures.completed;
  if (result.correct) measures.useful_tokens += result.tokens;
  if (result.WithinTarget()) ++measures.within_target;
  measures.first_token_ms.push_back(ToMillis(result.first_token));
  if (result.tokens > 1) measures.interval_ms.push_back(ToMillis(result.token_interval));
}

int64_t Measures::UsefulTokens() const {
  int64_t tokens = 0;
  for (const auto& [name, measures] : classes_) tokens += measures.useful_tokens;
  return tokens;
}

json::object Measures::Report(double seconds, int64_t computed_tokens) const {
  json::object classes;
  int64_t within = 0;
  for (const auto& [name, measures] : classes_) {
    within += measures.within_target;
    json::object errors;
    for (const auto& [kind, count] : measures.errors) errors[kind] = count;
    classes[name] = json::object{{"requests", measures.requests},
                                 {"completed", measures.completed},
                                 {"attainment", measures.Attainment()},
                                 {"wrong_answers", measures.wrong_answers},
                                 {"resumes", measures.resumes},
                                 {"ttft_ms_p50", Quantile(measures.first_token_ms, 0.5)},
                                 {"ttft_ms_p95", Quantile(measures.first_token_ms, 0.95)},
                                 {"ttft_ms_p99", Quantile(measures.first_token_ms, 0.99)},
                                 {"interval_ms_p50", Quantile(measures.interval_ms, 0.5)},
                                 {"interval_ms_p95", Quantile(measures.interval_ms, 0.95)},
                                 {"errors", std::move(errors)}};
  }
  json::object report{{"seconds", seconds},
                      {"goodput_per_s", static_cast<double>(within) / seconds},
                      {"classes", std::move(classes)}};
  if (computed_tokens > 0) {
    const int64_t useful = UsefulTokens();
    report["computed_tokens"] = computed_tokens;
    report["useful_tokens"] = useful;
    report["wasted_share"] =
        std::max(0.0, 1.0 - static_cast<double>(useful) / static_cast<double>(computed_tokens));
  }
  return report;
}

std::string FormatReport(const json::object& report) {
  std::string text =
      fmt::format("{:<18}{:>9}{:>10}{:>11}{:>10}{:>10}{:>10}{:>9}\n", "class", "requests",
                  "completed", "attainment", "ttft p50", "ttft p95", "ttft p99", "gap p95");
  const json::object* classes = GetObject(report, "classes");
  if (classes == nullptr) return text;
  for (const auto& member : *classes) {
    const json::object& row = member.value().as_object();
    text += fmt::format("{:<18}{:>9}{:>10}{:>11.4f}{:>8.1f}ms{:>8.1f}ms{:>8.1f}ms{:>7.1f}ms\n",
                        std::string(member.key()), GetInt(row, "requests"),
                        GetInt(row, "completed"), GetDouble(row, "attainment"),
                        GetDouble(row, "ttft_ms_p50"), GetDouble(row, "ttft_ms_p95"),
                        GetDouble(row, "ttft_ms_p99"), GetDouble(row, "interval_ms_p95"));
    if (const json::object* errors = GetObject(row, "errors")) {
      for (const auto& error : *errors) {
        text += fmt::format("    {}: {}\n", std::string(error.key()),
                            error.value().to_number<int64_t>());
      }
    }
    if (GetInt(row, "wrong_answers") > 0) {
      text += fmt::format("    WRONG ANSWERS: {}\n", GetInt(row, "wrong_answers"));
    }
  }
  text += fmt::format("goodput {:.2f} requests/s", GetDouble(report, "goodput_per_s"));
  if (report.contains("wasted_share")) {
    text += fmt::format(", wasted work {:.4f} of {} tokens", GetDouble(report, "wasted_share"),
                        GetInt(report, "computed_tokens"));
  }
  return text + "\n";
}

}  // namespace cartsail::emulator
